package qledge

import (
	"time"

	"github.com/quetzallane/quetzallane/internal/qlcatalog"
	"github.com/quetzallane/quetzallane/internal/qlengine"
	"github.com/quetzallane/quetzallane/internal/qlforward"
	"github.com/quetzallane/quetzallane/internal/qlplace"
	"github.com/quetzallane/quetzallane/internal/qlroute"
	"go.uber.org/zap"
)

// All functions of this file run in the control goroutine.

// _fromStore names the store in log lines about where a document came from.
const _fromStore = "store"

// adoptConfiguration takes a configuration if it is newer than the one in
// force. One that cannot be read leaves the one in force.
func (e *Edge) adoptConfiguration(raw []byte, source string) {
	document, err := e.config.Source.DecodeConfiguration(raw)
	var table *qlroute.Table
	if err == nil {
		if e.table != nil && document.Revision <= e.table.Revision() {
			return
		}
		table, err = qlroute.Build(document)
	}
	if err != nil {
		e.log.Error("configuration-refused", zap.String("source", source), zap.Error(err))
		return
	}
	e.table = table
	e.rawTable = raw
	e.publish()
	e.fleet.Core().Placer().SetCapacity(table.Limits().TokensPerSecond)
	e.log.Info("configuration-adopted", zap.Uint64("revision", table.Revision()),
		zap.Int("routes", table.RouteCount()), zap.String("source", source))
}

// decodeUpstream reports whether the item names an upstream.
func (e *Edge) decodeUpstream(item Item) (qlcatalog.Entry, bool) {
	entry, err := e.config.Source.DecodeUpstream(item.ID, item.Value)
	if err != nil {
		e.log.Info("upstream-ignored", zap.String("upstream", item.ID), zap.Error(err))
		return entry, false
	}
	entry.Revision = item.Revision
	return entry, true
}

// decodeUpstreams leaves out what names no upstream.
func (e *Edge) decodeUpstreams(items []Item) []qlcatalog.Entry {
	entries := make([]qlcatalog.Entry, 0, len(items))
	for _, item := range items {
		if entry, ok := e.decodeUpstream(item); ok {
			entries = append(entries, entry)
		}
	}
	return entries
}

// apply takes changes of the documents, as the store or a reader tells them.
func (e *Edge) apply(now time.Duration, items []Item, source string) {
	for _, item := range items {
		if item.Configuration {
			if !item.Deleted {
				e.adoptConfiguration(item.Value, source)
			}
			continue
		}
		if entry, ok := e.decodeUpstream(item); !item.Deleted && ok {
			e.catalog.Put(entry)
			continue
		}
		e.catalog.Delete(now, item.ID, item.Revision)
	}
}

// takeAll takes all documents as the store has them.
func (e *Edge) takeAll(now time.Duration, items []Item, revision uint64) {
	e.catalog.StoreRegained(now)
	e.feed.RecordFullAnswer(now)
	var upstreams []Item
	for _, item := range items {
		if item.Configuration {
			e.adoptConfiguration(item.Value, _fromStore)
			continue
		}
		upstreams = append(upstreams, item)
	}
	e.catalog.Replace(now, e.decodeUpstreams(upstreams), revision)
	e.refresh(now)
	// Whoever has less fetches the documents.
	e.tell(now, nil, revision, revision)
}

// takeChanges takes what the store says changed after the revision.
func (e *Edge) takeChanges(now time.Duration, items []Item, after, revision uint64) {
	e.catalog.StoreRegained(now)
	e.feed.RecordAnswer(now)
	e.apply(now, items, _fromStore)
	e.catalog.Advance(revision)
	e.refresh(now)
	e.tell(now, items, after, revision)
}

// refresh publishes the list if it changed.
func (e *Edge) refresh(now time.Duration) {
	if !e.catalog.Tick(now) {
		return
	}
	e.publish()
	ready := 0
	for _, entry := range e.catalog.Entries() {
		if entry.State == qlcatalog.Ready {
			ready++
		}
	}
	e.log.Info("upstreams-changed", zap.Int("ready", ready), zap.Int("lapsed", e.catalog.Expired()),
		zap.Uint64("revision", e.catalog.Revision()))
}

// publish makes configuration and list visible to requests and placement.
func (e *Edge) publish() {
	if e.table == nil {
		return
	}
	entries := e.catalog.Entries()
	e.forwarder.SetView(qlforward.NewView(e.table, entries, e.catalog.Revision()))
	e.fleet.Core().Placer().SetEngines(e.engines(entries))
	if e.catalog.Loaded() {
		e.known.Store(true)
	}
}

func (e *Edge) engines(entries []qlcatalog.Entry) []qlplace.EngineInfo {
	var infos []qlplace.EngineInfo
	for _, entry := range entries {
		service := e.table.Service(entry.Service)
		if entry.State != qlcatalog.Ready || service == nil || service.Engine() == nil {
			continue
		}
		slots := service.Engine().Slots
		if entry.Slots > 0 {
			slots = entry.Slots
		}
		infos = append(infos, qlplace.EngineInfo{
			ID:          entry.ID,
			Service:     entry.Service,
			Zone:        entry.Zone,
			StartMillis: entry.StartMillis,
			Config: qlengine.Config{
				Slots:          slots,
				KVCacheTokens:  service.Engine().Memory,
				TokensPerEvent: service.Engine().TokensPerEvent,
			},
		})
	}
	return infos
}

// revisions returns those of the documents in force.
func (e *Edge) revisions() (configuration, list uint64) {
	if e.table != nil {
		configuration = e.table.Revision()
	}
	return configuration, e.catalog.ChangeRevision()
}
