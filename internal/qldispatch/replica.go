package qldispatch

import (
	"sort"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlwire"
)

// free returns the number of slots that may be granted now.
func (u *upstream) free(now time.Duration) int {
	if !u.inService(now) {
		return 0
	}
	return min(u.slots-u.foreignRequests(now), u.adaptiveLimit) - u.inUse
}

// inService reports whether the upstream may receive grants now.
func (u *upstream) inService(now time.Duration) bool {
	return u.owned && !u.leaving && now >= u.holdOffUntil && now >= u.ejectedUntil
}

// foreignRequests returns the number of requests at the upstream that were not
// granted here: those that entries still run by an earlier owner's grants, or
// those in the load report beyond this dispatcher's own, whichever is higher.
func (u *upstream) foreignRequests(now time.Duration) int {
	adopted := 0
	for _, a := range u.adopted {
		if now-a.at <= _adoptionExpiry {
			adopted += a.running
		}
	}
	if u.hasLoadReport && now-u.loadReportedAt <= _loadReportExpiry {
		return max(adopted, u.foreign)
	}
	return adopted
}

// rotatePeak starts a new window for the peak of the dispatcher's own requests
// when the current one has ended. A load report may have been sampled in either
// the current or the previous window.
func (u *upstream) rotatePeak(now time.Duration) {
	if now-u.peakRotatedAt < _peakWindow {
		return
	}
	u.previousPeak = u.peak
	u.peak = u.inUse
	u.peakRotatedAt = now
}

// ApplyLoad applies an upstream's report of its running requests. The report is
// delayed, so only requests beyond the recent peak of the dispatcher's own are
// counted as foreign.
func (d *Dispatcher) ApplyLoad(now time.Duration, upstream string, running int) {
	u := d.upstreams[upstream]
	if u == nil {
		return
	}
	u.foreign = max(0, running-max(u.peak, u.previousPeak, u.inUse))
	u.hasLoadReport = true
	u.loadReportedAt = now
	u.holdOffUntil = min(u.holdOffUntil, now)
	u.ejectedUntil = min(u.ejectedUntil, now)
	d.grantFreeSlots(now, u.pool)
}

// ApplyLoadFailure records that an upstream did not answer a load poll.
func (d *Dispatcher) ApplyLoadFailure(now time.Duration, upstream string) {
	if u := d.upstreams[upstream]; u != nil && u.owned {
		d.recordOutcome(now, u, Unreached)
	}
}

// OwnedUpstreams returns the IDs of the upstreams that the dispatcher owns, and
// whose load is therefore to be polled, sorted.
func (d *Dispatcher) OwnedUpstreams() []string {
	var ids []string
	for id, u := range d.upstreams {
		if u.owned {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// Tick does the work that depends on time alone: it reclaims grants whose
// receipt was never confirmed and those of silent entries, refills rate limits
// and removes customers that have long been idle.
func (d *Dispatcher) Tick(now time.Duration) {
	for _, u := range d.upstreams {
		u.rotatePeak(now)
	}
	for _, id := range d.entryIDs() {
		d.expireGrants(now, d.entries[id])
	}
	for _, name := range d.poolNames {
		p := d.pools[name]
		for len(p.parked) > 0 {
			d.unpark(p.parked[len(p.parked)-1])
		}
		d.grantFreeSlots(now, p)
	}
	if now >= d.nextSweep {
		d.nextSweep = now + _sweepPeriod
		for _, name := range d.poolNames {
			d.removeIdleAccounts(now, d.pools[name])
		}
	}
}

func (d *Dispatcher) entryIDs() []string {
	ids := make([]string, 0, len(d.entries))
	for id := range d.entries {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

func (d *Dispatcher) expireGrants(now time.Duration, e *entryState) {
	if e.id == d.config.Self {
		return
	}
	if len(e.grants) > 0 && now-e.lastDemandAt > _entryTimeout {
		d.DropEntry(now, e.id)
		return
	}
	for _, record := range sortedRecords(e.grants) {
		if !record.seen && now-record.issuedAt > _grantTimeout {
			d.reclaimLostGrant(now, e, record)
		}
	}
}

func (d *Dispatcher) removeIdleAccounts(now time.Duration, p *pool) {
	for _, a := range p.accounts {
		idle := a.inFlight == 0 && a.waiting == 0 && !a.dirty
		if idle && now-a.activeAt > _idleAccountExpiry {
			d.removeAccount(p, a)
		}
	}
}

// SlotCount counts the slots and the waiting requests of one pool at a
// dispatcher.
type SlotCount struct {
	inService int
	free      int
	waiting   int
}

// InService returns the number of slots of upstreams in service.
func (s SlotCount) InService() int {
	return s.inService
}

// Free returns the number of slots that may be granted now.
func (s SlotCount) Free() int {
	return s.free
}

// InUse returns the number of slots of upstreams in service that may not be
// granted now.
func (s SlotCount) InUse() int {
	return s.inService - s.free
}

// Waiting returns the number of requests that wait for a slot, without those
// that their customer's limit holds back.
func (s SlotCount) Waiting() int {
	return s.waiting
}

// Slots counts the slots and the waiting requests of one pool.
func (d *Dispatcher) Slots(now time.Duration, name string) SlotCount {
	p := d.pools[name]
	if p == nil {
		return SlotCount{}
	}
	count := SlotCount{
		waiting: p.waiting,
	}
	for _, a := range p.parked {
		count.waiting -= a.waiting
	}
	for _, u := range p.upstreams {
		count.free += max(0, u.free(now))
		if u.inService(now) {
			count.inService += u.slots
		}
	}
	return count
}

// PoolLevel returns the state of one pool here, for entries that look for free
// slots.
func (d *Dispatcher) PoolLevel(now time.Duration, name string) *qlwire.PoolLevel {
	level := &qlwire.PoolLevel{
		Pool: name,
	}
	if p := d.pools[name]; p != nil {
		slots := d.Slots(now, name)
		level.Level = qlwire.FromVirtual(p.nextVirtualTime())
		level.Free = uint32(slots.Free())
		level.Waiting = uint32(p.waiting)
		level.Limited = uint32(p.waiting - slots.Waiting())
	}
	return level
}

// nextVirtualTime returns the virtual time of the customer that is served next
// here. If no customer waits, it is that of the last grant.
func (p *pool) nextVirtualTime() float64 {
	if next := p.queue.Min(); next != nil {
		return next.Account().VirtualTime()
	}
	return p.lastGrantVirtualTime
}

// Pools returns the names of the pools with upstreams that are owned here, or that
// were and still run requests granted here, sorted.
func (d *Dispatcher) Pools() []string {
	var names []string
	for _, name := range d.poolNames {
		if len(d.pools[name].upstreams) > 0 {
			names = append(names, name)
		}
	}
	return names
}

// SetVirtualTime sets the system's virtual time in a pool. It may decrease
// slightly when estimates that were too high are corrected.
func (d *Dispatcher) SetVirtualTime(name string, virtualTime float64) {
	d.pool(name).virtualTime = virtualTime
}

// VirtualTime returns the system's virtual time as last set here.
func (d *Dispatcher) VirtualTime(name string) float64 {
	if p := d.pools[name]; p != nil {
		return p.virtualTime
	}
	return 0
}

// SetLocalAdopted sets the number of requests that the entry in this process
// runs at each upstream here by grants of other dispatchers.
func (d *Dispatcher) SetLocalAdopted(now time.Duration, uses map[string]int) {
	for id, u := range d.upstreams {
		u.setAdopted(now, d.config.Self, uses[id])
	}
}

func (u *upstream) setAdopted(now time.Duration, entry string, running int) {
	if running == 0 {
		delete(u.adopted, entry)
		return
	}
	if u.adopted == nil {
		u.adopted = make(map[string]adoption)
	}
	u.adopted[entry] = adoption{
		running: running,
		at:      now,
	}
}

// RemoteGrantCount returns the number of grants in use by other routers.
func (d *Dispatcher) RemoteGrantCount() int {
	count := 0
	for id, e := range d.entries {
		if id != d.config.Self {
			count += len(e.grants)
		}
	}
	return count
}
