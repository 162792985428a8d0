package qledge

import (
	"context"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlcatalog"
	"github.com/quetzallane/quetzallane/internal/qlengine"
	"github.com/quetzallane/quetzallane/internal/qlfleetwire"
	"github.com/quetzallane/quetzallane/internal/qlforward"
	"github.com/quetzallane/quetzallane/internal/qlplace"
	"github.com/quetzallane/quetzallane/internal/qlroute"
	"go.uber.org/zap"
)

// All functions of this file but fetchFrom run in the control goroutine.

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
	e.fleet.Core().Push()
	e.log.Info("configuration-adopted", zap.Uint64("revision", table.Revision()),
		zap.Int("routes", table.Routes()), zap.String("source", source))
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

func (e *Edge) replaceUpstreams(now time.Duration, items []Item, revision uint64) {
	e.catalog.Replace(now, e.decodeUpstreams(items), revision)
	e.refresh(now)
}

func (e *Edge) changeUpstreams(now time.Duration, items []Item, revision uint64) {
	for _, item := range items {
		if entry, ok := e.decodeUpstream(item); !item.Deleted && ok {
			e.catalog.Put(entry)
			continue
		}
		e.catalog.Delete(now, item.ID, item.Revision)
	}
	e.catalog.Advance(revision)
	e.refresh(now)
}

// refresh publishes the list if it changed.
func (e *Edge) refresh(now time.Duration) {
	if !e.catalog.Tick(now) {
		return
	}
	e.publish()
	e.fleet.Core().Push()
	ready := 0
	for _, entry := range e.catalog.Entries() {
		if entry.State == qlcatalog.Ready {
			ready++
		}
	}
	e.log.Info("upstreams-changed", zap.Int("ready", ready), zap.Int("lapsed", e.catalog.Lapsed()),
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
	if e.catalog.Known() {
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
			ID:      entry.ID,
			Service: entry.Service,
			Zone:    entry.Zone,
			Born:    entry.Born,
			Config: qlengine.Config{
				Slots:          slots,
				Memory:         service.Engine().Memory,
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
	return configuration, e.catalog.Changed()
}

// answerFetch returns what another router lacks.
func (e *Edge) answerFetch(request *qlfleetwire.FetchRequest) *qlfleetwire.FetchReply {
	reply := &qlfleetwire.FetchReply{}
	reply.ConfigurationRevision, reply.ListRevision = e.revisions()
	if reply.GetConfigurationRevision() > request.GetConfigurationRevision() {
		reply.Configuration = e.rawTable
	}
	if reply.GetListRevision() > request.GetListRevision() {
		reply.Settled = e.catalog.Settled(e.clock())
		for _, entry := range e.catalog.Listed() {
			reply.Items = append(reply.Items, &qlfleetwire.Item{
				Id:       entry.ID,
				Value:    entry.Raw,
				Revision: entry.Revision,
			})
		}
	}
	return reply
}

// behind is told that a router has newer documents. The store usually
// delivers them by itself within _fetchDelay.
func (e *Edge) behind(address string, _, _ uint64) {
	if e.fetching || address == "" {
		return
	}
	e.fetching = true
	go func() {
		time.Sleep(_fetchDelay)
		e.fetchFrom(address)
		e.fleet.Post(func(time.Duration) { e.fetching = false })
	}()
}

// fetchFrom fetches from a router what is still lacking.
func (e *Edge) fetchFrom(address string) {
	request := &qlfleetwire.FetchRequest{}
	e.fleet.Call(func(time.Duration) {
		request.ConfigurationRevision, request.ListRevision = e.revisions()
	})
	reply, err := e.fleet.Fetch(context.Background(), address, request)
	if err != nil {
		e.log.Info("fetch-failed", zap.String("from", address), zap.Error(err))
		return
	}
	e.fleet.Post(func(now time.Duration) {
		if len(reply.GetConfiguration()) > 0 {
			e.adoptConfiguration(reply.GetConfiguration(), address)
		}
		if len(reply.GetItems()) == 0 {
			return
		}
		items := make([]Item, 0, len(reply.GetItems()))
		for _, item := range reply.GetItems() {
			items = append(items, Item{
				ID:       item.GetId(),
				Value:    item.GetValue(),
				Revision: item.GetRevision(),
			})
		}
		e.catalog.Merge(e.decodeUpstreams(items), reply.GetListRevision(), reply.GetSettled())
		e.refresh(now)
	})
}
