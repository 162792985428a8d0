package qldispatch

import (
	"sort"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlwire"
)

// free returns the number of slots that may be granted now.
func (r *replica) free(now time.Duration) int {
	if !r.inService(now) {
		return 0
	}
	return min(r.slots-r.foreignNow(now), r.limit) - r.inUse
}

func (r *replica) inService(now time.Duration) bool {
	return r.owned && !r.leaving && now >= r.readyAt && now >= r.downUntil
}

// foreignNow counts requests that others have at the upstream: what entries
// still run by an earlier owner's grants, or what the load report shows
// beyond our own, whichever is more.
func (r *replica) foreignNow(now time.Duration) int {
	adopted := 0
	for _, a := range r.adopted {
		if now-a.at <= _adoptionStale {
			adopted += a.running
		}
	}
	if r.reported && now-r.reportedAt <= _reportStale {
		return max(adopted, r.foreign)
	}
	return adopted
}

// rotatePeak keeps the highest number of own requests over the window in
// which a load report may have been sampled.
func (r *replica) rotatePeak(now time.Duration) {
	if now-r.peakRotated < _peakWindow {
		return
	}
	r.peakBefore = r.peak
	r.peak = r.inUse
	r.peakRotated = now
}

// ApplyLoad takes an upstream's report of its running requests. It lags, so
// only what exceeds our own recent peak counts as foreign.
func (d *Dispatcher) ApplyLoad(now time.Duration, upstream string, running int) {
	r := d.replicas[upstream]
	if r == nil {
		return
	}
	r.foreign = max(0, running-max(r.peak, r.peakBefore, r.inUse))
	r.reported = true
	r.reportedAt = now
	r.readyAt = min(r.readyAt, now)
	r.downUntil = min(r.downUntil, now)
	d.pump(now, r.pool)
}

// ApplyLoadFailure notes that an upstream did not answer a load poll.
func (d *Dispatcher) ApplyLoadFailure(now time.Duration, upstream string) {
	if r := d.replicas[upstream]; r != nil && r.owned {
		d.judge(now, r, Unreached)
	}
}

// OwnedUpstreams returns the upstreams whose load is to be polled, sorted.
func (d *Dispatcher) OwnedUpstreams() []string {
	var ids []string
	for id, r := range d.replicas {
		if r.owned {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// Tick does what time alone demands: it frees grants that were never seen
// and those of silent entries, lets rate limits refill and forgets customers
// that are long idle.
func (d *Dispatcher) Tick(now time.Duration) {
	for _, r := range d.replicas {
		r.rotatePeak(now)
	}
	for _, id := range d.entryIDs() {
		d.tickEntry(now, d.entries[id])
	}
	for _, name := range d.names {
		p := d.pools[name]
		for len(p.parked) > 0 {
			d.unpark(p.parked[len(p.parked)-1])
		}
		d.pump(now, p)
	}
	if now >= d.sweepAt {
		d.sweepAt = now + _sweepPeriod
		for _, name := range d.names {
			d.forgetIdle(now, d.pools[name])
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

func (d *Dispatcher) tickEntry(now time.Duration, e *entryState) {
	if e.id == d.config.Self {
		return
	}
	if len(e.grants) > 0 && now-e.heardAt > _entryTimeout {
		d.DropEntry(now, e.id)
		return
	}
	for _, record := range sortedRecords(e.grants) {
		if !record.seen && now-record.issuedAt > _grantTimeout {
			d.lose(now, e, record)
		}
	}
}

func (d *Dispatcher) forgetIdle(now time.Duration, p *pool) {
	for _, a := range p.accounts {
		idle := a.inFlight == 0 && a.waiting == 0 && !a.dirty
		if idle && now-a.activeAt > _forgetAccount {
			d.forget(p, a)
		}
	}
}

// SlotCount is what there is of slots and work in one pool at a dispatcher.
type SlotCount struct {
	inService int
	free      int
	waiting   int
}

// InService returns the slots of upstreams in service.
func (s SlotCount) InService() int {
	return s.inService
}

// Free returns the slots that may be granted now.
func (s SlotCount) Free() int {
	return s.free
}

// InUse returns the slots that may not be granted, though in service.
func (s SlotCount) InUse() int {
	return s.inService - s.free
}

// Waiting returns the requests that wait for a slot, without those that their
// customer's limit holds back.
func (s SlotCount) Waiting() int {
	return s.waiting
}

// Slots counts slots and waiting requests of one pool.
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
	for _, r := range p.replicas {
		count.free += max(0, r.free(now))
		if r.inService(now) {
			count.inService += r.slots
		}
	}
	return count
}

// PoolLevel describes one pool here, for entries that look for slots.
func (d *Dispatcher) PoolLevel(now time.Duration, name string) *qlwire.PoolLevel {
	level := &qlwire.PoolLevel{
		Pool: name,
	}
	if p := d.pools[name]; p != nil {
		slots := d.Slots(now, name)
		level.Level = qlwire.FromVirtual(p.currentLevel())
		level.Free = uint32(slots.Free())
		level.Waiting = uint32(p.waiting)
		level.Limited = uint32(p.waiting - slots.Waiting())
	}
	return level
}

// currentLevel is the virtual time of the customer that is next here. With
// nobody waiting it is that of the last grant.
func (p *pool) currentLevel() float64 {
	if next := p.queue.Min(); next != nil {
		return next.Account().VirtualTime()
	}
	return p.level
}

// Pools returns the names of the pools with upstreams owned here, sorted.
func (d *Dispatcher) Pools() []string {
	var owned []string
	for _, name := range d.names {
		if len(d.pools[name].replicas) > 0 {
			owned = append(owned, name)
		}
	}
	return owned
}

// SetVirtualTime takes the fleet's virtual time. It may go back a little, when
// estimates that were too high are corrected.
func (d *Dispatcher) SetVirtualTime(name string, virtualTime float64) {
	d.pool(name).virtualTime = virtualTime
}

// VirtualTime returns the fleet's virtual time as known here.
func (d *Dispatcher) VirtualTime(name string) float64 {
	if p := d.pools[name]; p != nil {
		return p.virtualTime
	}
	return 0
}

// SetLocalAdopted states what this process's own entry runs on the upstreams
// here by grants of other dispatchers.
func (d *Dispatcher) SetLocalAdopted(now time.Duration, uses map[string]int) {
	for id, r := range d.replicas {
		r.adopt(now, d.config.Self, uses[id])
	}
}

func (r *replica) adopt(now time.Duration, entry string, running int) {
	if running == 0 {
		delete(r.adopted, entry)
		return
	}
	if r.adopted == nil {
		r.adopted = make(map[string]adoption)
	}
	r.adopted[entry] = adoption{
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
