package qldispatch

import (
	"sort"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlwire"
)

func (d *Dispatcher) entry(id string) *entryState {
	e := d.entries[id]
	if e == nil {
		e = &entryState{
			id:       id,
			grants:   make(map[uint64]*grantRecord),
			accounts: make(map[*account]struct{}),
		}
		d.entries[id] = e
	}
	return e
}

// StartEpoch records the start of an entry's process. A restarted entry has no
// active requests by earlier grants and counts the grants that it receives from
// zero, so what is known of the earlier process is dropped.
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

// ApplyDemand applies a demand from an entry. A demand that is not newer than
// the last one is ignored.
func (d *Dispatcher) ApplyDemand(now time.Duration, from string, demand *qlwire.Demand) {
	e := d.entry(from)
	if demand.GetSequence() <= e.sequence {
		return
	}
	e.sequence = demand.GetSequence()
	e.clock = qlwire.ToClock(demand.GetClock())
	e.clockReceivedAt = now
	e.lastDemandAt = now
	d.applyUses(now, e, demand)
	if demand.GetFull() {
		d.clearDemands(e)
		d.applyAdopted(now, e, demand.GetAdopted())
	}
	for _, item := range demand.GetItems() {
		d.setDemand(now, e, item.GetCustomer(), item.GetPool(), int(item.GetWaiting()), float64(item.GetEstimate()), demand.GetGrantsSeen())
	}
	if sum := demand.GetSum(); sum != 0 && sum != e.checksum(demand.GetGrantsSeen()) {
		d.config.RequestFullDemand(from)
	}
	d.grantFreeSlotsInAllPools(now)
}

// checksum returns the checksum over the demands and grants that the entry
// should have at this dispatcher, given that it has received grants up to the
// number seen. Demands for no requests are removed on the way.
func (e *entryState) checksum(seen uint64) uint32 {
	var sum qlwire.DemandChecksum
	for a := range e.accounts {
		demand := a.demandOf(e)
		demand.pruneUnseenGrants(seen)
		// The entry still counts requests as waiting whose grants it has not
		// received.
		stated := demand.waiting + len(demand.unseenGrants)
		if stated == 0 {
			a.dropDemand(e)
			continue
		}
		sum.AddItem(a.hash, stated)
	}
	for number := range e.grants {
		if number <= seen {
			sum.AddGrant(number)
		}
	}
	return sum.Wire()
}

// SetLocalDemand sets the demand of the entry in this process, which has
// received grants up to the number seen. It returns the number of requests that
// still wait after all available slots have been granted.
func (d *Dispatcher) SetLocalDemand(now time.Duration, customer, pool string, waiting int, estimate float64, seen uint64) int {
	p := d.pools[pool]
	if p == nil {
		return waiting
	}
	e := d.entry(d.config.Self)
	e.clock = now
	e.clockReceivedAt = now
	e.lastDemandAt = now
	d.setDemand(now, e, customer, pool, waiting, estimate, seen)
	d.grantFreeSlots(now, p)
	a := p.accounts[customer]
	if a == nil {
		return waiting
	}
	return a.demandOf(e).waiting
}

// applyUses charges the costs of the grants that a demand lists as in use, and
// ends the entry's grants that were lost or have ended unnoticed.
func (d *Dispatcher) applyUses(now time.Duration, e *entryState, demand *qlwire.Demand) {
	for _, use := range demand.GetUses() {
		record := e.grants[use.GetGrant()]
		if record == nil {
			continue
		}
		record.lastListedIn = demand.GetSequence()
		d.chargeProgress(record, float64(use.GetCost()))
	}
	for _, record := range sortedRecords(e.grants) {
		if record.number > demand.GetGrantsSeen() {
			if record.expiresAt > 0 && e.clock > record.expiresAt {
				d.reclaimLostGrant(now, e, record)
			}
			continue
		}
		record.seen = true
		// The entry does not use the grant any more: the message that reported
		// its end was lost, or the grant itself was lost before a later one
		// arrived.
		if demand.GetFull() && record.lastListedIn != demand.GetSequence() {
			d.endGrant(now, e, record)
		}
	}
}

// reclaimLostGrant ends a grant that never reached its entry, and refunds its
// charge. The entry's
// request still waits, so it is counted as waiting again. If the grant were
// kept as in transit, it would offset the entry's demand forever.
func (d *Dispatcher) reclaimLostGrant(now time.Duration, e *entryState, record *grantRecord) {
	a := record.account
	demand := a.demandOf(e)
	for i, number := range demand.unseenGrants {
		if number == record.number {
			demand.unseenGrants = append(demand.unseenGrants[:i], demand.unseenGrants[i+1:]...)
			demand.waiting++
			d.adjustWaiting(a, 1)
			break
		}
	}
	a.service.Charge(-record.charged)
	a.service.AddInFlightCost(-record.charged)
	a.costBudget += record.charged
	record.charged = 0
	d.enqueue(a)
	d.endGrant(now, e, record)
}

func (d *Dispatcher) applyAdopted(now time.Duration, e *entryState, uses []*qlwire.UpstreamUse) {
	for _, u := range d.upstreams {
		delete(u.adopted, e.id)
	}
	for _, use := range uses {
		if u := d.upstreams[use.GetUpstream()]; u != nil {
			u.setAdopted(now, e.id, int(use.GetRunning()))
		}
	}
}

func (d *Dispatcher) clearDemands(e *entryState) {
	for a := range e.accounts {
		demand := a.demandOf(e)
		d.adjustWaiting(a, -demand.waiting)
		demand.waiting = 0
	}
}

func (d *Dispatcher) setDemand(now time.Duration, e *entryState, customer, poolName string, waiting int, estimate float64, seen uint64) {
	p := d.pools[poolName]
	if p == nil {
		return
	}
	a := d.account(now, p, customer)
	if a == nil {
		return
	}
	demand := a.demandOf(e)
	demand.pruneUnseenGrants(seen)
	if waiting > 0 {
		demand.estimate = estimate
	}
	// Grants in transit to the entry already cover part of its demand.
	effective := max(0, waiting-len(demand.unseenGrants))
	d.adjustWaiting(a, effective-demand.waiting)
	demand.waiting = effective
	if a.waiting > 0 {
		a.activeAt = now
		d.enqueue(a)
		return
	}
	p.queue.Remove(a.flow)
}

// demandOf returns the entry's demand for the customer, which is empty at
// first.
func (a *account) demandOf(e *entryState) *entryDemand {
	for i := range a.demands {
		if a.demands[i].entry == e {
			return &a.demands[i]
		}
	}
	a.demands = append(a.demands, entryDemand{
		entry: e,
	})
	e.accounts[a] = struct{}{}
	return &a.demands[len(a.demands)-1]
}

// pruneUnseenGrants removes the grants up to the number seen.
func (demand *entryDemand) pruneUnseenGrants(seen uint64) {
	kept := demand.unseenGrants[:0]
	for _, number := range demand.unseenGrants {
		if number > seen {
			kept = append(kept, number)
		}
	}
	demand.unseenGrants = kept
}

func (d *Dispatcher) adjustWaiting(a *account, by int) {
	if by == 0 {
		return
	}
	a.waiting += by
	a.pool.waiting += by
	a.dirty = true
}

// DropEntry removes a router that is gone: its demands no longer wait, and its
// grants no longer occupy slots. Requests that it may still run appear in the
// upstreams' load reports.
func (d *Dispatcher) DropEntry(now time.Duration, id string) {
	e := d.entries[id]
	if e == nil {
		return
	}
	d.clearDemands(e)
	for a := range e.accounts {
		a.dropDemand(e)
	}
	d.applyAdopted(now, e, nil)
	delete(d.entries, id)
	for _, record := range sortedRecords(e.grants) {
		d.endGrant(now, e, record)
	}
}

func (a *account) dropDemand(e *entryState) {
	delete(e.accounts, a)
	for i := range a.demands {
		if a.demands[i].entry == e {
			a.demands = append(a.demands[:i], a.demands[i+1:]...)
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
