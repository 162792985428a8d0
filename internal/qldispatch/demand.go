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
	e.clock = qlwire.ToClock(demand.GetClock())
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
	if sum := demand.GetSum(); sum != 0 && sum != e.sum(demand.GetGrantsSeen()) {
		d.config.RequestFullDemand(from)
	}
	d.pumpAll(now)
}

// sum adds up what the entry should share with this dispatcher, by what it has
// seen of the grants. Wants that have come to nothing are dropped on the way.
func (e *entryState) sum(seen uint64) uint32 {
	var sum qlwire.DemandSum
	for a := range e.accounts {
		w := a.want(e)
		w.pruneUnseen(seen)
		// The entry does not know yet of the grants that it has not seen.
		stated := w.waiting + len(w.unseen)
		if stated == 0 {
			a.dropWant(e)
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

// SetLocalDemand is the demand of the entry in this same process, which has handled
// grants up to the number seen. It returns how many requests still wait when
// all that can be granted is.
func (d *Dispatcher) SetLocalDemand(now time.Duration, customer, pool string, waiting int, estimate float64, seen uint64) int {
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
			if record.void > 0 && e.clock > record.void {
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
	a.service.AddInFlightCost(-record.charged)
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
	for a := range e.accounts {
		w := a.want(e)
		d.adjustWaiting(a, -w.waiting)
		w.waiting = 0
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
	if waiting > 0 {
		w.estimate = estimate
	}
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
	e.accounts[a] = struct{}{}
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

// DropEntry forgets a router that is gone: its demands wait no more, and its
// grants no longer hold slots. What may still run shows in load reports.
func (d *Dispatcher) DropEntry(now time.Duration, id string) {
	e := d.entries[id]
	if e == nil {
		return
	}
	d.clearWants(e)
	for a := range e.accounts {
		a.dropWant(e)
	}
	d.applyAdopted(now, e, nil)
	delete(d.entries, id)
	for _, record := range sortedRecords(e.grants) {
		d.release(now, e, record)
	}
}

func (a *account) dropWant(e *entryState) {
	delete(e.accounts, a)
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
