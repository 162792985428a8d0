package qldispatch

import (
	"math"
	"sort"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlwire"
)

// _reportRefresh is how often an unchanged but active customer is reported,
// well within the time after which a home forgets a silent dispatcher.
const _reportRefresh = 40 * time.Second

// _leaseRefresh renews the allotment of customers that wait for more than the
// free share here. _countRefresh repeats what runs beyond that share, so that
// the home counts it; it is below the time for which the home does.
const (
	_leaseRefresh = 2 * time.Second
	_countRefresh = 15 * time.Second
)

// _reportPart is the part of a largest request by which a customer's service
// grows between reports, and _reportSettled is when smaller changes are
// reported all the same.
const (
	_reportPart    = 0.1
	_reportSettled = 5 * time.Second
)

// _waitsOn is how long a customer of which no home has been told must wait
// before one is, when its service alone is no reason to.
const _waitsOn = 900 * time.Millisecond

// _contendedFor is how long a customer counts as contended after it waited.
const _contendedFor = 10 * time.Second

// Report returns, sorted by customer, the usage of the pool's customers that
// changed since the last report or are due again. Customers that have not
// waited of late are left out: they get what they ask for, so nothing is to
// be divided, and most customers are like that most of the time.
func (d *Dispatcher) Report(now time.Duration, name string) []*qlwire.UsageItem {
	p := d.pools[name]
	if p == nil {
		return nil
	}
	var items []*qlwire.UsageItem
	for customer, a := range p.accounts {
		if !d.reportDue(now, a) {
			continue
		}
		a.dirty = false
		a.reportedAt = now
		a.reportedUsed = a.service.Used()
		item := &qlwire.UsageItem{
			Customer:   customer,
			Used:       int64(a.service.Used()),
			Unreported: int64(a.service.Used() - a.service.Included()),
			InFlight:   uint32(a.inFlight),
			Waiting:    uint32(a.waiting),
			Allotted:   uint32(d.allotment(now, a)),
		}
		if a.confirmed {
			item.KnownVirtualTime = qlwire.FromVirtual(a.service.Total())
		}
		items = append(items, item)
	}
	sort.Slice(items, func(i, j int) bool {
		return items[i].GetCustomer() < items[j].GetCustomer()
	})
	return items
}

// reportDue reports whether a customer's home must hear of it now: on every
// change while its limit binds, here or over the fleet; else when its service
// has grown by a part of a largest request. So the more customers share a
// fleet, and the slower each is served, the less often each is reported. A
// customer that waits for a moment only, as all do now and then where every
// slot is taken, is not reported for that.
func (d *Dispatcher) reportDue(now time.Duration, a *account) bool {
	age := now - a.reportedAt
	if !a.contended(now) {
		a.dirty = false
		return d.leaseDue(a, age)
	}
	if d.leaseDue(a, age) {
		return true
	}
	if a.dirty && d.limitBinds(now, a) {
		return true
	}
	if math.Abs(a.service.Used()-a.reportedUsed) >= _reportPart*a.pool.largestCost {
		return true
	}
	if !a.confirmed {
		return a.dirty && a.waitsOn(now)
	}
	if a.dirty {
		return age >= _reportSettled
	}
	return a.inFlight > 0 && age >= _reportRefresh
}

// leaseDue reports whether the home must hear again of a customer that needs or
// uses more here than the free share of its limit.
func (d *Dispatcher) leaseDue(a *account, age time.Duration) bool {
	share := d.freeShare(a)
	if a.waiting > 0 || a.parked {
		return a.inFlight >= share && age >= _leaseRefresh
	}
	return a.inFlight > share && age >= _countRefresh
}

// limitBinds reports whether the customer's limit keeps it from a slot here, or
// from one elsewhere that this router could give back.
func (d *Dispatcher) limitBinds(now time.Duration, a *account) bool {
	short := a.waiting > 0 && a.inFlight >= d.allotment(now, a)
	return a.parked || short || (a.limited && now < a.allottedUntil)
}

// ConsumeReportRequest reports whether a customer waits for its part of a limit, and its
// home has not been asked since; the caller is to report now.
func (d *Dispatcher) ConsumeReportRequest() bool {
	asking := d.asking
	d.asking = false
	return asking
}

// ApplyTotals takes a usage home's answer to a report of the time asked.
func (d *Dispatcher) ApplyTotals(now, asked time.Duration, reply *qlwire.UsageReply) {
	p := d.pools[reply.GetPool()]
	if p == nil {
		return
	}
	if p.virtualTime == 0 {
		p.virtualTime = qlwire.ToVirtual(reply.GetVirtualTime())
	}
	for _, total := range reply.GetTotals() {
		a := p.accounts[total.GetCustomer()]
		if a == nil {
			continue
		}
		a.confirmed = true
		a.service.SetTotal(qlwire.ToVirtual(total.GetVirtualTime()), float64(total.GetIncluded()), int(total.GetServers()))
		if a.limited && int(total.GetMaxInFlight()) < a.allotted {
			// The others wait for what is given back here.
			a.dirty = true
		}
		a.allotted = int(total.GetMaxInFlight())
		a.allottedRate = total.GetCostRate()
		a.limited = total.GetLimited()
		a.allottedUntil = asked + _allotmentLease
		a.freeFrom = asked + _freeAfter
		d.unpark(a)
		p.queue.Fix(a.flow)
	}
	d.pump(now, p)
}

// contended reports whether the customer waits or waited of late. One that
// begins to wait starts at the fleet's virtual time: what it was served while
// nobody went short for it is not held against it.
func (a *account) contended(now time.Duration) bool {
	if a.waiting == 0 && !a.parked {
		a.waitingFrom = now
		return a.hasWaited && now-a.waitedAt <= _contendedFor
	}
	if !a.hasWaited || now-a.waitedAt > _contendedFor {
		a.service.ResetVirtualTime(a.pool.virtualTime)
		a.confirmed = false
	}
	a.hasWaited = true
	a.waitedAt = now
	return true
}

// waitsOn reports whether the customer has waited for most of a report period,
// seen from the reports only. Call it at each.
func (a *account) waitsOn(now time.Duration) bool {
	return now-a.waitingFrom >= _waitsOn
}

// CustomerState is one customer's state for dumps.
type CustomerState struct {
	Customer    string  `json:"customer"`
	VirtualTime float64 `json:"virtual-time"`
	Used        float64 `json:"used"`
	Waiting     int     `json:"waiting"`
	InFlight    int     `json:"in-flight"`
	Allotment   int     `json:"allotment"`
}

// UpstreamState is one upstream's state for dumps.
type UpstreamState struct {
	Upstream  string `json:"upstream"`
	Slots     int    `json:"slots"`
	InUse     int    `json:"in-use"`
	Foreign   int    `json:"foreign"`
	Limit     int    `json:"limit"`
	InService bool   `json:"in-service"`
	Leaving   bool   `json:"leaving"`
}

// PoolState is one pool's state for dumps.
type PoolState struct {
	Pool            string          `json:"pool"`
	VirtualTime     float64         `json:"virtual-time"`
	NextVirtualTime float64         `json:"level"`
	Upstreams       []UpstreamState `json:"upstreams"`
	Customers       []CustomerState `json:"customers"`
}

// State returns the dispatcher's state for dumps, sorted.
func (d *Dispatcher) State(now time.Duration) []PoolState {
	states := make([]PoolState, 0, len(d.names))
	for _, name := range d.names {
		states = append(states, d.poolState(now, d.pools[name]))
	}
	return states
}

func (d *Dispatcher) poolState(now time.Duration, p *pool) PoolState {
	state := PoolState{
		Pool:            p.name,
		VirtualTime:     p.virtualTime,
		NextVirtualTime: p.currentLevel(),
		Upstreams:       make([]UpstreamState, 0, len(p.replicas)),
		Customers:       make([]CustomerState, 0, len(p.accounts)),
	}
	for _, r := range p.replicas {
		state.Upstreams = append(state.Upstreams, UpstreamState{
			Upstream:  r.id,
			Slots:     r.slots,
			InUse:     r.inUse,
			Foreign:   r.foreignNow(now),
			Limit:     r.limit,
			InService: r.inService(now),
			Leaving:   r.leaving,
		})
	}
	for customer, a := range p.accounts {
		state.Customers = append(state.Customers, CustomerState{
			Customer:    customer,
			VirtualTime: a.service.VirtualTime(),
			Used:        a.service.Used(),
			Waiting:     a.waiting,
			InFlight:    a.inFlight,
			Allotment:   d.allotment(now, a),
		})
	}
	sort.Slice(state.Customers, func(i, j int) bool {
		return state.Customers[i].Customer < state.Customers[j].Customer
	})
	return state
}
