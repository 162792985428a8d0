package qldispatch

import (
	"math"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlinvariant"
	"github.com/quetzallane/quetzallane/internal/qlwire"
)

func (d *Dispatcher) grantFreeSlotsInAllPools(now time.Duration) {
	for _, name := range d.poolNames {
		d.grantFreeSlots(now, d.pools[name])
	}
}

// grantFreeSlots grants the pool's slots until none is free or no waiting
// customer may use one.
func (d *Dispatcher) grantFreeSlots(now time.Duration, p *pool) {
	for {
		flow := p.queue.Min()
		if flow == nil {
			return
		}
		a := flow.Value()
		if !d.withinLimits(now, a) {
			d.park(now, a)
			continue
		}
		demand := a.nextDemand()
		if demand == nil {
			p.queue.Remove(flow)
			continue
		}
		u := p.choose(now, a)
		if u == nil {
			return
		}
		d.grant(now, p, a, demand, u)
	}
}

// nextDemand returns the demand of the next entry at which the customer waits,
// by round robin, or nil if there is none.
func (a *account) nextDemand() *entryDemand {
	for range a.demands {
		a.lastServed++
		if a.lastServed >= len(a.demands) {
			a.lastServed = 0
		}
		if a.demands[a.lastServed].waiting > 0 {
			return &a.demands[a.lastServed]
		}
	}
	return nil
}

// withinLimits reports whether the customer's limits permit another grant here.
func (d *Dispatcher) withinLimits(now time.Duration, a *account) bool {
	return a.inFlight < d.allotment(now, a) && d.withinCostRate(now, a)
}

// grant charges the estimated cost to the customer, records the grant and
// passes it to Config.OnGrant.
func (d *Dispatcher) grant(now time.Duration, p *pool, a *account, demand *entryDemand, u *upstream) {
	virtualTimeBefore := a.service.VirtualTime()
	cost := math.Round(min(max(demand.estimate, _minCost), p.largestCost))
	e := demand.entry
	d.lastGrantNumber++
	record := d.newRecord()
	record.number = d.lastGrantNumber
	record.account = a
	record.upstream = u
	record.charged = cost
	record.issuedAt = now
	record.expiresAt = e.clock + now - e.clockReceivedAt + MaxGrantAge
	e.grants[record.number] = record
	demand.waiting--
	demand.unseenGrants = append(demand.unseenGrants, record.number)
	d.adjustWaiting(a, -1)
	a.inFlight++
	a.activeAt = now
	a.costBudget -= cost
	a.service.Charge(cost)
	a.service.AddInFlightCost(cost)
	u.inUse++
	u.peak = max(u.peak, u.inUse)
	p.lastGrantVirtualTime = virtualTimeBefore
	if a.waiting > 0 {
		p.queue.Fix(a.flow)
	} else {
		p.queue.Remove(a.flow)
	}
	d.config.Monitor.Check(u.inUse <= u.slots, qlinvariant.SlotsOvercommitted, u.id, p.name)
	d.config.Monitor.Check(!u.leaving && u.owned, qlinvariant.LeavingUpstreamGranted, u.id, p.name)
	d.config.OnGrant(Grant{
		entry:     e.id,
		number:    record.number,
		customer:  a.service.ID(),
		pool:      p.name,
		upstream:  u.id,
		echo:      e.clock,
		demandAge: now - e.clockReceivedAt,
	})
}

func (d *Dispatcher) newRecord() *grantRecord {
	if last := len(d.freeRecords) - 1; last >= 0 {
		record := d.freeRecords[last]
		d.freeRecords = d.freeRecords[:last]
		*record = grantRecord{}
		return record
	}
	return &grantRecord{}
}

// Done ends a grant and corrects its charge to the request's actual cost. A
// repeated call is ignored.
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
	// Counters hold whole cost units, so that their encoding is exact.
	cost = float64(qlwire.WholeCost(cost))
	a := record.account
	a.service.Charge(cost - record.charged)
	a.service.AddInFlightCost(cost - record.charged)
	a.costBudget += record.charged - cost
	record.charged = cost
	d.recordOutcome(now, record.upstream, outcome)
	d.endGrant(now, e, record)
}

// Progress charges the cost so far of a request that still streams.
func (d *Dispatcher) Progress(from string, number uint64, cost float64) {
	if e := d.entries[from]; e != nil && e.grants[number] != nil {
		d.chargeProgress(e.grants[number], cost)
	}
}

func (d *Dispatcher) chargeProgress(record *grantRecord, cost float64) {
	cost = float64(qlwire.WholeCost(cost))
	if cost <= record.charged {
		return
	}
	a := record.account
	a.service.Charge(cost - record.charged)
	a.service.AddInFlightCost(cost - record.charged)
	a.costBudget -= cost - record.charged
	record.charged = cost
	a.dirty = true
	a.pool.queue.Fix(a.flow)
}

// recordOutcome adapts how many slots of an upstream are granted to the outcome of
// a request.
// An upstream that refuses connections receives none until it answers a load
// poll or its back-off ends. An upstream that fails keeps at least one slot, so
// that failures of all upstreams never close a pool.
func (d *Dispatcher) recordOutcome(now time.Duration, u *upstream, outcome Outcome) {
	switch outcome {
	case Answered:
		u.backoff = 0
		u.adaptiveLimit = min(u.slots, u.adaptiveLimit+1)
	case Failed:
		u.adaptiveLimit = max(1, u.adaptiveLimit/2)
	case Unreached:
		u.backoff = min(max(2*u.backoff, _minBackoff), _maxBackoff)
		u.ejectedUntil = now + u.backoff
	case Declined, Abandoned:
	}
}

// endGrant frees the slot of a grant that has ended and grants the pool's free
// slots again. The cost charged remains.
func (d *Dispatcher) endGrant(now time.Duration, e *entryState, record *grantRecord) {
	delete(e.grants, record.number)
	a := record.account
	u := record.upstream
	a.inFlight--
	a.service.AddInFlightCost(-record.charged)
	a.dirty = true
	a.activeAt = now
	u.inUse--
	d.unpark(a)
	a.pool.queue.Fix(a.flow)
	d.freeRecords = append(d.freeRecords, record)
	if !u.owned && u.inUse == 0 {
		d.removeUpstream(u)
	}
	d.grantFreeSlots(now, a.pool)
}

// removeUpstream removes an upstream that another router owns now, once the
// last request granted here has ended.
func (d *Dispatcher) removeUpstream(u *upstream) {
	delete(d.upstreams, u.id)
	for i, listed := range u.pool.upstreams {
		if listed == u {
			u.pool.upstreams = append(u.pool.upstreams[:i:i], u.pool.upstreams[i+1:]...)
			return
		}
	}
}
