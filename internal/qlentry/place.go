package qlentry

import (
	"sort"
	"time"

	"github.com/quetzallane/quetzallane/internal/qldispatch"
	"github.com/quetzallane/quetzallane/internal/qlwire"
)

// place states the queue's demand anew: all of it to this router's own
// dispatcher, and what still waits then to one other dispatcher each. Where
// no slot is known to be free elsewhere, that waits for the next spill:
// mostly a slot comes free here first.
func (e *Entry) place(now time.Duration, p *poolView, q *queue) {
	elsewhere := len(q.waiting)
	if p.own {
		elsewhere = e.config.LocalDemand(q.key.customer, q.key.pool, len(q.waiting), q.estimate, e.ownSeen)
	}
	q.excess = q.remote - elsewhere
	for q.remote < elsewhere {
		d := e.best(now, p, q)
		if d == nil || (p.own && d.freeNow(now) <= 0) {
			return
		}
		e.put(q, d)
	}
}

// spill asks at other dispatchers for what has gone on waiting.
func (e *Entry) spill(now time.Duration) {
	for _, q := range e.sortedQueues() {
		p := e.pools[q.key.pool]
		if p == nil {
			continue
		}
		for ; q.excess < 0; q.excess++ {
			d := e.best(now, p, q)
			if d == nil {
				break
			}
			e.put(q, d)
		}
	}
}

// trim withdraws what is asked for at other dispatchers beyond what waits. It
// is done now and then only: mostly the customer's next request comes first
// and takes the place, and what is granted too much is declined at once.
func (e *Entry) trim() {
	for _, q := range e.sortedQueues() {
		for ; q.excess > 0 && q.remote > 0; q.excess-- {
			e.withdraw(q)
		}
	}
}

// best returns the dispatcher for the queue's next request: one with a free
// slot, in this zone first; else the one at which the queue has the fewest
// requests, of these the one that serves at the highest virtual time.
func (e *Entry) best(now time.Duration, p *poolView, q *queue) *dispatcherView {
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

func (d *dispatcherView) betterThan(other *dispatcherView, now time.Duration, zone string, q *queue) bool {
	free, otherFree := d.freeNow(now) > 0, other.freeNow(now) > 0
	if free != otherFree {
		return free
	}
	if free && (d.zone == zone) != (other.zone == zone) {
		return d.zone == zone
	}
	if placed, otherPlaced := q.placed[d.id], q.placed[other.id]; placed != otherPlaced {
		return placed < otherPlaced
	}
	return d.level > other.level
}

func (d *dispatcherView) freeNow(now time.Duration) int {
	if !d.recent || now-d.heard > _levelStale {
		return 0
	}
	return d.free
}

func (e *Entry) put(q *queue, d *dispatcherView) {
	q.placed[d.id]++
	q.remote++
	d.free--
	e.link(d.id).changed[q.key] = true
}

// withdraw takes back one request from where the queue has most.
func (e *Entry) withdraw(q *queue) {
	most := ""
	for id, count := range q.placed {
		if most == "" || count > q.placed[most] || (count == q.placed[most] && id < most) {
			most = id
		}
	}
	if most == "" {
		q.remote = 0
		return
	}
	e.takeBack(q, most)
}

func (e *Entry) takeBack(q *queue, id string) {
	q.remote--
	q.placed[id]--
	if q.placed[id] == 0 {
		delete(q.placed, id)
	}
	e.link(id).changed[q.key] = true
}

// SetLevel takes news of a dispatcher's slots. Free ones draw requests that
// wait elsewhere at once.
func (e *Entry) SetLevel(now time.Duration, from string, level *qlwire.PoolLevel) {
	p := e.pools[level.GetPool()]
	if p == nil {
		return
	}
	for _, d := range p.dispatchers {
		if d.id != from {
			continue
		}
		d.level = qlwire.ToVirtual(level.GetLevel())
		d.free = int(level.GetFree())
		d.heard = now
		d.recent = true
		if d.free > 0 && level.GetWaiting() == 0 {
			e.moveTo(p, d)
		}
		return
	}
}

// moveTo places waiting requests at a dispatcher with free slots, each at
// the expense of another dispatcher that has not served it yet.
func (e *Entry) moveTo(p *poolView, d *dispatcherView) {
	for _, q := range e.sortedQueues() {
		if q.key.pool != p.name {
			continue
		}
		for d.free > 0 && q.placed[d.id] < len(q.waiting) {
			other := q.anyOther(d.id)
			if other != "" {
				e.takeBack(q, other)
			}
			e.put(q, d)
		}
	}
}

func (q *queue) anyOther(than string) string {
	most := ""
	for id, count := range q.placed {
		if id != than && (most == "" || count > q.placed[most] || (count == q.placed[most] && id < most)) {
			most = id
		}
	}
	return most
}

// rebalance moves a request of each short queue from the dispatcher that
// serves at the lowest virtual time to the one that serves at the highest:
// there, customers are served that have had more than those it waits behind.
func (e *Entry) rebalance(now time.Duration) {
	for _, q := range e.sortedQueues() {
		p := e.pools[q.key.pool]
		if p == nil || len(q.waiting) == 0 {
			continue
		}
		e.place(now, p, q)
		if q.remote < len(p.dispatchers) {
			e.climb(now, p, q)
		}
	}
}

func (e *Entry) climb(now time.Duration, p *poolView, q *queue) {
	var low, high *dispatcherView
	for _, d := range p.dispatchers {
		if !d.recent || now-d.heard > _levelStale {
			continue
		}
		if q.placed[d.id] > 0 && (low == nil || d.level < low.level) {
			low = d
		}
		if q.placed[d.id] == 0 && (high == nil || d.level > high.level) {
			high = d
		}
	}
	if low == nil || high == nil || high.level-low.level <= _climbCosts*q.estimate {
		return
	}
	e.takeBack(q, low.id)
	e.put(q, high)
}

func (e *Entry) link(id string) *link {
	l := e.links[id]
	if l == nil {
		l = &link{
			changed: make(map[queueKey]bool),
		}
		e.links[id] = l
	}
	return l
}

// DropLink forgets a dispatcher that is gone. Requests that run by its
// grants run on; its successor hears of them.
func (e *Entry) DropLink(id string) {
	if l := e.links[id]; l != nil {
		clear(l.changed)
	}
}

// NeedsFlush reports whether demands have changed since the last Flush.
func (e *Entry) NeedsFlush() bool {
	for _, l := range e.links {
		if len(l.changed) > 0 {
			return true
		}
	}
	return false
}

// Flush sends what changed in the demands on each dispatcher.
func (e *Entry) Flush(now time.Duration) {
	for _, id := range e.linkIDs() {
		l := e.links[id]
		switch {
		case len(l.changed) == 0:
		case now >= l.refreshAt-_refresh/2:
			// A comparison that is due before long goes with the changes.
			e.sendDemand(now, id, l, _comparison)
		default:
			e.sendDemand(now, id, l, _changes)
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

func (e *Entry) refresh(now time.Duration) {
	adopted := e.adoptedUses()
	for id := range adopted {
		e.link(id)
	}
	for _, id := range e.linkIDs() {
		l := e.links[id]
		if now < l.refreshAt && (len(adopted[id]) == 0 || now < l.adoptedAt) {
			continue
		}
		l.refreshAt = now + _refresh
		l.adoptedAt = now + _refreshAdopted
		if l.running == 0 && !e.placedAt(id) && len(adopted[id]) == 0 {
			continue
		}
		kind := _comparison
		if len(adopted[id]) > 0 {
			kind = _everything
		}
		e.sendDemand(now, id, l, kind)
	}
}

// Resync states all demands on a dispatcher that has found its sum to differ.
func (e *Entry) Resync(now time.Duration, dispatcher string) {
	e.sendDemand(now, dispatcher, e.link(dispatcher), _everything)
}

func (e *Entry) placedAt(id string) bool {
	for _, q := range e.active {
		if q.placed[id] > 0 {
			return true
		}
	}
	return false
}

// adoptedUses counts, for each owner of upstreams, the requests that run
// there by the grants of someone else.
func (e *Entry) adoptedUses() map[string]map[string]int {
	uses := make(map[string]map[string]int)
	for _, r := range e.running {
		p := e.pools[r.key.pool]
		if p == nil {
			continue
		}
		owner := p.owners[r.upstream]
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

// demandKind says how much a demand tells.
type demandKind int

const (
	// _changes tells what changed, _comparison also the sum over all, and
	// _everything all itself.
	_changes demandKind = iota
	_comparison
	_everything
)

func (e *Entry) sendDemand(now time.Duration, id string, l *link, kind demandKind) {
	l.sequence++
	demand := &qlwire.Demand{
		Sequence:   l.sequence,
		Clock:      qlwire.FromClock(now),
		GrantsSeen: l.seen,
		Full:       kind == _everything,
	}
	switch kind {
	case _everything:
		demand.Items = e.allItems(id)
		demand.Uses = e.uses(id, l, 0)
		demand.Adopted = adoptedItems(e.adoptedUses()[id])
		l.refreshAt = now + _refresh
	case _comparison:
		l.refreshAt = now + _refresh
		demand.Items = e.changedItems(id, l)
		demand.Uses = e.uses(id, l, _overrun)
		demand.Sum = e.sum(id, l)
	case _changes:
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

func (e *Entry) changedItems(id string, l *link) []*qlwire.DemandItem {
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

// sum adds up what a dispatcher should know of this entry.
func (e *Entry) sum(id string, l *link) uint32 {
	var sum qlwire.DemandSum
	for _, q := range e.active {
		if count := q.placed[id]; count > 0 {
			sum.AddItem(q.hash, count)
		}
	}
	for _, r := range e.running {
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

// uses lists the grants in use whose cost is at least so many times what the
// dispatcher knows.
func (e *Entry) uses(id string, l *link, overrun float64) []*qlwire.GrantUse {
	var uses []*qlwire.GrantUse
	for _, r := range e.running {
		if r.dispatcher == id && r.epoch == l.epoch && r.cost >= overrun*r.told {
			r.told = max(r.told, r.cost)
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

func adoptedItems(running map[string]int) []*qlwire.UpstreamUse {
	items := make([]*qlwire.UpstreamUse, 0, len(running))
	for upstream, count := range running {
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

// LocalAdopted returns what runs on this router's own upstreams by the grants
// of others, for its own dispatcher.
func (e *Entry) LocalAdopted() map[string]int {
	uses := make(map[string]int)
	for _, r := range e.running {
		p := e.pools[r.key.pool]
		if p != nil && p.owners[r.upstream] == e.config.Self && r.dispatcher != e.config.Self {
			uses[r.upstream]++
		}
	}
	return uses
}

// ReportLocalCosts calls report with the cost so far of each request that runs by a
// grant of this router's own dispatcher.
func (e *Entry) ReportLocalCosts(report func(number uint64, cost float64)) {
	for _, r := range e.running {
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
