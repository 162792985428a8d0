package qledge

import (
	"time"

	"github.com/quetzallane/quetzallane/internal/qlcatalog"
	"github.com/quetzallane/quetzallane/internal/qlengine"
	"github.com/quetzallane/quetzallane/internal/qlforward"
	"github.com/quetzallane/quetzallane/internal/qlplace"
	"github.com/quetzallane/quetzallane/internal/qlposition"
	"github.com/quetzallane/quetzallane/internal/qlroute"
	"github.com/quetzallane/quetzallane/internal/qlsetting"
	"go.uber.org/zap"
)

// All functions of this file run in the control goroutine.

// _storeSource names the store as a document's origin in log lines.
const _storeSource = "store"

// adoptConfiguration applies a configuration that is newer than the one in
// force. One that cannot be decoded or is invalid is logged, and the one in
// force stays. source names the configuration's origin in log lines.
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
	e.revision.Store(table.Revision())
	e.rawConfiguration = raw
	e.publish()
	e.fleet.Core().Placer().SetCapacity(table.Limits().TokensPerSecond)
	e.log.Info("configuration-adopted", zap.Uint64("revision", table.Revision()),
		zap.Int("routes", table.RouteCount()), zap.String("source", source))
}

// decodeUpstream returns an upstream's entry and whether the item could be
// decoded.
func (e *Edge) decodeUpstream(item Item) (qlcatalog.Entry, bool) {
	entry, err := e.config.Source.DecodeUpstream(item.ID, item.Value)
	if err != nil {
		e.log.Info("upstream-ignored", zap.String("upstream", item.ID), zap.Error(err))
		return entry, false
	}
	entry.Position = item.Position
	e.learnWarmUp(&entry)
	return entry, true
}

// decodeUpstreams returns the entries of all items that can be decoded.
func (e *Edge) decodeUpstreams(items []Item) []qlcatalog.Entry {
	entries := make([]qlcatalog.Entry, 0, len(items))
	for _, item := range items {
		if entry, ok := e.decodeUpstream(item); ok {
			entries = append(entries, entry)
		}
	}
	return entries
}

// applyItems applies changes of documents that the store or a watcher has
// reported. An upstream's entry that cannot be decoded counts as removed.
func (e *Edge) applyItems(now time.Duration, items []Item, source string) {
	items, zones := splitZones(items)
	e.setZones(zones)
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
		e.catalog.Delete(now, item.ID, item.Position)
	}
}

// applyAllDocuments replaces the documents in force by those that the store
// holds at the position.
func (e *Edge) applyAllDocuments(now time.Duration, items []Item, position qlposition.Position) {
	if e.isOutdated(position, _storeSource) {
		return
	}
	e.catalog.StoreRegained(now)
	since := e.feed.Age(now)
	e.feed.RecordFullAnswer(now)
	items, zones := splitZones(items)
	var upstreams []Item
	for _, item := range items {
		if item.Configuration {
			e.adoptConfiguration(item.Value, _storeSource)
			continue
		}
		upstreams = append(upstreams, item)
	}
	known := e.catalog.Position()
	e.catalog.Replace(now, qlcatalog.List{
		Entries:  e.decodeUpstreams(upstreams),
		Zones:    zones,
		Position: position,
	})
	e.recordEra(known, since, _storeSource)
	e.publishIfChanged(now)
	// The update has no items: routers with older documents fetch the new ones.
	e.sendChanges(now, nil, position, position)
}

// applyStoreChanges applies all changes that the store reports between the two
// positions, which are of one era.
func (e *Edge) applyStoreChanges(now time.Duration, items []Item, after, position qlposition.Position) {
	if e.isOutdated(position, _storeSource) {
		return
	}
	e.catalog.StoreRegained(now)
	e.feed.RecordAnswer(now)
	e.applyItems(now, items, _storeSource)
	e.catalog.Advance(position)
	e.publishIfChanged(now)
	e.sendChanges(now, items, after, position)
}

// isOutdated reports, and logs, whether documents are of an earlier era than the list in
// force: they arrived late, or come from a router that does not know of the store's
// restoration yet. They say nothing about the store as it is.
func (e *Edge) isOutdated(position qlposition.Position, source string) bool {
	if !e.catalog.IsOutdated(position) {
		return false
	}
	e.log.Info("documents-outdated", zap.String("source", source), zap.Inline(position), zap.Uint64("known-era", e.catalog.LastChange().Era))
	return true
}

// recordEra logs and counts the start of an era, if the list has begun one. known is the position
// before the list was applied, and since the time since the documents were known to match
// the store.
func (e *Edge) recordEra(known qlposition.Position, since time.Duration, source string) {
	position := e.catalog.Position()
	if position.Era == known.Era || known == (qlposition.Position{}) {
		return
	}
	e.erasBegun.Add(1)
	e.log.Warn("store-era-changed", zap.String("source", source), zap.Uint64("known-era", known.Era), zap.Uint64("known-revision", known.Revision),
		zap.Inline(position), zap.Duration("unconfirmed-for", since), zap.Int("lapsed", e.catalog.Expired()), zap.Int("withheld", e.catalog.Withheld()))
}

// publishIfChanged removes expired entries whose grace period is over, and
// publishes the list of upstreams if it has changed.
func (e *Edge) publishIfChanged(now time.Duration) {
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
		zap.Int("withheld", e.catalog.Withheld()), zap.Inline(e.catalog.Position()))
}

// publish makes the configuration and the list of upstreams visible to requests
// and to placement.
func (e *Edge) publish() {
	if e.table == nil {
		return
	}
	entries := e.catalog.Entries()
	view := qlforward.NewView(e.table, entries, e.catalog.Position()).WithoutZones(zoneNames(e.catalog.EvacuatedZones()))
	e.forwarder.SetView(view)
	e.fleet.Core().Placer().SetEngines(e.engineInfos(e.catalog.UsableEntries()))
	e.logEvacuations(entries, view.EvacuatedServices())
	if e.catalog.Loaded() {
		e.documentsLoaded.Store(true)
	}
}

// engineInfos returns the ready upstreams that are engines, with their
// service's engine parameters.
func (e *Edge) engineInfos(entries []qlcatalog.Entry) []qlplace.EngineInfo {
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
			WarmUp: e.engineWarmUp(service, &entry),
		})
	}
	return infos
}

// revisions returns the revision of the configuration in force, and the position of the
// last change to the list of upstreams. The operator numbers configurations, so an older one
// that the store returns with is not adopted.
func (e *Edge) revisions() (configuration uint64, list qlposition.Position) {
	if e.table != nil {
		configuration = e.table.Revision()
	}
	if !e.catalog.Loaded() {
		// What is known may be incomplete, so any other router's list is newer.
		return configuration, list
	}
	return configuration, e.catalog.LastChange()
}

// storeState returns this router's position in the store's changes for the state dump.
func (e *Edge) storeState(now time.Duration) map[string]any {
	position := e.catalog.Position()
	return map[string]any{
		"era":      position.Era,
		"revision": position.Revision,
		"era-age":  e.catalog.EraAge(now).String(),
		"age":      e.feed.Age(now).String(),
		"lapsed":   e.catalog.Expired(),
		"withheld": e.catalog.Withheld(),
	}
}

// placementPolicy returns the placement policy that a setting names.
func placementPolicy(placement string) qlplace.Policy {
	switch placement {
	case qlsetting.PlacementAffinity:
		return qlplace.Affinity
	case qlsetting.PlacementLoad:
		return qlplace.FewestActive
	}
	return qlplace.Predict
}
