package qledge

import (
	"context"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlcatalog"
	"github.com/quetzallane/quetzallane/internal/qlfleetwire"
	"go.uber.org/zap"
)

const (
	// _fetchDelay lets a reader's update come before a router is asked that only
	// a probe told to be ahead.
	_fetchDelay = 200 * time.Millisecond
	// _updateBytes bounds the documents in one datagram; what does not fit is
	// fetched.
	_updateBytes = 1200
)

// tell sends what the store said to those that this router reads for. The
// items are all changes between the two revisions.
func (e *Edge) tell(now time.Duration, items []Item, after, revision uint64) {
	if !e.feed.IsWatcher() {
		return
	}
	e.send(e.feed.Recipients(), e.updates(now, items, after, revision))
}

func (e *Edge) send(routers []string, packets []*qlfleetwire.Update) {
	for _, to := range routers {
		for _, update := range packets {
			e.fleet.Core().SendUpdate(to, update)
		}
	}
}

// updates puts changes into as many messages as they need: each begins where the
// one before ends, and a receiver that lacks one fetches the documents.
func (e *Edge) updates(now time.Duration, items []Item, after, revision uint64) []*qlfleetwire.Update {
	message := func(after, revision uint64) *qlfleetwire.Update {
		return &qlfleetwire.Update{
			After:    after,
			Revision: revision,
			AgeMs:    uint32(e.feed.Age(now).Milliseconds()),
			Settled:  e.catalog.InSync(now),
		}
	}
	last := message(after, revision)
	packets := []*qlfleetwire.Update{last}
	size := 0
	for _, item := range items {
		if len(item.Value) > _updateBytes {
			return []*qlfleetwire.Update{message(revision, revision)}
		}
		if size += len(item.Value); size > _updateBytes {
			last.Revision = last.GetItems()[len(last.GetItems())-1].GetRevision()
			last = message(last.GetRevision(), revision)
			packets = append(packets, last)
			size = len(item.Value)
		}
		last.Items = append(last.Items, encodeItem(item))
	}
	return packets
}

func encodeItem(item Item) *qlfleetwire.Item {
	return &qlfleetwire.Item{
		Id:            item.ID,
		Value:         item.Value,
		Revision:      item.Revision,
		Deleted:       item.Deleted,
		Configuration: item.Configuration,
	}
}

func encodeEntry(entry *qlcatalog.Entry) *qlfleetwire.Item {
	return encodeItem(Item{
		ID:       entry.ID,
		Value:    entry.Raw,
		Revision: entry.Revision,
	})
}

func decodeItems(items []*qlfleetwire.Item) []Item {
	decoded := make([]Item, 0, len(items))
	for _, item := range items {
		decoded = append(decoded, Item{
			ID:            item.GetId(),
			Configuration: item.GetConfiguration(),
			Value:         item.GetValue(),
			Revision:      item.GetRevision(),
			Deleted:       item.GetDeleted(),
		})
	}
	return decoded
}

// takeUpdate takes what a reader tells. It runs in the control goroutine.
func (e *Edge) takeUpdate(now time.Duration, from string, update *qlfleetwire.Update) {
	known := e.catalog.Revision()
	switch {
	case update.GetRevision() < known:
		// The sender is behind this router.
		return
	case update.GetAfter() > known || !e.catalog.Loaded():
		e.fetch(from, 0)
		return
	}
	e.heard(now, update.GetAgeMs(), update.GetSettled())
	e.apply(now, decodeItems(update.GetItems()), from)
	e.catalog.Advance(update.GetRevision())
	e.refresh(now)
	// What this reader tells its members next begins where it stands now, so
	// they need all that brought it here.
	if e.feed.IsWatcher() && (update.GetRevision() > known || e.feed.StoreUnavailable()) {
		e.send(e.feed.ZoneRecipients(), []*qlfleetwire.Update{update})
	}
}

// heard notes that a reader has the documents as the store had them so long
// ago, and whether it keeps upstreams whose entries lapsed.
func (e *Edge) heard(now time.Duration, ageMs uint32, settled bool) {
	e.feed.RecordUpdate(now, time.Duration(ageMs)*time.Millisecond)
	switch {
	case !e.feed.Fresh(now):
	case settled:
		e.catalog.EndGracePeriod()
	default:
		if e.catalog.InSync(now) {
			// The store was away without this router's noticing.
			e.catalog.StoreLost()
		}
		e.catalog.StoreRegained(now)
	}
}

// behind is told by a probe that a router has newer documents.
func (e *Edge) behind(address string, _, _ uint64) {
	e.fetch(address, _fetchDelay)
}

// fetch asks the router at the address for what is lacking after the delay.
func (e *Edge) fetch(address string, delay time.Duration) {
	if e.fetching || address == "" {
		return
	}
	e.fetching = true
	go func() {
		time.Sleep(delay)
		e.fetchFrom(address)
		e.fleet.Post(func(time.Duration) { e.fetching = false })
	}()
}

func (e *Edge) fetchFrom(address string) {
	var request *qlfleetwire.FetchRequest
	e.fleet.Call(func(time.Duration) { request = e.lacking() })
	reply, err := e.fleet.Fetch(context.Background(), address, request)
	if err != nil {
		e.log.Info("fetch-failed", zap.String("from", address), zap.Error(err))
		e.fleet.Post(func(time.Duration) {
			e.feed.RequireCall()
			e.callStore()
		})
		return
	}
	e.fleet.Post(func(now time.Duration) { e.takeReply(now, address, request, reply) })
}

// lacking asks for all beyond the documents in force.
func (e *Edge) lacking() *qlfleetwire.FetchRequest {
	request := &qlfleetwire.FetchRequest{}
	request.ConfigurationRevision, _ = e.revisions()
	if e.catalog.Loaded() {
		request.ListRevision = e.catalog.Revision()
	}
	return request
}

// takeReply takes what another router sent. A reply that is complete stands
// for the store's: what its list lacks is gone.
func (e *Edge) takeReply(now time.Duration, from string, request *qlfleetwire.FetchRequest, reply *qlfleetwire.FetchReply) {
	if len(reply.GetConfiguration()) > 0 {
		e.adoptConfiguration(reply.GetConfiguration(), from)
	}
	items := decodeItems(reply.GetItems())
	// A router that has no newer list sends none.
	listed := reply.GetListRevision() > request.GetListRevision()
	if reply.GetComplete() == 0 {
		if listed {
			e.catalog.Merge(e.decodeUpstreams(items), reply.GetListRevision(), reply.GetSettled())
			e.refresh(now)
		}
		return
	}
	e.heard(now, reply.GetAgeMs(), reply.GetSettled())
	switch {
	case reply.GetPartial():
		e.apply(now, items, from)
	case listed:
		e.catalog.Replace(now, e.decodeUpstreams(items), reply.GetComplete())
	}
	e.catalog.Advance(reply.GetComplete())
	e.refresh(now)
}

// answerFetch returns what another router lacks. It runs in the control
// goroutine.
func (e *Edge) answerFetch(request *qlfleetwire.FetchRequest) *qlfleetwire.FetchReply {
	now := e.clock()
	reply := &qlfleetwire.FetchReply{
		Settled: e.catalog.InSync(now),
	}
	if e.catalog.Loaded() && e.feed.Fresh(now) {
		reply.Complete = e.catalog.Revision()
		reply.AgeMs = uint32(e.feed.Age(now).Milliseconds())
	}
	reply.ConfigurationRevision, reply.ListRevision = e.revisions()
	if reply.GetConfigurationRevision() > request.GetConfigurationRevision() {
		reply.Configuration = e.rawTable
	}
	if reply.GetListRevision() <= request.GetListRevision() {
		return reply
	}
	if changed, removed, ok := e.catalog.Since(request.GetListRevision()); ok && reply.GetComplete() > 0 {
		reply.Partial = true
		for _, entry := range changed {
			reply.Items = append(reply.Items, encodeEntry(&entry))
		}
		for id, revision := range removed {
			reply.Items = append(reply.Items, encodeItem(Item{
				ID:       id,
				Revision: revision,
				Deleted:  true,
			}))
		}
		return reply
	}
	for _, entry := range e.catalog.StoreEntries() {
		reply.Items = append(reply.Items, encodeEntry(&entry))
	}
	return reply
}
