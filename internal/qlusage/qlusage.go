// Package qlusage adds up each customer's service over all dispatchers.
//
// A usage home keeps the virtual time of the customers that rendezvous
// hashing gives to its router. Dispatchers report counters that only they
// change (the service since they started), so a report may be lost, repeated
// or late without harm: the home adds the difference to the last one it
// knows. A new home is whole after one report of each dispatcher, because
// reports also carry the virtual time last heard from the home before.
//
// # How virtual time stays bounded
//
// The system's virtual time is the median of the virtual times of the
// customers that the dispatchers serve next. A customer that becomes active starts there:
// idleness earns no credit. An
// active customer is kept within a cap on either side of it. The cap is what
// a partition can leave to be repaid, so nobody starves to repay more.
//
// # Usage
//
//	home := qlusage.New(qlusage.Config{Limits: limits, LargestCost: largest})
//	reply := home.Report(now, "r2", epoch, report)
package qlusage

import (
	"sort"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlfair"
	"github.com/quetzallane/quetzallane/internal/qlinvariant"
	"github.com/quetzallane/quetzallane/internal/qlwire"
)

const (
	// _forgetSource drops a dispatcher that has not reported a customer. It
	// is below the time after which a dispatcher forgets its own counters.
	_forgetSource = 120 * time.Second
	// MaxGapRequests is the cap on virtual time ahead of or behind the system's,
	// in largest requests at share 1.
	MaxGapRequests = 8
	// _settle is how long a customer must have been backlogged, and the view
	// unchanged, before its virtual time is compared with the system's.
	_settle = 5 * time.Second
	// _staleness bounds the age of the system's virtual time at a home.
	_staleness = 2 * time.Second
	// _rateSpan is the time over which the growth of virtual time is taken.
	_rateSpan = time.Second
	// _rateDecay lets the rate fall slowly, since virtual time may stand for
	// a while when estimates are corrected.
	_rateDecay = 0.8
	// _allotmentLease mirrors the lease at dispatchers, with a margin for
	// the way there.
	_allotmentLease = 6 * time.Second
	// _learn is how long a home that has just started leaves out customers that
	// it has nothing to place by. In a fleet that runs it hears the system's
	// virtual time by then; a customer placed at 0 would be ahead of all others.
	_learn = 2 * time.Second
	// _spareParts is in how many parts what nobody needs yet is lent.
	_spareParts = 8
	// _inFlightCounts is how long a dispatcher's word on what runs with it
	// counts; one with more than its free share repeats it sooner.
	_inFlightCounts = 20 * time.Second
	_sweepPeriod    = 10 * time.Second
)

// Config configures a Home.
type Config struct {
	// Limits returns what the configuration in force says of a customer.
	Limits func(customer string) (limits qlfair.Limits, ok bool)
	// LargestCost returns the bound on one request's cost in a pool.
	LargestCost func(pool string) float64
	// FreeShare returns what a dispatcher may use of a customer's bound without
	// asking, and Lendable what homes may lend; see qlfair.
	UnleasedAllowance func(pool, customer, dispatcher string, bound int) int
	Leasable          func(pool string, bound int) int
	// Monitor receives the invariants' checks.
	Monitor *qlinvariant.Monitor
}

// Home adds up usage. It is not safe for use by several goroutines.
type Home struct {
	config Config
	pools  map[string]*pool
	// viewChangedAt is when the set of live routers last changed.
	viewChangedAt time.Duration
	sweepAt       time.Duration
}

type pool struct {
	virtualTime float64
	// changedAt is when virtualTime last changed.
	changedAt time.Duration
	// rate is how fast virtual time grew lately, a second.
	rate      float64
	markTime  time.Duration
	markValue float64
	customers map[string]*record
}

// current reports whether the system's virtual time is one to hold customers
// to. A home that started empty knows none, and one that stands still while
// customers are served is old: a cut too short to be noticed keeps news away.
func (p *pool) current(now time.Duration) bool {
	return p.virtualTime > 0 && now-p.changedAt <= _staleness
}

// advance takes the system's virtual time.
func (p *pool) advance(now time.Duration, virtualTime float64) {
	if p.virtualTime == 0 {
		p.markTime = now
		p.markValue = virtualTime
	}
	if virtualTime != p.virtualTime {
		p.changedAt = now
	}
	p.virtualTime = virtualTime
	if span := now - p.markTime; span >= _rateSpan {
		p.rate = max((virtualTime-p.markValue)/span.Seconds(), _rateDecay*p.rate)
		p.markTime = now
		p.markValue = virtualTime
	}
}

type record struct {
	virtualTime float64
	active      bool
	// backloggedFrom is when the customer last began to wait, or -1.
	backloggedFrom time.Duration
	reportedAt     time.Duration
	sources        map[string]*source
}

// source is one dispatcher's last report of a customer.
type source struct {
	epoch    uint64
	sequence uint64
	used     float64
	inFlight int
	waiting  int
	// held is the part of the bound that the dispatcher may be using, and
	// answered the report with whose answer it was last given one.
	held     int
	answered uint64
	at       time.Duration
}

// using is what the dispatcher may be using of the bound: its part while its
// lease lasts, then what it last said to run. It says so again in time.
func (s *source) using(now time.Duration) int {
	switch age := now - s.at; {
	case age < _allotmentLease:
		return s.held
	case age < _inFlightCounts:
		// What waited there for its part mostly runs now.
		return s.inFlight + s.waiting
	default:
		return 0
	}
}

// hold takes what a dispatcher says to use of the bound: its part, or what
// runs with it since its part was more. One that has not had the last answer
// yet may be using what that gave.
func (s *source) hold(using int, answered uint64) {
	if answered < s.answered {
		using = max(using, s.held)
	}
	s.held = using
}

// New returns an empty home.
func New(config Config) *Home {
	return &Home{
		config: config,
		pools:  make(map[string]*pool),
	}
}

// NoteViewChange tells that the set of live routers changed. Homes move and
// sides of a partition meet then, so what is compared must settle first.
func (h *Home) NoteViewChange(now time.Duration) {
	h.viewChangedAt = now
}

// SetVirtualTime takes the system's virtual time in a pool.
func (h *Home) SetVirtualTime(now time.Duration, pool string, virtualTime float64) {
	h.pool(pool).advance(now, virtualTime)
}

// Report takes a dispatcher's report and returns the answer to it.
func (h *Home) Report(now time.Duration, from string, epoch uint64, report *qlwire.UsageReport) *qlwire.UsageReply {
	p := h.pool(report.GetPool())
	if p.virtualTime == 0 {
		p.advance(now, qlwire.ToVirtual(report.GetVirtualTime()))
	}
	reply := &qlwire.UsageReply{
		Sequence: report.GetSequence(),
		Pool:     report.GetPool(),
		Totals:   make([]*qlwire.UsageTotal, 0, len(report.GetItems())),
	}
	if report.GetAnswered() == 0 {
		// The dispatcher may be new and know no virtual time yet.
		reply.VirtualTime = qlwire.FromVirtual(p.virtualTime)
	}
	for _, item := range report.GetItems() {
		limits, ok := h.config.Limits(item.GetCustomer())
		if !ok {
			delete(p.customers, item.GetCustomer())
			continue
		}
		if now < _learn && p.virtualTime == 0 && item.GetKnownVirtualTime() == 0 {
			continue
		}
		h.add(now, p, report, from, epoch, item, limits)
		reply.Totals = append(reply.Totals, h.total(now, p, report.GetPool(), from, item, limits))
	}
	return reply
}

func (h *Home) pool(name string) *pool {
	p := h.pools[name]
	if p == nil {
		p = &pool{
			customers: make(map[string]*record),
		}
		h.pools[name] = p
	}
	return p
}

func (h *Home) add(now time.Duration, p *pool, report *qlwire.UsageReport, from string, epoch uint64, item *qlwire.UsageItem, limits qlfair.Limits) {
	r := p.customers[item.GetCustomer()]
	if r == nil {
		r = newRecord(p, item)
		p.customers[item.GetCustomer()] = r
	}
	known := qlwire.ToVirtual(item.GetKnownVirtualTime())
	if now-r.reportedAt > _settle {
		// Another router was home meanwhile; what stands here is old.
		r.virtualTime = max(r.virtualTime, known)
		r.restart(now)
	}
	r.reportedAt = now
	s := r.sources[from]
	used := float64(item.GetUsed())
	before := used - float64(item.GetUnreported())
	if s != nil && s.epoch == epoch {
		if report.GetSequence() <= s.sequence {
			return
		}
		before = s.used
		if now-s.at > _settle {
			// It was cut off or paused, and tells at once of a long time.
			r.restart(now)
		}
	} else {
		s = &source{}
		r.sources[from] = s
		// What another home had added up for this dispatcher counts here too.
		if known > r.virtualTime {
			r.virtualTime = known
			r.restart(now)
		}
	}
	r.virtualTime += (used - before) / limits.Share
	s.epoch = epoch
	s.sequence = report.GetSequence()
	s.used = used
	s.inFlight = int(item.GetInFlight())
	s.waiting = int(item.GetWaiting())
	s.hold(int(max(item.GetAllotted(), item.GetInFlight())), report.GetAnswered())
	s.at = now
	h.settle(now, p, report.GetPool(), item.GetCustomer(), r, limits)
}

// restart begins the time anew after which the customer is compared with the
// others. It is still held within the cap.
func (r *record) restart(now time.Duration) {
	if r.backloggedFrom >= 0 {
		r.backloggedFrom = now
	}
}

func newRecord(p *pool, item *qlwire.UsageItem) *record {
	r := &record{
		sources:        make(map[string]*source),
		backloggedFrom: -1,
	}
	r.virtualTime = qlwire.ToVirtual(item.GetKnownVirtualTime())
	if r.virtualTime == 0 {
		r.virtualTime = p.virtualTime
	}
	// A home that is new for a customer known elsewhere must not take it for
	// one that comes back from idleness.
	r.active = item.GetKnownVirtualTime() != 0
	return r
}

// settle applies the rules on idleness and the cap.
func (h *Home) settle(now time.Duration, p *pool, poolName, customer string, r *record, limits qlfair.Limits) {
	inFlight, waiting := 0, 0
	for id, s := range r.sources {
		if now-s.at > _forgetSource {
			delete(r.sources, id)
			continue
		}
		inFlight += s.inFlight
		waiting += s.waiting
	}
	active := inFlight+waiting > 0
	if active && !r.active {
		r.virtualTime = max(r.virtualTime, p.virtualTime)
	}
	r.active = active
	if waiting == 0 || r.atLimit(limits.MaxInFlight) || limits.CostRate > 0 {
		r.backloggedFrom = -1
	} else if r.backloggedFrom < 0 {
		r.backloggedFrom = now
	}
	// News of virtual time is old when it comes, the more so the fewer
	// customers are backlogged, since then it grows fast.
	bound := MaxGap(h.config.LargestCost(poolName), limits.Share) + p.rate*_staleness.Seconds()
	if p.current(now) && r.backloggedFrom >= 0 && now-max(r.backloggedFrom, h.viewChangedAt) > _settle {
		lag := p.virtualTime - r.virtualTime
		// What is under way may cost up to the largest cost each, whatever
		// was charged for it, and so put a customer at the cap further ahead.
		underWay := float64(inFlight) * h.config.LargestCost(poolName) / limits.Share
		h.config.Monitor.Check(lag <= bound && -lag <= bound+underWay, qlinvariant.FairnessGap, customer, poolName)
	}
	if active && p.current(now) {
		r.virtualTime = min(max(r.virtualTime, p.virtualTime-bound), p.virtualTime+bound)
	}
}

// MaxGap returns the bound on the distance between a customer's virtual time
// and the system's. One request moves the virtual time of a customer with a
// small share by more than the largest cost, so the bound grows with it.
func MaxGap(largestCost, share float64) float64 {
	return MaxGapRequests * largestCost * max(1, 1/share)
}

func (h *Home) total(now time.Duration, p *pool, reportPool, from string, item *qlwire.UsageItem, limits qlfair.Limits) *qlwire.UsageTotal {
	r := p.customers[item.GetCustomer()]
	s := r.sources[from]
	part := r.part(from)
	total := &qlwire.UsageTotal{
		Customer:    item.GetCustomer(),
		VirtualTime: qlwire.FromVirtual(r.virtualTime),
		Included:    int64(s.used),
		CostRate:    limits.CostRate * part,
		Servers:     uint32(r.servers()),
		Limited:     r.demand() > limits.MaxInFlight,
	}
	bound := h.pooled(now, p, item.GetCustomer(), reportPool, limits.MaxInFlight)
	allotted := r.allot(now, from, part, bound)
	s.held = max(s.held, allotted)
	s.answered = s.sequence
	total.MaxInFlight = uint32(allotted)
	return total
}

// atLimit reports whether the customer's bound keeps it from more service. News
// of each dispatcher is of another moment, so a slot that is granted anew each
// time may be missing in all of them; a part counts as used where requests
// wait for it. A part that lies idle does not.
func (r *record) atLimit(bound int) bool {
	inFlight, used := 0, 0
	for _, s := range r.sources {
		inFlight += s.inFlight
		if s.waiting > 0 {
			used += max(s.inFlight, s.held)
		} else {
			used += s.inFlight
		}
	}
	return inFlight >= bound || (used >= bound && r.demand() > bound)
}

// demand is what the customer has and wants in flight over the fleet.
func (r *record) demand() int {
	sum := 0
	for _, s := range r.sources {
		sum += s.inFlight + s.waiting
	}
	return sum
}

// part is the dispatcher's part of the customer's demand over the fleet.
func (r *record) part(from string) float64 {
	sum := r.demand()
	s := r.sources[from]
	if sum == 0 {
		return 1 / float64(max(len(r.sources), 1))
	}
	return float64(s.inFlight+s.waiting) / float64(sum)
}

// pooled is what the dispatchers that report share by demand: what may be lent
// and their own free shares. The others may use theirs at any time.
func (h *Home) pooled(now time.Duration, p *pool, customer, poolName string, bound int) int {
	sum := h.config.Leasable(poolName, bound)
	for id, s := range p.customers[customer].sources {
		if now-s.at < _allotmentLease {
			sum += h.config.UnleasedAllowance(poolName, customer, id, bound)
		}
	}
	return sum
}

// servers counts the dispatchers at which the customer waits.
func (r *record) servers() int {
	count := 0
	for _, s := range r.sources {
		if s.waiting > 0 {
			count++
		}
	}
	return max(count, 1)
}

// allot divides the bound by demand. A part is raised only out of what no
// other dispatcher may still be using, so the sum never exceeds the bound.
func (r *record) allot(now time.Duration, from string, part float64, bound int) int {
	others := 0
	for id, s := range r.sources {
		if id != from {
			others += s.using(now)
		}
	}
	// Rounding up may hand out more than the bound in sum; the rest that is
	// not used by others is the limit then.
	target := int(part*float64(bound) + 0.999)
	// What it does not need yet is mostly left for those that ask next: they
	// cannot have it back before the lease ends.
	s := r.sources[from]
	need := s.inFlight + s.waiting
	target = min(target, need+max(0, bound-others-need)/_spareParts)
	return max(0, min(target, bound-others))
}

// Tick forgets customers without any recent report.
func (h *Home) Tick(now time.Duration) {
	if now < h.sweepAt {
		return
	}
	h.sweepAt = now + _sweepPeriod
	for _, p := range h.pools {
		for customer, r := range p.customers {
			for id, s := range r.sources {
				if now-s.at > _forgetSource {
					delete(r.sources, id)
				}
			}
			if len(r.sources) == 0 {
				delete(p.customers, customer)
			}
		}
	}
}

// CustomerState is one customer's state for dumps.
type CustomerState struct {
	Pool        string  `json:"pool"`
	Customer    string  `json:"customer"`
	VirtualTime float64 `json:"virtual-time"`
	Active      bool    `json:"active"`
	Dispatchers int     `json:"dispatchers"`
}

// State returns the home's state for dumps, sorted.
func (h *Home) State() []CustomerState {
	states := []CustomerState{}
	for name, p := range h.pools {
		for customer, r := range p.customers {
			states = append(states, CustomerState{
				Pool:        name,
				Customer:    customer,
				VirtualTime: r.virtualTime,
				Active:      r.active,
				Dispatchers: len(r.sources),
			})
		}
	}
	sort.Slice(states, func(i, j int) bool {
		if states[i].Pool != states[j].Pool {
			return states[i].Pool < states[j].Pool
		}
		return states[i].Customer < states[j].Customer
	})
	return states
}
