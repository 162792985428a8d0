package qlrouter

import (
	"context"
	"encoding/hex"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qlplatform"
	"github.com/quetzallane/quetzallane/internal/qlwire"
	"github.com/quetzallane/quetzallane/pkg/qlconfig"
	"go.uber.org/zap"
)

const (
	_watchWait = 20 * time.Second
	// _slowRead is how often routers that do not watch read for themselves.
	_slowRead = 60 * time.Second
	// _readRetry is the pause after a failed read, and between watches.
	_readRetry     = time.Second
	_startRead     = 200 * time.Millisecond
	_fetchTimeout  = 5 * time.Second
	_historyLength = 64
)

// errOlder is returned by a read of a stale service: it answered at once with
// what is older than the value in use.
const errOlder = errors.ConstError("the service serves an older revision")

// indexHistory remembers the last indexes, so that a peer that is behind is
// sent only what changed.
type indexHistory struct {
	mu      sync.Mutex
	indexes []qlconfig.Index
}

func newIndexHistory() *indexHistory {
	return &indexHistory{}
}

func (h *indexHistory) add(index qlconfig.Index) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.indexes = append(h.indexes, index)
	if len(h.indexes) > _historyLength {
		h.indexes = h.indexes[1:]
	}
}

func (h *indexHistory) find(revision uint64) (qlconfig.Index, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, index := range h.indexes {
		if index.Revision == revision {
			return index, true
		}
	}
	return qlconfig.Index{}, false
}

// watchPlatform reads the configuration and the VM list. A few routers of
// each zone watch; the others hear from peers and read rarely themselves.
func (r *Router) watchPlatform(ctx context.Context) {
	go r.watchValue(ctx, "vms", r.readVMs)
	r.watchValue(ctx, "configuration", r.readConfiguration)
}

func (r *Router) watchValue(ctx context.Context, name string, read func(context.Context, time.Duration) error) {
	for ctx.Err() == nil {
		wait := time.Duration(0)
		if r.watches.Load() && r.ready.Load() {
			wait = _watchWait
		}
		err := read(ctx, wait)
		if err != nil && !errors.Is(err, qlplatform.ErrUnchanged) && !errors.Is(err, errOlder) {
			r.log.Warn("platform-read-failed", zap.String("value", name), zap.String("cause", err.Error()))
		}
		sleep(ctx, r.readPause(err, wait))
	}
}

func (r *Router) readPause(err error, wait time.Duration) time.Duration {
	switch {
	case err != nil && !errors.Is(err, qlplatform.ErrUnchanged):
		return jitter(_readRetry)
	case wait > 0:
		return 0
	case !r.ready.Load():
		return jitter(_startRead)
	case r.watches.Load():
		return 0
	}
	return jitter(_slowRead)
}

func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (r *Router) readVMs(ctx context.Context, wait time.Duration) error {
	after := uint64(0)
	if list := r.list.Load(); list != nil {
		after = list.revision
	}
	list, text, err := r.platform.VMs(ctx, after, wait)
	if err != nil {
		return errors.Trace(err)
	}
	if list.Revision <= after {
		return errOlder
	}
	r.adoptList(list, text)
	return nil
}

func (r *Router) adoptList(list *qlplatform.VMs, text []byte) {
	converted := list.List()
	r.post(func(now time.Duration) {
		if current := r.list.Load(); current != nil && current.revision >= list.Revision {
			return
		}
		addresses := make(map[string]string, len(converted.Routers))
		for _, router := range converted.Routers {
			addresses[router.ID] = router.Address
		}
		r.list.Store(&listSnapshot{
			revision:  list.Revision,
			text:      text,
			addresses: addresses,
		})
		if r.core.AdoptList(now, converted) {
			r.log.Info("vm-list-adopted", zap.Uint64("revision", list.Revision), zap.Int("routers", len(addresses)))
		}
	})
}

func (r *Router) readConfiguration(ctx context.Context, wait time.Duration) error {
	current := r.snapshot.Load()
	after := r.refused.Load()
	if current != nil {
		after = max(after, current.Revision())
	}
	index, err := r.platform.Index(ctx, after, wait)
	if err != nil {
		return errors.Trace(err)
	}
	if index.Revision <= after {
		return errOlder
	}
	builder := qlconfig.Builder{
		Previous: current,
	}
	parts := make(map[string][]byte)
	for _, hash := range builder.Missing(index) {
		part, err := r.platform.Part(ctx, hash)
		if err != nil {
			return errors.Trace(err)
		}
		parts[hash] = part
	}
	return r.build(builder, index, parts, "platform")
}

// build checks a configuration whole and adopts it, or refuses it whole and
// leaves the one in force.
func (r *Router) build(builder qlconfig.Builder, index qlconfig.Index, parts map[string][]byte, source string) error {
	next, err := builder.Build(index, parts)
	if err != nil {
		r.rejected.Add(1)
		r.refused.Store(index.Revision)
		return errors.Annotatef(err, "revision %d refused, %s stays in force", index.Revision, revisionOf(builder.Previous))
	}
	r.post(func(now time.Duration) {
		if !r.core.AdoptConfiguration(now, next) {
			return
		}
		r.snapshot.Store(next)
		r.history.add(next.Index())
		r.adoptions.Add(1)
		r.source.Store(source)
		r.log.Info("configuration-adopted", zap.Uint64("revision", next.Revision()), zap.String("source", source))
	})
	return nil
}

func revisionOf(c *qlconfig.Configuration) string {
	if c == nil {
		return "no revision"
	}
	return "revision " + uintText(c.Revision())
}

// fetchFrom gets what a peer has and this router lacks; one fetch at a time.
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
	if list := r.list.Load(); list != nil {
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
	index, err := expandIndex(current, snapshot)
	if err != nil {
		return errors.Trace(err)
	}
	parts := make(map[string][]byte, len(snapshot.GetParts()))
	for _, part := range snapshot.GetParts() {
		parts[qlconfig.HashPart(part)] = part
	}
	return r.build(qlconfig.Builder{
		Previous: current,
	}, index, parts, "peer "+peer)
}

// expandIndex applies the difference in a snapshot to the index in force.
func expandIndex(current *qlconfig.Configuration, snapshot *qlwire.Snapshot) (qlconfig.Index, error) {
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

// answerFetch returns what a peer lacks.
func (r *Router) answerFetch(request *qlwire.FetchRequest) *qlwire.Snapshot {
	snapshot := &qlwire.Snapshot{}
	if list := r.list.Load(); list != nil {
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
	base, known := r.history.find(request.GetConfigurationRevision())
	if known {
		snapshot.BaseRevision = base.Revision
	}
	fillDifference(snapshot, current, base)
	return snapshot
}

func fillDifference(snapshot *qlwire.Snapshot, current *qlconfig.Configuration, base qlconfig.Index) {
	held := make(map[string]bool, len(base.Parts))
	for _, hash := range base.Parts {
		held[hash] = true
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
		if !held[hash] {
			snapshot.Parts = append(snapshot.Parts, current.RawPart(hash))
		}
	}
}
