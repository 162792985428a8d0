package qledge

import (
	"context"
	"math"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlcatalog"
	"github.com/quetzallane/quetzallane/internal/qlfleetwire"
	"github.com/quetzallane/quetzallane/internal/qlposition"
	"go.uber.org/zap"
)

const (
	// _fetchDelay gives a watcher's update time to arrive before this router
	// fetches documents from a router whose probe showed that it has newer
	// ones.
	_fetchDelay = 200 * time.Millisecond
	// _incompleteFetchPause is how long a router that got a list, but none that is known to be
	// complete, waits until it fetches again.
	_incompleteFetchPause = time.Second
	// _maxUpdateBytes bounds the documents in one update, which is sent as one
	// datagram. Receivers fetch the documents if one of them is larger.
	_maxUpdateBytes = 1200
)

// sendChanges sends the store's changes to this router's recipients, if it is a
// watcher. The items are all changes between the two positions, which are of one era.
func (e *Edge) sendChanges(now time.Duration, items []Item, after, position qlposition.Position) {
	if !e.feed.IsWatcher() {
		return
	}
	e.sendUpdates(e.feed.Recipients(), e.newUpdates(now, items, after, position))
}

func (e *Edge) sendUpdates(recipients []string, updates []*qlfleetwire.Update) {
	for _, to := range recipients {
		for _, update := range updates {
			e.fleet.Core().SendUpdate(to, update)
		}
	}
}

// newUpdates divides changes into as many updates as they need. Each update
// begins at the position where the one before ends, so a receiver that misses
// one notices and fetches the documents.
func (e *Edge) newUpdates(now time.Duration, items []Item, after, position qlposition.Position) []*qlfleetwire.Update {
	newUpdate := func(after, revision uint64) *qlfleetwire.Update {
		return &qlfleetwire.Update{
			Era:      position.Era,
			After:    after,
			Revision: revision,
			AgeMs:    uint32(e.feed.Age(now).Milliseconds()),
			Settled:  e.catalog.InSync(now),
		}
	}
	last := newUpdate(after.Revision, position.Revision)
	updates := []*qlfleetwire.Update{last}
	size := 0
	for _, item := range items {
		if len(item.Value) > _maxUpdateBytes {
			return []*qlfleetwire.Update{newUpdate(position.Revision, position.Revision)}
		}
		if size += len(item.Value) + len(item.Zone); size > _maxUpdateBytes {
			last.Revision = last.GetItems()[len(last.GetItems())-1].GetRevision()
			last = newUpdate(last.GetRevision(), position.Revision)
			updates = append(updates, last)
			size = len(item.Value) + len(item.Zone)
		}
		last.Items = append(last.Items, encodeItem(item))
	}
	return updates
}

func encodeItem(item Item) *qlfleetwire.Item {
	return &qlfleetwire.Item{
		Id:            item.ID,
		Value:         item.Value,
		Revision:      item.Position.Revision,
		Deleted:       item.Deleted,
		Configuration: item.Configuration,
		Zone:          item.Zone,
	}
}

func encodeEntry(entry *qlcatalog.Entry) *qlfleetwire.Item {
	return encodeItem(Item{
		ID:       entry.ID,
		Value:    entry.Raw,
		Position: entry.Position,
	})
}

// decodeItems returns the items of a message whose revisions are of the era.
func decodeItems(items []*qlfleetwire.Item, era uint64) []Item {
	decoded := make([]Item, 0, len(items))
	for _, item := range items {
		decoded = append(decoded, Item{
			ID:            item.GetId(),
			Configuration: item.GetConfiguration(),
			Zone:          item.GetZone(),
			Value:         item.GetValue(),
			Deleted:       item.GetDeleted(),
			Position: qlposition.Position{
				Era:      era,
				Revision: item.GetRevision(),
			},
		})
	}
	return decoded
}

// receiveUpdate applies an update from a watcher. It runs in the control
// goroutine.
func (e *Edge) receiveUpdate(now time.Duration, from string, update *qlfleetwire.Update) {
	known := e.catalog.Position()
	position := qlposition.Position{
		Era:      update.GetEra(),
		Revision: update.GetRevision(),
	}
	switch {
	case position.Before(known):
		// The sender is behind this router.
		return
	case position.Era > known.Era || update.GetAfter() > known.Revision || !e.catalog.Loaded():
		e.fetch(from, 0)
		return
	}
	e.recordConfirmation(now, update.GetAgeMs(), update.GetSettled())
	e.applyItems(now, decodeItems(update.GetItems(), position.Era), from)
	e.catalog.Advance(position)
	e.publishIfChanged(now)
	// The next update of this watcher begins at its new revision, so its
	// recipients need the changes that lead there.
	if e.feed.IsWatcher() && (position.After(known) || e.feed.StoreUnavailable()) {
		e.sendUpdates(e.feed.ZoneRecipients(), []*qlfleetwire.Update{update})
	}
}

// recordConfirmation records that another router has the documents as the store
// held them ageMs ago. settled is set when that router's list is as the store
// has it, without upstreams that are kept although their entries have expired.
func (e *Edge) recordConfirmation(now time.Duration, ageMs uint32, settled bool) {
	e.feed.RecordUpdate(now, time.Duration(ageMs)*time.Millisecond)
	switch {
	case !e.feed.Fresh(now):
	case settled:
		e.catalog.EndGracePeriod()
	default:
		if e.catalog.InSync(now) {
			// The store was unavailable for a time, unnoticed by this router.
			e.catalog.StoreLost()
		}
		e.catalog.StoreRegained(now)
	}
}

// fetchNewerDocuments is called when a probe shows that the router at the
// address has newer documents.
func (e *Edge) fetchNewerDocuments(address string) {
	e.fetch(address, _fetchDelay)
}

// fetch requests newer documents from the router at the address after the
// delay, unless a fetch is under way.
func (e *Edge) fetch(address string, delay time.Duration) {
	if e.fetching || address == "" {
		return
	}
	e.fetching = true
	go func() {
		time.Sleep(delay)
		e.fetchFrom(address)
		loaded := false
		e.fleet.Call(func(time.Duration) { loaded = e.catalog.Loaded() })
		if !loaded {
			time.Sleep(_incompleteFetchPause)
		}
		e.fleet.Post(func(time.Duration) { e.fetching = false })
	}()
}

// fetchFrom requests newer documents from the router at the address. If that
// fails, this router calls the store itself.
func (e *Edge) fetchFrom(address string) {
	var request *qlfleetwire.FetchRequest
	e.fleet.Call(func(time.Duration) { request = e.newFetchRequest() })
	reply, err := e.fleet.Fetch(context.Background(), address, request)
	if err != nil {
		e.log.Info("fetch-failed", zap.String("from", address), zap.Error(err))
		e.fleet.Post(func(time.Duration) {
			e.feed.RequireCall()
			e.endStorePause()
		})
		return
	}
	e.fleet.Post(func(now time.Duration) { e.applyFetchReply(now, address, request, reply) })
}

// newFetchRequest returns a request for all documents newer than those in
// force.
func (e *Edge) newFetchRequest() *qlfleetwire.FetchRequest {
	request := &qlfleetwire.FetchRequest{}
	request.ConfigurationRevision, _ = e.revisions()
	if e.catalog.Loaded() {
		position := e.catalog.Position()
		request.Era, request.ListRevision = position.Era, position.Revision
	}
	return request
}

// applyFetchReply applies the documents that another router sent. A complete
// reply is equivalent to the store's: upstreams that its list lacks are
// removed, and evacuations that it lacks are withdrawn. Of a reply of an earlier era, only
// the configuration counts.
func (e *Edge) applyFetchReply(now time.Duration, from string, request *qlfleetwire.FetchRequest, reply *qlfleetwire.FetchReply) {
	if len(reply.GetConfiguration()) > 0 {
		e.adoptConfiguration(reply.GetConfiguration(), from)
	}
	changed := qlposition.Position{
		Era:      reply.GetEra(),
		Revision: reply.GetListRevision(),
	}
	if e.isOutdated(changed, from) {
		return
	}
	items, zones := splitZones(decodeItems(reply.GetItems(), changed.Era))
	// A router that has no newer list sends none.
	hasList := changed.After(requestedPosition(request))
	known, since := e.catalog.Position(), e.feed.Age(now)
	isComplete := reply.GetComplete() > 0
	complete := qlposition.Position{
		Era:      changed.Era,
		Revision: reply.GetComplete(),
	}
	if isComplete {
		e.recordConfirmation(now, reply.GetAgeMs(), reply.GetSettled())
	}
	list := func(position qlposition.Position) qlcatalog.List {
		return qlcatalog.List{
			Entries:  e.decodeUpstreams(items),
			Zones:    zones,
			Position: position,
			EraAge:   time.Duration(reply.GetEraAgeMs()) * time.Millisecond,
		}
	}
	switch {
	case !hasList:
	case !isComplete:
		e.catalog.Merge(now, list(changed), reply.GetSettled())
	case reply.GetPartial():
		e.setZones(zones)
		e.applyItems(now, items, from)
	default:
		e.catalog.Replace(now, list(complete))
	}
	if isComplete {
		e.catalog.Advance(complete)
	}
	e.recordEra(known, since, from)
	e.publishIfChanged(now)
}

// requestedPosition returns the position up to which the sender of a request has the list.
func requestedPosition(request *qlfleetwire.FetchRequest) qlposition.Position {
	return qlposition.Position{
		Era:      request.GetEra(),
		Revision: request.GetListRevision(),
	}
}

// answerFetch returns the documents that another router lacks. It runs in the
// control goroutine.
func (e *Edge) answerFetch(request *qlfleetwire.FetchRequest) *qlfleetwire.FetchReply {
	now := e.clock()
	configuration, _ := e.revisions()
	list := e.catalog.LastChange()
	reply := &qlfleetwire.FetchReply{
		ConfigurationRevision: configuration,
		Era:                   list.Era,
		EraAgeMs:              uint32(min(e.catalog.EraAge(now).Milliseconds(), math.MaxUint32)),
		ListRevision:          list.Revision,
		Settled:               e.catalog.InSync(now),
	}
	if e.catalog.Loaded() && e.feed.Fresh(now) {
		reply.Complete = e.catalog.Position().Revision
		reply.AgeMs = uint32(e.feed.Age(now).Milliseconds())
	}
	if configuration > request.GetConfigurationRevision() {
		reply.Configuration = e.rawConfiguration
	}
	requested := requestedPosition(request)
	if !list.After(requested) {
		return reply
	}
	if changed, removed, ok := e.catalog.Since(requested); ok && reply.GetComplete() > 0 {
		reply.Partial = true
		reply.Items = encodeZones(e.catalog.ZonesSince(requested))
		for _, entry := range changed {
			reply.Items = append(reply.Items, encodeEntry(&entry))
		}
		for id, position := range removed {
			reply.Items = append(reply.Items, encodeItem(Item{
				ID:       id,
				Position: position,
				Deleted:  true,
			}))
		}
		return reply
	}
	reply.Items = encodeZones(e.catalog.StoreZones())
	for _, entry := range e.catalog.StoreEntries() {
		reply.Items = append(reply.Items, encodeEntry(&entry))
	}
	return reply
}
