package qldispatch

import (
	"math"
	"sort"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlwire"
)

// _reportRefreshPeriod is how often an active customer is reported although it
// has not changed. It is well within the time after which a usage home drops a
// silent dispatcher.
const _reportRefreshPeriod = 40 * time.Second

// _leaseRenewalPeriod is how often the allotment of a customer is renewed that
// waits here and has used up its unleased allowance. _inFlightReportPeriod is
// how often requests in flight beyond that allowance are reported again. It is
// shorter than the time for which the home counts them after a report.
const (
	_leaseRenewalPeriod   = 2 * time.Second
	_inFlightReportPeriod = 15 * time.Second
)

// _reportServiceFraction is the fraction of a largest request by which a
// customer's service grows between reports. _smallChangeReportDelay is the time
// after which smaller changes are reported as well.
const (
	_reportServiceFraction  = 0.1
	_smallChangeReportDelay = 5 * time.Second
)

// _minWaitBeforeReport is how long a customer must wait before it is reported if no
// usage home has answered a report of it yet, unless its service or its limit
// requires a report earlier.
const _minWaitBeforeReport = 900 * time.Millisecond

// _contentionWindow is how long a customer counts as contended after it last
// waited.
const _contentionWindow = 10 * time.Second

// Report returns, sorted by customer, the usage of the pool's customers that
// changed since the last report or are due again. Customers that have not
// waited recently are left out: they receive all the service that they ask for,
// so there is nothing to divide, and most customers are in this state most of
// the time. Only those with more requests in flight than their unleased allowance
// are reported nevertheless.
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
		if a.homeAnswered {
			item.KnownVirtualTime = qlwire.FromVirtual(a.service.Total())
		}
		items = append(items, item)
	}
	sort.Slice(items, func(i, j int) bool {
		return items[i].GetCustomer() < items[j].GetCustomer()
	})
	return items
}

// reportDue reports whether a customer is to be reported to its usage home now.
// While the customer's limit binds, here or over the fleet, every change is
// reported. Otherwise a report is due when the customer's service has grown by
// a fraction of a largest request. So the more customers share a fleet, and the
// slower each is served, the less often each is reported. A customer that waits
// only briefly, as all do at times when every slot is in use, is not reported
// for that.
func (d *Dispatcher) reportDue(now time.Duration, a *account) bool {
	age := now - a.reportedAt
	if !a.updateContention(now) {
		a.dirty = false
		return d.leaseReportDue(a, age)
	}
	if d.leaseReportDue(a, age) {
		return true
	}
	if a.dirty && d.limitBinds(now, a) {
		return true
	}
	if math.Abs(a.service.Used()-a.reportedUsed) >= _reportServiceFraction*a.pool.largestCost {
		return true
	}
	if !a.homeAnswered {
		return a.dirty && a.waitedLong(now)
	}
	if a.dirty {
		return age >= _smallChangeReportDelay
	}
	return a.inFlight > 0 && age >= _reportRefreshPeriod
}

// leaseReportDue reports whether the home must receive another report of a
// customer that needs or uses more here than the unleased allowance of its
// limit.
func (d *Dispatcher) leaseReportDue(a *account, age time.Duration) bool {
	allowance := d.unleasedAllowance(a)
	if a.waiting > 0 || a.parked {
		return a.inFlight >= allowance && age >= _leaseRenewalPeriod
	}
	return a.inFlight > allowance && age >= _inFlightReportPeriod
}

// limitBinds reports whether the customer's limit keeps it from a slot here, or
// from a slot at another dispatcher that this router could free by returning
// part of its allotment.
func (d *Dispatcher) limitBinds(now time.Duration, a *account) bool {
	atAllotment := a.waiting > 0 && a.inFlight >= d.allotment(now, a)
	return a.parked || atAllotment || (a.limited && now < a.allottedUntil)
}

// ConsumeReportRequest reports whether a customer waits for an allotment and
// its usage home has not been asked since; the caller is then to send a report
// at once. The request is cleared.
func (d *Dispatcher) ConsumeReportRequest() bool {
	requested := d.reportRequested
	d.reportRequested = false
	return requested
}

// ApplyTotals applies a usage home's reply to the report that was sent at the
// time asked.
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
		a.homeAnswered = true
		a.service.SetTotal(qlwire.ToVirtual(total.GetVirtualTime()), float64(total.GetIncluded()), int(total.GetServers()))
		if a.limited && int(total.GetMaxInFlight()) < a.allotted {
			// Other dispatchers wait for the part of the limit that is returned
			// here.
			a.dirty = true
		}
		a.allotted = int(total.GetMaxInFlight())
		a.allottedRate = total.GetCostRate()
		a.limited = total.GetLimited()
		a.allottedUntil = asked + _allotmentLease
		a.unleasedFrom = asked + _unleasedAfter
		d.unpark(a)
		p.queue.Fix(a.flow)
	}
	d.grantFreeSlots(now, p)
}

// updateContention records whether the customer waits now, and reports whether
// it waits or waited recently. A customer that begins to wait starts at the
// system's virtual time: the service that it received while no other customer
// lacked any does not lower its priority.
func (a *account) updateContention(now time.Duration) bool {
	if a.waiting == 0 && !a.parked {
		a.lastNotWaitingAt = now
		return a.everWaited && now-a.lastWaitingAt <= _contentionWindow
	}
	if !a.everWaited || now-a.lastWaitingAt > _contentionWindow {
		a.service.ResetVirtualTime(a.pool.virtualTime)
		a.homeAnswered = false
	}
	a.everWaited = true
	a.lastWaitingAt = now
	return true
}

// waitedLong reports whether the customer has waited for _minWaitBeforeReport. The
// beginning of the wait is only observed by updateContention, which must be called
// at each report.
func (a *account) waitedLong(now time.Duration) bool {
	return now-a.lastNotWaitingAt >= _minWaitBeforeReport
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
	Upstream string `json:"upstream"`
	Slots    int    `json:"slots"`
	InUse    int    `json:"in-use"`
	// Foreign is the number of requests that were not granted here.
	Foreign int `json:"foreign"`
	// Limit is the adaptive limit on slots in use.
	Limit     int  `json:"limit"`
	InService bool `json:"in-service"`
	Leaving   bool `json:"leaving"`
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
	states := make([]PoolState, 0, len(d.poolNames))
	for _, name := range d.poolNames {
		states = append(states, d.poolState(now, d.pools[name]))
	}
	return states
}

func (d *Dispatcher) poolState(now time.Duration, p *pool) PoolState {
	state := PoolState{
		Pool:            p.name,
		VirtualTime:     p.virtualTime,
		NextVirtualTime: p.nextVirtualTime(),
		Upstreams:       make([]UpstreamState, 0, len(p.upstreams)),
		Customers:       make([]CustomerState, 0, len(p.accounts)),
	}
	for _, u := range p.upstreams {
		state.Upstreams = append(state.Upstreams, UpstreamState{
			Upstream:  u.id,
			Slots:     u.slots,
			InUse:     u.inUse,
			Foreign:   u.foreignRequests(now),
			Limit:     u.adaptiveLimit,
			InService: u.inService(now),
			Leaving:   u.leaving,
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
