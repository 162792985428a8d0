package qldispatch

import (
	"math"
	"sort"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlfair"
	"github.com/quetzallane/quetzallane/internal/qlinvariant"
	"github.com/quetzallane/quetzallane/internal/qlwire"
)

// Dispatcher grants the slots of the upstreams it owns. It is not safe for
// use by several goroutines.
type Dispatcher struct {
	config   Config
	pools    map[string]*pool
	names    []string
	replicas map[string]*replica
	entries  map[string]*entryState
	spare    []*grantRecord
	// numbered is the last grant's number. It counts over all entries, so
	// that one that was dropped and comes back is never sent a number again.
	numbered uint64
	sweepAt  time.Duration
	// version counts changes of the view and the configuration, after which
	// parts of limits are worked out anew.
	version uint64
}

// New returns a dispatcher that owns nothing yet.
func New(config Config) *Dispatcher {
	return &Dispatcher{
		config:   config,
		pools:    make(map[string]*pool),
		replicas: make(map[string]*replica),
		entries:  make(map[string]*entryState),
		version:  1,
	}
}

// SetPool states the upstreams that the dispatcher owns in a pool. Upstreams
// that it no longer owns get no new grant; their requests run to their end.
func (d *Dispatcher) SetPool(now time.Duration, config PoolConfig) {
	d.version++
	p := d.pool(config.Name)
	p.largestCost = config.LargestCost
	kept := p.replicas[:0:0]
	listed := make(map[string]bool, len(config.Replicas))
	for _, rc := range config.Replicas {
		listed[rc.ID] = true
		kept = append(kept, d.setReplica(now, p, rc))
	}
	for _, r := range p.replicas {
		if listed[r.id] {
			continue
		}
		r.owned = false
		if r.inUse > 0 {
			kept = append(kept, r)
			continue
		}
		delete(d.replicas, r.id)
	}
	p.replicas = kept
	d.pump(now, p)
}

func (d *Dispatcher) pool(name string) *pool {
	p := d.pools[name]
	if p == nil {
		p = &pool{
			name:     name,
			accounts: make(map[string]*account),
		}
		d.pools[name] = p
		d.names = append(d.names, name)
		sort.Strings(d.names)
	}
	return p
}

func (d *Dispatcher) setReplica(now time.Duration, p *pool, config ReplicaConfig) *replica {
	r := d.replicas[config.ID]
	if r == nil {
		r = &replica{
			id:    config.ID,
			pool:  p,
			limit: config.Slots,
		}
		d.replicas[config.ID] = r
	}
	if !r.owned {
		r.owned = true
		r.readyAt = now + _holdOff
		r.reported = false
	}
	if r.slots != config.Slots {
		r.slots = config.Slots
		r.limit = config.Slots
	}
	r.leaving = config.Leaving
	return r
}

func (d *Dispatcher) entry(id string) *entryState {
	e := d.entries[id]
	if e == nil {
		e = &entryState{
			id:     id,
			grants: make(map[uint64]*grantRecord),
		}
		d.entries[id] = e
	}
	return e
}

// StartEpoch notes an entry's process start. A restarted entry runs nothing
// that was granted before, and counts its grants anew.
func (d *Dispatcher) StartEpoch(now time.Duration, id string, epoch uint64) {
	e := d.entry(id)
	if e.epoch == epoch {
		return
	}
	if e.epoch != 0 {
		d.DropEntry(now, id)
		e = d.entry(id)
	}
	e.epoch = epoch
}

// ApplyDemand takes a demand from an entry. One that is older than the last
// is dropped.
func (d *Dispatcher) ApplyDemand(now time.Duration, from string, demand *qlwire.Demand) {
	e := d.entry(from)
	if demand.GetSequence() <= e.sequence {
		return
	}
	e.sequence = demand.GetSequence()
	e.clock = time.Duration(demand.GetClock())
	e.clockAt = now
	e.heardAt = now
	d.applyUses(now, e, demand)
	if demand.GetFull() {
		d.clearWants(e)
		d.applyAdopted(now, e, demand.GetAdopted())
	}
	for _, item := range demand.GetItems() {
		d.setWant(now, e, item.GetCustomer(), item.GetPool(), int(item.GetWaiting()), float64(item.GetEstimate()), demand.GetGrantsSeen())
	}
	d.pumpAll(now)
}

// Want is the demand of the entry in this same process, which has handled
// grants up to the number seen. It returns how many requests still wait when
// all that can be granted is.
func (d *Dispatcher) Want(now time.Duration, customer, pool string, waiting int, estimate float64, seen uint64) int {
	p := d.pools[pool]
	if p == nil {
		return waiting
	}
	e := d.entry(d.config.Self)
	e.clock = now
	e.clockAt = now
	e.heardAt = now
	d.setWant(now, e, customer, pool, waiting, estimate, seen)
	d.pump(now, p)
	a := p.accounts[customer]
	if a == nil {
		return waiting
	}
	return a.want(e).waiting
}

func (d *Dispatcher) applyUses(now time.Duration, e *entryState, demand *qlwire.Demand) {
	for _, use := range demand.GetUses() {
		record := e.grants[use.GetGrant()]
		if record == nil {
			continue
		}
		record.mark = demand.GetSequence()
		d.progress(record, float64(use.GetCost()))
	}
	for _, record := range sortedRecords(e.grants) {
		if record.number > demand.GetGrantsSeen() {
			if record.void > 0 && time.Duration(demand.GetClock()) > record.void {
				d.lose(now, e, record)
			}
			continue
		}
		record.seen = true
		// Seen and not in use any more: its Done was lost.
		if demand.GetFull() && record.mark != demand.GetSequence() {
			d.release(now, e, record)
		}
	}
}

// lose ends a grant that never reached its entry. The entry's request waits
// still, so it counts as waiting here again; were the grant kept as on its
// way, it would answer the entry's demand for ever.
func (d *Dispatcher) lose(now time.Duration, e *entryState, record *grantRecord) {
	a := record.account
	w := a.want(e)
	for i, number := range w.unseen {
		if number == record.number {
			w.unseen = append(w.unseen[:i], w.unseen[i+1:]...)
			w.waiting++
			d.adjustWaiting(a, 1)
			break
		}
	}
	a.service.Charge(-record.charged)
	a.service.AddUnderWay(-record.charged)
	a.bucket += record.charged
	record.charged = 0
	d.enqueue(a)
	d.release(now, e, record)
}

func (d *Dispatcher) applyAdopted(now time.Duration, e *entryState, uses []*qlwire.UpstreamUse) {
	for _, r := range d.replicas {
		delete(r.adopted, e.id)
	}
	for _, use := range uses {
		if r := d.replicas[use.GetUpstream()]; r != nil {
			r.adopt(now, e.id, int(use.GetRunning()))
		}
	}
}

func (d *Dispatcher) clearWants(e *entryState) {
	for _, p := range d.pools {
		for _, a := range p.accounts {
			for i := range a.wants {
				if a.wants[i].entry == e {
					d.adjustWaiting(a, -a.wants[i].waiting)
					a.wants[i].waiting = 0
				}
			}
		}
	}
}

func (d *Dispatcher) setWant(now time.Duration, e *entryState, customer, poolName string, waiting int, estimate float64, seen uint64) {
	p := d.pools[poolName]
	if p == nil {
		return
	}
	a := d.account(now, p, customer)
	if a == nil {
		return
	}
	w := a.want(e)
	w.pruneUnseen(seen)
	w.estimate = estimate
	// Grants on their way to the entry answer part of what it stated.
	effective := max(0, waiting-len(w.unseen))
	d.adjustWaiting(a, effective-w.waiting)
	w.waiting = effective
	if a.waiting > 0 {
		a.activeAt = now
		d.enqueue(a)
		return
	}
	p.queue.Remove(a.flow)
}

func (a *account) want(e *entryState) *want {
	for i := range a.wants {
		if a.wants[i].entry == e {
			return &a.wants[i]
		}
	}
	a.wants = append(a.wants, want{
		entry: e,
	})
	return &a.wants[len(a.wants)-1]
}

func (w *want) pruneUnseen(seen uint64) {
	kept := w.unseen[:0]
	for _, number := range w.unseen {
		if number > seen {
			kept = append(kept, number)
		}
	}
	w.unseen = kept
}

func (d *Dispatcher) adjustWaiting(a *account, by int) {
	if by == 0 {
		return
	}
	a.waiting += by
	a.pool.waiting += by
	a.dirty = true
}

func (d *Dispatcher) account(now time.Duration, p *pool, customer string) *account {
	if a := p.accounts[customer]; a != nil {
		return a
	}
	limits, ok := d.config.Limits(customer)
	if !ok {
		return nil
	}
	a := &account{
		service: qlfair.NewAccount(qlfair.AccountConfig{
			ID:    customer,
			Share: limits.Share,
			Start: p.virtualTime,
		}),
		pool:     p,
		limits:   limits,
		activeAt: now,
		bucketAt: now,
	}
	a.flow = qlfair.NewFlow(a.service, a)
	p.accounts[customer] = a
	return a
}

// RefreshLimits reads every customer's limits again after a change of the
// configuration. A raised limit is in force at once for this router's part;
// customers that are gone are dropped when their requests have ended.
func (d *Dispatcher) RefreshLimits(now time.Duration) {
	d.version++
	for _, name := range d.names {
		p := d.pools[name]
		for customer, a := range p.accounts {
			limits, ok := d.config.Limits(customer)
			if !ok {
				d.forget(p, a)
				continue
			}
			if limits != a.limits {
				a.limits = limits
				a.service.SetShare(limits.Share)
				// The home's allotment was cut from the old limit.
				a.allottedUntil = 0
				a.dirty = true
			}
			d.unpark(a)
		}
		d.pump(now, p)
	}
}

func (d *Dispatcher) forget(p *pool, a *account) {
	p.queue.Remove(a.flow)
	p.waiting -= a.waiting
	a.waiting = 0
	if a.inFlight == 0 {
		delete(p.accounts, a.service.ID())
	}
}

func (d *Dispatcher) pumpAll(now time.Duration) {
	for _, name := range d.names {
		d.pump(now, d.pools[name])
	}
}

// pump grants while a slot is free and someone may have it.
func (d *Dispatcher) pump(now time.Duration, p *pool) {
	for {
		flow := p.queue.Min()
		if flow == nil {
			return
		}
		a := flow.Value()
		if !d.mayGrant(now, a) {
			d.park(a)
			continue
		}
		w := a.nextWant()
		if w == nil {
			p.queue.Remove(flow)
			continue
		}
		r := d.choose(now, p)
		if r == nil {
			return
		}
		d.grant(now, p, a, w, r)
	}
}

// nextWant takes the entries that wait for the customer in turn.
func (a *account) nextWant() *want {
	for range a.wants {
		a.next++
		if a.next >= len(a.wants) {
			a.next = 0
		}
		if a.wants[a.next].waiting > 0 {
			return &a.wants[a.next]
		}
	}
	return nil
}

func (d *Dispatcher) mayGrant(now time.Duration, a *account) bool {
	return a.inFlight < d.allotment(now, a) && d.rateAllows(now, a)
}

// allotment is this router's part of the customer's bound on requests in
// flight: the home's word while its lease lasts, else a part that is safe
// whatever the others do.
func (d *Dispatcher) allotment(now time.Duration, a *account) int {
	if now < a.allottedUntil {
		return a.allotted
	}
	return d.fallbackPart(a)
}

// fallbackPart is what this router may use of the customer's bound without
// asking: the parts of all dispatchers add up to the bound.
func (d *Dispatcher) fallbackPart(a *account) int {
	if a.partVersion != d.version {
		rank, total := d.config.Fallback(a.pool.name, a.service.ID())
		a.part = Fraction(a.limits.MaxInFlight, rank, total)
		a.partVersion = d.version
	}
	return a.part
}

// Fraction divides whole over total parts, the first ranks taking the rest.
func Fraction(whole, rank, total int) int {
	if total <= 0 {
		return whole
	}
	part := whole / total
	if rank < whole%total {
		part++
	}
	return part
}

func (d *Dispatcher) rateAllows(now time.Duration, a *account) bool {
	if a.limits.CostRate <= 0 {
		return true
	}
	rate := a.allottedRate
	if now >= a.allottedUntil {
		_, total := d.config.Fallback(a.pool.name, a.service.ID())
		rate = a.limits.CostRate / float64(max(total, 1))
	}
	a.bucket += rate * (now - a.bucketAt).Seconds()
	a.bucket = min(a.bucket, rate*_rateBurst.Seconds())
	a.bucketAt = now
	return a.bucket >= 0
}

func (d *Dispatcher) park(a *account) {
	a.pool.queue.Remove(a.flow)
	if !a.parked {
		a.parked = true
		a.pool.parked = append(a.pool.parked, a)
	}
}

func (d *Dispatcher) unpark(a *account) {
	if !a.parked {
		return
	}
	a.parked = false
	for i, other := range a.pool.parked {
		if other == a {
			last := len(a.pool.parked) - 1
			a.pool.parked[i] = a.pool.parked[last]
			a.pool.parked = a.pool.parked[:last]
			break
		}
	}
	d.enqueue(a)
}

func (d *Dispatcher) enqueue(a *account) {
	if a.waiting > 0 && !a.parked {
		a.pool.queue.Push(a.flow)
	}
}

// choose returns the least loaded upstream with a free slot, or nil. Equal
// ones take turns, so that prompts without locality spread out.
func (d *Dispatcher) choose(now time.Duration, p *pool) *replica {
	var best *replica
	bestLoad := 0.0
	p.rotation++
	for i := range p.replicas {
		r := p.replicas[(i+p.rotation)%len(p.replicas)]
		if r.free(now) <= 0 {
			continue
		}
		if load := float64(r.inUse+r.foreignNow(now)) / float64(r.slots); best == nil || load < bestLoad {
			best, bestLoad = r, load
		}
	}
	return best
}

func (d *Dispatcher) grant(now time.Duration, p *pool, a *account, w *want, r *replica) {
	start := a.service.VirtualTime()
	cost := math.Round(min(max(w.estimate, _minCost), p.largestCost))
	e := w.entry
	d.numbered++
	record := d.newRecord()
	record.number = d.numbered
	record.account = a
	record.replica = r
	record.charged = cost
	record.issuedAt = now
	record.void = e.clock + now - e.clockAt + _sendWithin
	e.grants[record.number] = record
	w.waiting--
	w.unseen = append(w.unseen, record.number)
	d.adjustWaiting(a, -1)
	a.inFlight++
	a.activeAt = now
	a.bucket -= cost
	a.service.Charge(cost)
	a.service.AddUnderWay(cost)
	r.inUse++
	r.peak = max(r.peak, r.inUse)
	p.level = start
	if a.waiting > 0 {
		p.queue.Fix(a.flow)
	} else {
		p.queue.Remove(a.flow)
	}
	d.config.Monitor.Check(r.inUse <= r.slots, qlinvariant.SlotsOvercommitted, r.id, p.name)
	d.config.Monitor.Check(!r.leaving && r.owned, qlinvariant.LeavingUpstreamGranted, r.id, p.name)
	d.config.Grant(Grant{
		entry:    e.id,
		number:   record.number,
		customer: a.service.ID(),
		pool:     p.name,
		upstream: r.id,
		echo:     e.clock,
		held:     now - e.clockAt,
	})
}

func (d *Dispatcher) newRecord() *grantRecord {
	if last := len(d.spare) - 1; last >= 0 {
		record := d.spare[last]
		d.spare = d.spare[:last]
		*record = grantRecord{}
		return record
	}
	return &grantRecord{}
}

// Done ends a grant with the request's true cost. A repeated one is ignored.
func (d *Dispatcher) Done(now time.Duration, from string, number uint64, cost float64, outcome Outcome) {
	e := d.entries[from]
	if e == nil {
		return
	}
	record := e.grants[number]
	if record == nil {
		return
	}
	if outcome == Declined || outcome == Unreached {
		cost = 0
	}
	// Counters hold whole units, so that they are the same on the wire.
	cost = float64(qlwire.WholeCost(cost))
	a := record.account
	a.service.Charge(cost - record.charged)
	a.service.AddUnderWay(cost - record.charged)
	a.bucket += record.charged - cost
	record.charged = cost
	d.judge(now, record.replica, outcome)
	d.release(now, e, record)
}

// Progress charges what a running stream has cost so far.
func (d *Dispatcher) Progress(from string, number uint64, cost float64) {
	if e := d.entries[from]; e != nil && e.grants[number] != nil {
		d.progress(e.grants[number], cost)
	}
}

func (d *Dispatcher) progress(record *grantRecord, cost float64) {
	cost = float64(qlwire.WholeCost(cost))
	if cost <= record.charged {
		return
	}
	a := record.account
	a.service.Charge(cost - record.charged)
	a.service.AddUnderWay(cost - record.charged)
	a.bucket -= cost - record.charged
	record.charged = cost
	a.dirty = true
	a.pool.queue.Fix(a.flow)
}

// judge adapts how much an upstream is given to how it does. One that
// refuses connections gets nothing until it answers a load poll or its
// back-off ends; one that fails keeps at least one slot, so that trouble
// everywhere never closes a pool.
func (d *Dispatcher) judge(now time.Duration, r *replica, outcome Outcome) {
	switch outcome {
	case Answered:
		r.backoff = 0
		r.limit = min(r.slots, r.limit+1)
	case Failed:
		r.limit = max(1, r.limit/2)
	case Unreached:
		r.backoff = min(max(2*r.backoff, _shortestBackoff), _longestBackoff)
		r.downUntil = now + r.backoff
	case Declined, Abandoned:
	}
}

func (d *Dispatcher) release(now time.Duration, e *entryState, record *grantRecord) {
	delete(e.grants, record.number)
	a := record.account
	r := record.replica
	a.inFlight--
	a.service.AddUnderWay(-record.charged)
	a.dirty = true
	a.activeAt = now
	r.inUse--
	d.unpark(a)
	a.pool.queue.Fix(a.flow)
	d.spare = append(d.spare, record)
	if !r.owned && r.inUse == 0 {
		d.dropReplica(r)
	}
	d.pump(now, a.pool)
}

// dropReplica forgets an upstream that another router owns now, once the
// last request by a grant from here has ended.
func (d *Dispatcher) dropReplica(r *replica) {
	delete(d.replicas, r.id)
	for i, other := range r.pool.replicas {
		if other == r {
			r.pool.replicas = append(r.pool.replicas[:i:i], r.pool.replicas[i+1:]...)
			return
		}
	}
}

// DropEntry forgets a router that is gone: its demands wait no more, and its
// grants no longer hold slots. What may still run shows in load reports.
func (d *Dispatcher) DropEntry(now time.Duration, id string) {
	e := d.entries[id]
	if e == nil {
		return
	}
	d.clearWants(e)
	for _, p := range d.pools {
		for _, a := range p.accounts {
			a.dropWant(e)
		}
	}
	d.applyAdopted(now, e, nil)
	delete(d.entries, id)
	for _, record := range sortedRecords(e.grants) {
		d.release(now, e, record)
	}
}

func (a *account) dropWant(e *entryState) {
	for i := range a.wants {
		if a.wants[i].entry == e {
			a.wants = append(a.wants[:i], a.wants[i+1:]...)
			return
		}
	}
}

func sortedRecords(grants map[uint64]*grantRecord) []*grantRecord {
	records := make([]*grantRecord, 0, len(grants))
	for _, record := range grants {
		records = append(records, record)
	}
	sort.Slice(records, func(i, j int) bool {
		return records[i].number < records[j].number
	})
	return records
}
