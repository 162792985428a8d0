package qldispatch

import (
	"math"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlinvariant"
	"github.com/quetzallane/quetzallane/internal/qlwire"
)

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
			d.park(now, a)
			continue
		}
		w := a.nextWant()
		if w == nil {
			p.queue.Remove(flow)
			continue
		}
		r := p.choose(now, a)
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
	record.void = e.clock + now - e.clockAt + MaxGrantAge
	e.grants[record.number] = record
	w.waiting--
	w.unseen = append(w.unseen, record.number)
	d.adjustWaiting(a, -1)
	a.inFlight++
	a.activeAt = now
	a.bucket -= cost
	a.service.Charge(cost)
	a.service.AddInFlightCost(cost)
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
	d.config.OnGrant(Grant{
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
	a.service.AddInFlightCost(cost - record.charged)
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
	a.service.AddInFlightCost(cost - record.charged)
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
	a.service.AddInFlightCost(-record.charged)
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
