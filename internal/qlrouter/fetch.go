package qlrouter

import (
	"context"
	"encoding/hex"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qldelta"
	"github.com/quetzallane/quetzallane/internal/qlplatform"
	"github.com/quetzallane/quetzallane/internal/qlwire"
	"github.com/quetzallane/quetzallane/pkg/qlconfig"
	"go.uber.org/zap"
)

const _fetchTimeout = 5 * time.Second

// fetchFrom fetches the VM list and configuration from a peer that has a newer
// revision of either. At most one fetch runs at a time; it does nothing while
// another one runs.
func (r *Router) fetchFrom(peer string) {
	if r.fetching.Swap(true) {
		return
	}
	go func() {
		defer r.fetching.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), _fetchTimeout)
		defer cancel()
		if err := r.fetch(ctx, peer); err != nil {
			r.log.Warn("peer-fetch-failed", zap.String("peer", peer), zap.String("cause", err.Error()))
		}
	}()
}

func (r *Router) fetch(ctx context.Context, peer string) error {
	current := r.snapshot.Load()
	request := &qlwire.FetchRequest{}
	if current != nil {
		request.ConfigurationRevision = current.Revision()
	}
	if list := r.vmList.Load(); list != nil {
		request.ListRevision = list.revision
	}
	snapshot, err := r.peers.Fetch(ctx, peer, request)
	if err != nil {
		return errors.Trace(err)
	}
	if len(snapshot.GetList()) > 0 {
		list, err := qlplatform.ParseVMs(snapshot.GetList())
		if err != nil {
			return errors.Trace(err)
		}
		r.adoptList(list, snapshot.GetList())
	}
	if snapshot.GetConfigurationRevision() <= request.GetConfigurationRevision() {
		return nil
	}
	index, err := applyIndexDifference(current, snapshot)
	if err != nil {
		return errors.Trace(err)
	}
	parts, err := applyPartDeltas(current, snapshot.GetParts())
	if err != nil {
		return errors.Trace(err)
	}
	return r.buildAndAdopt(qlconfig.Builder{
		Previous: current,
	}, index, parts, "peer "+peer)
}

// applyIndexDifference returns the index that a snapshot describes, as a
// difference to the index in force or in full.
func applyIndexDifference(current *qlconfig.Configuration, snapshot *qlwire.Snapshot) (qlconfig.Index, error) {
	index := qlconfig.Index{
		Revision: snapshot.GetConfigurationRevision(),
		Parts:    make([]string, snapshot.GetPartCount()),
	}
	if snapshot.GetBaseRevision() != 0 {
		if current == nil || current.Revision() != snapshot.GetBaseRevision() {
			return index, errors.NotValidf("difference to revision %d", snapshot.GetBaseRevision())
		}
		copy(index.Parts, current.Index().Parts)
	}
	for _, entry := range snapshot.GetEntries() {
		if int(entry.GetPosition()) >= len(index.Parts) {
			return index, errors.NotValidf("part %d of %d", entry.GetPosition(), len(index.Parts))
		}
		index.Parts[entry.GetPosition()] = hex.EncodeToString(entry.GetHash())
	}
	return index, nil
}

// applyPartDeltas returns the configuration parts, by hash, that a peer sent in
// full or as differences to parts in force here. The hashes are compared with the
// index when the configuration is built.
func applyPartDeltas(current *qlconfig.Configuration, deltas []*qlwire.PartDelta) (map[string][]byte, error) {
	parts := make(map[string][]byte, len(deltas))
	for _, delta := range deltas {
		var base []byte
		if len(delta.GetBase()) > 0 && current != nil {
			base = current.RawPart(hex.EncodeToString(delta.GetBase()))
		}
		part, err := qldelta.Make(qldelta.Config{
			Prefix: int(delta.GetPrefix()),
			Suffix: int(delta.GetSuffix()),
			Middle: delta.GetMiddle(),
		}).Apply(base)
		if err != nil {
			return nil, errors.Trace(err)
		}
		parts[qlconfig.HashPart(part)] = part
	}
	return parts, nil
}

// snapshotFor answers a peer's fetch with the VM list and configuration parts
// that are newer than the revisions that the peer has.
func (r *Router) snapshotFor(request *qlwire.FetchRequest) *qlwire.Snapshot {
	snapshot := &qlwire.Snapshot{}
	if list := r.vmList.Load(); list != nil {
		snapshot.ListRevision = list.revision
		if list.revision > request.GetListRevision() {
			snapshot.List = list.text
		}
	}
	current := r.snapshot.Load()
	if current == nil {
		return snapshot
	}
	snapshot.ConfigurationRevision = current.Revision()
	if current.Revision() <= request.GetConfigurationRevision() {
		return snapshot
	}
	base, known := r.history.index(request.GetConfigurationRevision())
	if known {
		snapshot.BaseRevision = base.Revision
	}
	r.addDifference(snapshot, current, base)
	return snapshot
}

// addDifference adds to the snapshot the index entries in which the current
// configuration differs from the base, and the parts that the base lacks.
func (r *Router) addDifference(snapshot *qlwire.Snapshot, current *qlconfig.Configuration, base qlconfig.Index) {
	baseHashes := make(map[string]bool, len(base.Parts))
	for _, hash := range base.Parts {
		baseHashes[hash] = true
	}
	index := current.Index()
	snapshot.PartCount = uint32(len(index.Parts))
	for i, hash := range index.Parts {
		if i < len(base.Parts) && base.Parts[i] == hash {
			continue
		}
		raw, err := hex.DecodeString(hash)
		if err != nil {
			continue
		}
		snapshot.Entries = append(snapshot.Entries, &qlwire.IndexEntry{
			Position: uint32(i),
			Hash:     raw,
		})
		if !baseHashes[hash] {
			snapshot.Parts = append(snapshot.Parts, r.partDelta(base, i, current.RawPart(hash)))
		}
	}
}

// partDelta returns a part as the difference to the one at the same position of
// the base index, if its text is still in the history, else in full.
func (r *Router) partDelta(base qlconfig.Index, position int, part []byte) *qlwire.PartDelta {
	var before []byte
	delta := &qlwire.PartDelta{}
	if position < len(base.Parts) {
		before = r.history.part(base.Parts[position])
	}
	if before != nil {
		// The hash was in the index of a configuration that was in force, so it
		// is valid hexadecimal text.
		delta.Base, _ = hex.DecodeString(base.Parts[position])
	}
	difference := qldelta.New(before, part)
	delta.Prefix = uint32(difference.Prefix())
	delta.Suffix = uint32(difference.Suffix())
	delta.Middle = difference.Middle()
	return delta
}
