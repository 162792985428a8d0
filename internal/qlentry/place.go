package qlentry

import (
	"sort"
	"time"

	"github.com/quetzallane/quetzallane/internal/qldispatch"
	"github.com/quetzallane/quetzallane/internal/qlwire"
)

// updateDemand states the queue's whole demand to the local dispatcher, if there
// is one, and asks for a slot at one remote dispatcher for each request that
// still waits after that. With a local dispatcher, it asks only remote
// dispatchers that have reported free slots. The remaining requests are asked
// for by the next overflow, because a local slot usually becomes free first.
func (e *Entry) updateDemand(now time.Duration, p *poolView, q *queue) {
	remoteDemand := len(q.waiting)
	if p.dispatchedLocally {
		remoteDemand = e.config.LocalDemand(q.key.customer, q.key.pool, len(q.waiting), q.estimate, e.lastLocalGrant)
	}
	q.surplus = q.placedTotal - remoteDemand
	for q.placedTotal < remoteDemand {
		d := e.bestDispatcher(now, p, q)
		if d == nil || (p.dispatchedLocally && d.freeSlotsAt(now) <= 0) {
			return
		}
		e.addRemoteDemand(q, d)
	}
}

// overflow asks remote dispatchers for the waiting requests for which updateDemand
// found no remote demand, even if no slot is known to be free there.
func (e *Entry) overflow(now time.Duration) {
	for _, q := range e.sortedQueues() {
		p := e.pools[q.key.pool]
		if p == nil {
			continue
		}
		for ; q.surplus < 0; q.surplus++ {
			d := e.bestDispatcher(now, p, q)
			if d == nil {
				break
			}
			e.addRemoteDemand(q, d)
		}
	}
}

// withdrawSurplus withdraws demands at remote dispatchers that no request waits
// for any more. It runs only once per _withdrawPeriod: usually the customer's
// next request arrives earlier and uses the demand, and a grant that no request
// needs is declined at once.
func (e *Entry) withdrawSurplus() {
	for _, q := range e.sortedQueues() {
		for ; q.surplus > 0 && q.placedTotal > 0; q.surplus-- {
			e.withdrawOne(q)
		}
	}
}

// bestDispatcher returns the remote dispatcher to ask for the queue's next
// request, or nil if there is none. It prefers one with a free slot, and among
// these one in this router's zone; then the one with the fewest requests of this
// queue; then the one whose next customer has the highest virtual time. The scan
// starts one dispatcher further at each call, so that ties are spread evenly.
func (e *Entry) bestDispatcher(now time.Duration, p *poolView, q *queue) *dispatcherView {
	var best *dispatcherView
	p.cursor++
	for i := range p.dispatchers {
		d := p.dispatchers[(i+p.cursor)%len(p.dispatchers)]
		if best == nil || d.betterThan(best, now, e.config.Zone, q) {
			best = d
		}
	}
	return best
}

// betterThan reports whether bestDispatcher prefers d to best, the best one so far.
func (d *dispatcherView) betterThan(best *dispatcherView, now time.Duration, zone string, q *queue) bool {
	free, bestFree := d.freeSlotsAt(now) > 0, best.freeSlotsAt(now) > 0
	if free != bestFree {
		return free
	}
	if free && (d.zone == zone) != (best.zone == zone) {
		return d.zone == zone
	}
	if placed, bestPlaced := q.placed[d.id], q.placed[best.id]; placed != bestPlaced {
		return placed < bestPlaced
	}
	return d.nextVirtualTime > best.nextVirtualTime
}

// freeSlotsAt returns the number of slots known to be free at the dispatcher, 0
// when its last report is older than _maxSlotReportAge.
func (d *dispatcherView) freeSlotsAt(now time.Duration) int {
	if !d.hasReport || now-d.reportedAt > _maxSlotReportAge {
		return 0
	}
	return d.freeSlots
}

// addRemoteDemand asks the dispatcher for one more of the queue's requests.
func (e *Entry) addRemoteDemand(q *queue, d *dispatcherView) {
	q.placed[d.id]++
	q.placedTotal++
	d.freeSlots--
	e.linkTo(d.id).changed[q.key] = true
}

// withdrawOne withdraws one request from the dispatcher that is asked for the
// most requests of the queue.
func (e *Entry) withdrawOne(q *queue) {
	mostPlaced := ""
	for id, count := range q.placed {
		if mostPlaced == "" || count > q.placed[mostPlaced] || (count == q.placed[mostPlaced] && id < mostPlaced) {
			mostPlaced = id
		}
	}
	if mostPlaced == "" {
		q.placedTotal = 0
		return
	}
	e.removeRemoteDemand(q, mostPlaced)
}

// removeRemoteDemand asks the dispatcher for one fewer of the queue's requests.
func (e *Entry) removeRemoteDemand(q *queue, id string) {
	q.placedTotal--
	q.placed[id]--
	if q.placed[id] == 0 {
		delete(q.placed, id)
	}
	e.linkTo(id).changed[q.key] = true
}

// SetLevel records a dispatcher's report of its slots in a pool. If it has free
// slots and no waiting requests, requests of this entry are moved to it at once.
func (e *Entry) SetLevel(now time.Duration, from string, level *qlwire.PoolLevel) {
	p := e.pools[level.GetPool()]
	if p == nil {
		return
	}
	for _, d := range p.dispatchers {
		if d.id != from {
			continue
		}
		d.nextVirtualTime = qlwire.ToVirtual(level.GetLevel())
		d.freeSlots = int(level.GetFree())
		d.reportedAt = now
		d.hasReport = true
		if d.freeSlots > 0 && level.GetWaiting() == 0 {
			e.moveToFreeSlots(p, d)
		}
		return
	}
}

// moveToFreeSlots asks a dispatcher with free slots for waiting requests, and
// withdraws each of them from another dispatcher that was asked for it and has
// not granted it yet, if there is one.
func (e *Entry) moveToFreeSlots(p *poolView, d *dispatcherView) {
	for _, q := range e.sortedQueues() {
		if q.key.pool != p.name {
			continue
		}
		for d.freeSlots > 0 && q.placed[d.id] < len(q.waiting) {
			source := q.mostPlacedExcept(d.id)
			if source != "" {
				e.removeRemoteDemand(q, source)
			}
			e.addRemoteDemand(q, d)
		}
	}
}

// mostPlacedExcept returns the dispatcher that is asked for the most requests of
// the queue, leaving out the excluded one; "" if there is no other.
func (q *queue) mostPlacedExcept(excluded string) string {
	mostPlaced := ""
	for id, count := range q.placed {
		if id != excluded && (mostPlaced == "" || count > q.placed[mostPlaced] || (count == q.placed[mostPlaced] && id < mostPlaced)) {
			mostPlaced = id
		}
	}
	return mostPlaced
}

// rebalance moves one request of each short queue (fewer remote demands than
// dispatchers) from the dispatcher whose next customer has the lowest virtual time
// to the one whose next customer has the highest. The customers that are served
// next there have received more service than those that the request waits behind
// now, so it is granted a slot sooner.
func (e *Entry) rebalance(now time.Duration) {
	for _, q := range e.sortedQueues() {
		p := e.pools[q.key.pool]
		if p == nil || len(q.waiting) == 0 {
			continue
		}
		e.updateDemand(now, p, q)
		if q.placedTotal < len(p.dispatchers) {
			e.moveToHigherVirtualTime(now, p, q)
		}
	}
}

// moveToHigherVirtualTime moves one of the queue's requests between two
// dispatchers if their virtual times differ by more than _minMoveCosts times the
// customer's estimated cost.
func (e *Entry) moveToHigherVirtualTime(now time.Duration, p *poolView, q *queue) {
	var low, high *dispatcherView
	for _, d := range p.dispatchers {
		if !d.hasReport || now-d.reportedAt > _maxSlotReportAge {
			continue
		}
		if q.placed[d.id] > 0 && (low == nil || d.nextVirtualTime < low.nextVirtualTime) {
			low = d
		}
		if q.placed[d.id] == 0 && (high == nil || d.nextVirtualTime > high.nextVirtualTime) {
			high = d
		}
	}
	if low == nil || high == nil || high.nextVirtualTime-low.nextVirtualTime <= _minMoveCosts*q.estimate {
		return
	}
	e.removeRemoteDemand(q, low.id)
	e.addRemoteDemand(q, high)
}

func (e *Entry) linkTo(id string) *dispatcherLink {
	l := e.links[id]
	if l == nil {
		l = &dispatcherLink{
			changed: make(map[queueKey]bool),
		}
		e.links[id] = l
	}
	return l
}

// DropLink discards the unsent changes of demand for a dispatcher that has left
// the fleet. Requests started with its grants continue; the new owners of
// their upstreams are sent their number as adopted requests.
func (e *Entry) DropLink(id string) {
	if l := e.links[id]; l != nil {
		clear(l.changed)
	}
}

// NeedsFlush reports whether a demand has changed since it was last sent.
func (e *Entry) NeedsFlush() bool {
	for _, l := range e.links {
		if len(l.changed) > 0 {
			return true
		}
	}
	return false
}

// Flush sends each remote dispatcher the demands that changed since the last one.
func (e *Entry) Flush(now time.Duration) {
	for _, id := range e.linkIDs() {
		l := e.links[id]
		switch {
		case len(l.changed) == 0:
		case now >= l.refreshAt-_refreshPeriod/2:
			// A checksum that is due within half a period is sent along with the
			// changes, which saves a message.
			e.sendDemand(now, id, l, _changesWithChecksum)
		default:
			e.sendDemand(now, id, l, _changesOnly)
		}
	}
}

func (e *Entry) linkIDs() []string {
	ids := make([]string, 0, len(e.links))
	for id := range e.links {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// refresh sends the periodic demands: a checksum to each dispatcher that has
// demands or active requests of this entry, and a full demand, more often, to
// each one that adopted some of its requests.
func (e *Entry) refresh(now time.Duration) {
	adopted := e.adoptedRequests()
	for id := range adopted {
		e.linkTo(id)
	}
	for _, id := range e.linkIDs() {
		l := e.links[id]
		if now < l.refreshAt && (len(adopted[id]) == 0 || now < l.adoptedRefreshAt) {
			continue
		}
		l.refreshAt = now + _refreshPeriod
		l.adoptedRefreshAt = now + _adoptedRefreshPeriod
		if l.activeCount == 0 && !e.hasDemandAt(id) && len(adopted[id]) == 0 {
			continue
		}
		kind := _changesWithChecksum
		if len(adopted[id]) > 0 {
			kind = _fullDemand
		}
		e.sendDemand(now, id, l, kind)
	}
}

// SendFullDemand sends the full demand to a dispatcher whose own checksum differed
// from this entry's.
func (e *Entry) SendFullDemand(now time.Duration, dispatcher string) {
	e.sendDemand(now, dispatcher, e.linkTo(dispatcher), _fullDemand)
}

func (e *Entry) hasDemandAt(id string) bool {
	for _, q := range e.activeQueues {
		if q.placed[id] > 0 {
			return true
		}
	}
	return false
}

// adoptedRequests returns, for each remote owner of upstreams, the number of
// active requests per upstream that another dispatcher granted. The owner adopts
// them: they use its slots although it didn't grant them.
func (e *Entry) adoptedRequests() map[string]map[string]int {
	uses := make(map[string]map[string]int)
	for _, r := range e.activeRequests {
		p := e.pools[r.key.pool]
		if p == nil {
			continue
		}
		owner := p.upstreamOwners[r.upstream]
		if owner == "" || owner == r.dispatcher || owner == e.config.Self {
			continue
		}
		if uses[owner] == nil {
			uses[owner] = make(map[string]int)
		}
		uses[owner][r.upstream]++
	}
	return uses
}

// demandKind selects the contents of a Demand message.
type demandKind int

const (
	// _changesOnly carries the changed demands, _changesWithChecksum also the
	// checksum over all demands and grants in use, and _fullDemand all of them.
	_changesOnly demandKind = iota
	_changesWithChecksum
	_fullDemand
)

func (e *Entry) sendDemand(now time.Duration, id string, l *dispatcherLink, kind demandKind) {
	l.sequence++
	demand := &qlwire.Demand{
		Sequence:   l.sequence,
		Clock:      qlwire.FromClock(now),
		GrantsSeen: l.lastGrantSeen,
		Full:       kind == _fullDemand,
	}
	switch kind {
	case _fullDemand:
		demand.Items = e.allItems(id)
		demand.Uses = e.grantUses(id, l, 0)
		demand.Adopted = adoptedItems(e.adoptedRequests()[id])
		l.refreshAt = now + _refreshPeriod
	case _changesWithChecksum:
		l.refreshAt = now + _refreshPeriod
		demand.Items = e.changedItems(id, l)
		demand.Uses = e.grantUses(id, l, _costOverrunRatio)
		demand.Sum = e.checksum(id, l)
	case _changesOnly:
		demand.Items = e.changedItems(id, l)
	}
	clear(l.changed)
	e.config.Send(id, &qlwire.Message{
		Body: &qlwire.Message_Demand{
			Demand: demand,
		},
	})
}

func (e *Entry) allItems(id string) []*qlwire.DemandItem {
	var items []*qlwire.DemandItem
	for _, q := range e.sortedQueues() {
		if q.placed[id] > 0 {
			items = append(items, q.item(id))
		}
	}
	return items
}

func (e *Entry) changedItems(id string, l *dispatcherLink) []*qlwire.DemandItem {
	var items []*qlwire.DemandItem
	for key := range l.changed {
		if q := e.queues[key]; q != nil {
			items = append(items, q.item(id))
		}
	}
	sort.Slice(items, func(i, j int) bool {
		if items[i].GetPool() != items[j].GetPool() {
			return items[i].GetPool() < items[j].GetPool()
		}
		return items[i].GetCustomer() < items[j].GetCustomer()
	})
	return items
}

// checksum returns the checksum over all demands on a dispatcher and all grants
// of it in use. The dispatcher computes the same one from its own state.
func (e *Entry) checksum(id string, l *dispatcherLink) uint32 {
	var sum qlwire.DemandChecksum
	for _, q := range e.activeQueues {
		if count := q.placed[id]; count > 0 {
			sum.AddItem(q.hash, count)
		}
	}
	for _, r := range e.activeRequests {
		if r.dispatcher == id && r.epoch == l.epoch {
			sum.AddGrant(r.number)
		}
	}
	return sum.Wire()
}

func (q *queue) item(id string) *qlwire.DemandItem {
	item := &qlwire.DemandItem{
		Customer: q.key.customer,
		Pool:     q.key.pool,
		Waiting:  uint32(q.placed[id]),
	}
	if item.GetWaiting() > 0 {
		item.Estimate = qlwire.WholeCost(q.estimate)
	}
	return item
}

// grantUses returns the dispatcher's grants in use whose cost so far is at least
// minRatio times the cost that the dispatcher was last given; all for 0.
func (e *Entry) grantUses(id string, l *dispatcherLink, minRatio float64) []*qlwire.GrantUse {
	var uses []*qlwire.GrantUse
	for _, r := range e.activeRequests {
		if r.dispatcher == id && r.epoch == l.epoch && r.cost >= minRatio*r.reportedCost {
			r.reportedCost = max(r.reportedCost, r.cost)
			uses = append(uses, &qlwire.GrantUse{
				Grant: r.number,
				Cost:  qlwire.WholeCost(r.cost),
			})
		}
	}
	sort.Slice(uses, func(i, j int) bool {
		return uses[i].GetGrant() < uses[j].GetGrant()
	})
	return uses
}

func adoptedItems(counts map[string]int) []*qlwire.UpstreamUse {
	items := make([]*qlwire.UpstreamUse, 0, len(counts))
	for upstream, count := range counts {
		items = append(items, &qlwire.UpstreamUse{
			Upstream: upstream,
			Running:  uint32(count),
		})
	}
	sort.Slice(items, func(i, j int) bool {
		return items[i].GetUpstream() < items[j].GetUpstream()
	})
	return items
}

// LocalAdopted returns, for each upstream that this router owns, the number of this
// entry's active requests there that another dispatcher granted.
func (e *Entry) LocalAdopted() map[string]int {
	uses := make(map[string]int)
	for _, r := range e.activeRequests {
		p := e.pools[r.key.pool]
		if p != nil && p.upstreamOwners[r.upstream] == e.config.Self && r.dispatcher != e.config.Self {
			uses[r.upstream]++
		}
	}
	return uses
}

// ReportLocalCosts calls report with the grant number and the cost so far of each
// active request that the local dispatcher granted.
func (e *Entry) ReportLocalCosts(report func(number uint64, cost float64)) {
	for _, r := range e.activeRequests {
		if r.dispatcher == e.config.Self {
			report(r.number, r.cost)
		}
	}
}

func (e *Entry) sendDone(to string, number uint64, cost float64, outcome qldispatch.Outcome) {
	if to == e.config.Self {
		e.config.LocalDone(number, cost, outcome)
		return
	}
	e.config.Send(to, &qlwire.Message{
		Body: &qlwire.Message_Done{
			Done: &qlwire.Done{
				Grant:   number,
				Cost:    qlwire.WholeCost(cost),
				Outcome: uint32(outcome),
			},
		},
	})
}
