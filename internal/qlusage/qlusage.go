// Package qlusage adds up each customer's service over all dispatchers.
//
// A usage home keeps the virtual times of the customers that rendezvous hashing
// assigns to its router. Dispatchers report counters of the service that they
// have charged since they started. Only the dispatcher itself changes its
// counters, so a report may be lost, repeated or delayed without harm: the home
// adds the difference from the last counter that it knows. A new home's totals
// are complete after one report of each dispatcher, because reports also carry
// the virtual time that the dispatcher last received from the previous home.
//
// # How virtual time stays bounded
//
// The system's virtual time is the median of the virtual times of the customers
// that the dispatchers serve next. A customer that becomes active starts there,
// so idleness earns no credit. An active customer's virtual time is kept within
// a maximum gap on either side of the system's. The gap bounds the imbalance
// that a network partition can leave to be repaid, so that no customer is
// starved to repay more.
//
// # Usage
//
//	home := qlusage.New(qlusage.Config{
//		Limits:            limits,
//		LargestCost:       largestCost,
//		UnleasedAllowance: unleasedAllowance,
//		Leasable:          leasable,
//		Monitor:           monitor,
//	})
//	reply := home.ApplyReport(now, "r2", epoch, report)
package qlusage

import (
	"sort"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlfair"
	"github.com/quetzallane/quetzallane/internal/qlinvariant"
	"github.com/quetzallane/quetzallane/internal/qlwire"
)

const (
	// _dispatcherExpiry is the time without a report of a customer after which
	// a dispatcher's usage of it is dropped. It is shorter than the time after
	// which a dispatcher drops its own counters.
	_dispatcherExpiry = 120 * time.Second
	// MaxGapRequests is the maximum gap between a customer's virtual time and
	// the system's, ahead or behind, in requests of the largest cost at share
	// 1.
	MaxGapRequests = 8
	// _settlingTime is how long a customer must have been backlogged, and the
	// set of live routers unchanged, before its virtual time is compared with
	// the system's. A longer gap between reports restarts it.
	_settlingTime = 5 * time.Second
	// _maxVirtualTimeAge bounds the age of the system's virtual time at a home.
	_maxVirtualTimeAge = 2 * time.Second
	// _rateWindow is the time over which the growth rate of virtual time is
	// measured.
	_rateWindow = time.Second
	// _rateDecay is the factor by which the growth rate falls at most in one
	// window. It falls slowly because virtual time may not grow for a while
	// when estimates are corrected.
	_rateDecay = 0.8
	// _allotmentLease is the lease at dispatchers plus a margin for the
	// transmission of the answer.
	_allotmentLease = 6 * time.Second
	// _learningTime is how long a home that has just started leaves out
	// customers for which it has no virtual time to start from. In a running
	// fleet it receives the system's virtual time within this period; a
	// customer that started at 0 would be served before all others.
	_learningTime = 2 * time.Second
	// _surplusDivisor is the divisor of the part of a limit that no dispatcher
	// needs yet: a dispatcher that reports is leased at most this fraction of it
	// beyond its own need.
	_surplusDivisor = 8
	// _inFlightExpiry is how long a dispatcher's report of its requests in
	// flight counts. A dispatcher with more than its unleased allowance in
	// flight repeats the report sooner.
	_inFlightExpiry = 20 * time.Second
	_sweepPeriod    = 10 * time.Second
)

// Config configures a Home.
type Config struct {
	// Limits returns a customer's limits in the current configuration; ok is
	// false if the configuration does not name the customer.
	Limits func(customer string) (limits qlfair.Limits, ok bool)
	// LargestCost returns the upper bound on the cost of one request in a pool.
	LargestCost func(pool string) float64
	// UnleasedAllowance returns the part of a customer's limit that a
	// dispatcher may use without asking, and Leasable the part that homes may
	// lease; see qlfair.
	UnleasedAllowance func(pool, customer, dispatcher string, limit int) int
	Leasable          func(pool string, limit int) int
	// Monitor receives the results of invariant checks.
	Monitor *qlinvariant.Monitor
}

// Home adds up the usage of the customers that are assigned to it. It is not
// safe for concurrent use.
type Home struct {
	config Config
	pools  map[string]*pool
	// viewChangedAt is the time of the last call of RecordViewChange.
	viewChangedAt time.Duration
	nextSweep     time.Duration
}

// pool is the system's virtual time and the customers' usage in one pool.
type pool struct {
	// virtualTime is the system's virtual time in the pool, or 0 if not known
	// yet.
	virtualTime float64
	// virtualTimeChangedAt is when virtualTime last changed.
	virtualTimeChangedAt time.Duration
	// growthRate is how fast virtual time grew recently, per second.
	growthRate      float64
	rateSampledAt   time.Duration
	rateSampleValue float64
	customers       map[string]*customerUsage
}

// virtualTimeIsCurrent reports whether the system's virtual time is known and
// recent enough to bound customers by it. A home that has just started does not
// know it. If it does not change while customers are served, it is out of date:
// a partition too short to be detected keeps updates away.
func (p *pool) virtualTimeIsCurrent(now time.Duration) bool {
	return p.virtualTime > 0 && now-p.virtualTimeChangedAt <= _maxVirtualTimeAge
}

// setVirtualTime sets the system's virtual time and updates its growth rate.
func (p *pool) setVirtualTime(now time.Duration, virtualTime float64) {
	if p.virtualTime == 0 {
		p.rateSampledAt = now
		p.rateSampleValue = virtualTime
	}
	if virtualTime != p.virtualTime {
		p.virtualTimeChangedAt = now
	}
	p.virtualTime = virtualTime
	if span := now - p.rateSampledAt; span >= _rateWindow {
		p.growthRate = max((virtualTime-p.rateSampleValue)/span.Seconds(), _rateDecay*p.growthRate)
		p.rateSampledAt = now
		p.rateSampleValue = virtualTime
	}
}

// customerUsage is one customer's usage in one pool, over all dispatchers.
type customerUsage struct {
	virtualTime float64
	active      bool
	// backloggedFrom is when the customer last began to wait, or when its
	// settling was restarted since; -1 if it does not count as backlogged.
	backloggedFrom time.Duration
	reportedAt     time.Duration
	dispatchers    map[string]*dispatcherUsage
}

// dispatcherUsage is one dispatcher's last report of a customer.
type dispatcherUsage struct {
	epoch    uint64
	sequence uint64
	used     float64
	inFlight int
	waiting  int
	// maxInUse is the part of the limit that the dispatcher may be using, and
	// answered is the sequence number of the last report whose answer gave it
	// an allotment.
	maxInUse   int
	answered   uint64
	reportedAt time.Duration
}

// inUse returns the part of the limit that the dispatcher may be using:
// maxInUse while its lease lasts, then what it last reported to be in flight or
// waiting, and nothing once that has expired. A dispatcher with more than its
// unleased allowance in flight repeats its report before then.
func (d *dispatcherUsage) inUse(now time.Duration) int {
	switch age := now - d.reportedAt; {
	case age < _allotmentLease:
		return d.maxInUse
	case age < _inFlightExpiry:
		// Requests that waited there for an allotment have mostly started
		// since.
		return d.inFlight + d.waiting
	default:
		return 0
	}
}

// setMaxInUse applies the part of the limit that a dispatcher reports to use:
// its allotment, or its requests in flight if there are more since its
// allotment was lowered. A dispatcher that has not received the last answer yet
// may also use what that answer allots.
func (d *dispatcherUsage) setMaxInUse(inUse int, answered uint64) {
	if answered < d.answered {
		inUse = max(inUse, d.maxInUse)
	}
	d.maxInUse = inUse
}

// New returns a home that knows no customers.
func New(config Config) *Home {
	return &Home{
		config: config,
		pools:  make(map[string]*pool),
	}
}

// RecordViewChange records that the set of live routers changed, or that this
// process was paused. Customers may change homes and the sides of a partition may
// rejoin then, so virtual times must settle before they are compared.
func (h *Home) RecordViewChange(now time.Duration) {
	h.viewChangedAt = now
}

// SetVirtualTime sets the system's virtual time in a pool.
func (h *Home) SetVirtualTime(now time.Duration, pool string, virtualTime float64) {
	h.pool(pool).setVirtualTime(now, virtualTime)
}

// ApplyReport applies a dispatcher's report and returns the answer to it.
func (h *Home) ApplyReport(now time.Duration, from string, epoch uint64, report *qlwire.UsageReport) *qlwire.UsageReply {
	p := h.pool(report.GetPool())
	if p.virtualTime == 0 {
		p.setVirtualTime(now, qlwire.ToVirtual(report.GetVirtualTime()))
	}
	reply := &qlwire.UsageReply{
		Sequence: report.GetSequence(),
		Pool:     report.GetPool(),
		Totals:   make([]*qlwire.UsageTotal, 0, len(report.GetItems())),
	}
	if report.GetAnswered() == 0 {
		// The dispatcher may be new and not know the virtual time yet.
		reply.VirtualTime = qlwire.FromVirtual(p.virtualTime)
	}
	for _, item := range report.GetItems() {
		limits, ok := h.config.Limits(item.GetCustomer())
		if !ok {
			delete(p.customers, item.GetCustomer())
			continue
		}
		if now < _learningTime && p.virtualTime == 0 && item.GetKnownVirtualTime() == 0 {
			continue
		}
		h.applyItem(now, p, report, from, epoch, item, limits)
		reply.Totals = append(reply.Totals, h.replyTotal(now, p, report.GetPool(), from, item, limits))
	}
	return reply
}

func (h *Home) pool(name string) *pool {
	p := h.pools[name]
	if p == nil {
		p = &pool{
			customers: make(map[string]*customerUsage),
		}
		h.pools[name] = p
	}
	return p
}

// applyItem adds the service that a dispatcher has charged to a customer since
// its last report. Reports that are not newer than the last one are ignored.
func (h *Home) applyItem(now time.Duration, p *pool, report *qlwire.UsageReport, from string, epoch uint64, item *qlwire.UsageItem, limits qlfair.Limits) {
	u := p.customers[item.GetCustomer()]
	if u == nil {
		u = newCustomerUsage(p, item)
		p.customers[item.GetCustomer()] = u
	}
	known := qlwire.ToVirtual(item.GetKnownVirtualTime())
	if now-u.reportedAt > _settlingTime {
		// Another router may have been the customer's home in the meantime, so
		// the virtual time kept here may be out of date.
		u.virtualTime = max(u.virtualTime, known)
		u.restartSettling(now)
	}
	u.reportedAt = now
	d := u.dispatchers[from]
	used := float64(item.GetUsed())
	usedBefore := used - float64(item.GetUnreported())
	if d != nil && d.epoch == epoch {
		if report.GetSequence() <= d.sequence {
			return
		}
		usedBefore = d.used
		if now-d.reportedAt > _settlingTime {
			// The dispatcher has not reported for long, perhaps because it was
			// cut off or paused, and this report covers a long time at once.
			u.restartSettling(now)
		}
	} else {
		d = &dispatcherUsage{}
		u.dispatchers[from] = d
		// The virtual time known to the dispatcher includes service that an
		// earlier home added up for it.
		if known > u.virtualTime {
			u.virtualTime = known
			u.restartSettling(now)
		}
	}
	u.virtualTime += (used - usedBefore) / limits.Share
	d.epoch = epoch
	d.sequence = report.GetSequence()
	d.used = used
	d.inFlight = int(item.GetInFlight())
	d.waiting = int(item.GetWaiting())
	d.setMaxInUse(int(max(item.GetAllotted(), item.GetInFlight())), report.GetAnswered())
	d.reportedAt = now
	h.applyFairnessRules(now, p, report.GetPool(), item.GetCustomer(), u, limits)
}

// restartSettling restarts the time after which the customer's virtual time is
// compared with the system's. Meanwhile it is still kept within the maximum
// gap.
func (u *customerUsage) restartSettling(now time.Duration) {
	if u.backloggedFrom >= 0 {
		u.backloggedFrom = now
	}
}

func newCustomerUsage(p *pool, item *qlwire.UsageItem) *customerUsage {
	u := &customerUsage{
		dispatchers:    make(map[string]*dispatcherUsage),
		backloggedFrom: -1,
	}
	u.virtualTime = qlwire.ToVirtual(item.GetKnownVirtualTime())
	if u.virtualTime == 0 {
		u.virtualTime = p.virtualTime
	}
	// A customer whose virtual time the dispatcher has received from another home
	// counts as active: this home must not treat it as one that returns from
	// idleness.
	u.active = item.GetKnownVirtualTime() != 0
	return u
}

// applyFairnessRules applies the rules on idleness and on the maximum gap.
func (h *Home) applyFairnessRules(now time.Duration, p *pool, poolName, customer string, u *customerUsage, limits qlfair.Limits) {
	inFlight, waiting := 0, 0
	for id, d := range u.dispatchers {
		if now-d.reportedAt > _dispatcherExpiry {
			delete(u.dispatchers, id)
			continue
		}
		inFlight += d.inFlight
		waiting += d.waiting
	}
	active := inFlight+waiting > 0
	if active && !u.active {
		u.virtualTime = max(u.virtualTime, p.virtualTime)
	}
	u.active = active
	if waiting == 0 || u.atLimit(limits.MaxInFlight) || limits.CostRate > 0 {
		u.backloggedFrom = -1
	} else if u.backloggedFrom < 0 {
		u.backloggedFrom = now
	}
	// The system's virtual time is delayed when it arrives here. The error is
	// larger the fewer customers are backlogged, because it then grows faster.
	maxGap := MaxGap(h.config.LargestCost(poolName), limits.Share) + p.growthRate*_maxVirtualTimeAge.Seconds()
	if p.virtualTimeIsCurrent(now) && u.backloggedFrom >= 0 && now-max(u.backloggedFrom, h.viewChangedAt) > _settlingTime {
		lag := p.virtualTime - u.virtualTime
		// Each request in flight may cost up to the largest cost, whatever was
		// charged for it, and so put a customer at the maximum gap further
		// ahead.
		inFlightCost := float64(inFlight) * h.config.LargestCost(poolName) / limits.Share
		h.config.Monitor.Check(lag <= maxGap && -lag <= maxGap+inFlightCost, qlinvariant.FairnessGap, customer, poolName)
	}
	if active && p.virtualTimeIsCurrent(now) {
		u.virtualTime = min(max(u.virtualTime, p.virtualTime-maxGap), p.virtualTime+maxGap)
	}
}

// MaxGap returns the maximum distance between a customer's virtual time and the
// system's. One request moves the virtual time of a customer with a share below
// 1 by more than the request's cost, so the maximum grows as the share falls.
func MaxGap(largestCost, share float64) float64 {
	return MaxGapRequests * largestCost * max(1, 1/share)
}

// replyTotal returns the answer for one customer of a dispatcher's report: its
// virtual time and the dispatcher's part of its limits.
func (h *Home) replyTotal(now time.Duration, p *pool, poolName, from string, item *qlwire.UsageItem, limits qlfair.Limits) *qlwire.UsageTotal {
	u := p.customers[item.GetCustomer()]
	d := u.dispatchers[from]
	fraction := u.demandFraction(from)
	total := &qlwire.UsageTotal{
		Customer:    item.GetCustomer(),
		VirtualTime: qlwire.FromVirtual(u.virtualTime),
		Included:    int64(d.used),
		CostRate:    limits.CostRate * fraction,
		Servers:     uint32(u.waitingDispatchers()),
		Limited:     u.demand() > limits.MaxInFlight,
	}
	divisible := h.divisibleLimit(now, p, item.GetCustomer(), poolName, limits.MaxInFlight)
	allotted := u.allot(now, from, fraction, divisible)
	d.maxInUse = max(d.maxInUse, allotted)
	d.answered = d.sequence
	total.MaxInFlight = uint32(allotted)
	return total
}

// atLimit reports whether the customer's limit keeps it from more service. The
// dispatchers' reports are of different moments, so a slot that is freed and
// granted again may be missing in all of them. Therefore an allotment counts as
// fully used where requests wait for it. An idle allotment does not.
func (u *customerUsage) atLimit(limit int) bool {
	inFlight, used := 0, 0
	for _, d := range u.dispatchers {
		inFlight += d.inFlight
		if d.waiting > 0 {
			used += max(d.inFlight, d.maxInUse)
		} else {
			used += d.inFlight
		}
	}
	return inFlight >= limit || (used >= limit && u.demand() > limit)
}

// demand returns the customer's requests in flight and waiting over the fleet.
func (u *customerUsage) demand() int {
	sum := 0
	for _, d := range u.dispatchers {
		sum += d.inFlight + d.waiting
	}
	return sum
}

// demandFraction returns the dispatcher's fraction of the customer's demand
// over the fleet.
func (u *customerUsage) demandFraction(from string) float64 {
	sum := u.demand()
	d := u.dispatchers[from]
	if sum == 0 {
		return 1 / float64(max(len(u.dispatchers), 1))
	}
	return float64(d.inFlight+d.waiting) / float64(sum)
}

// divisibleLimit returns the part of the limit that the reporting dispatchers
// share by demand: the leasable part and their own unleased allowances. The
// other dispatchers may use their allowances at any time.
func (h *Home) divisibleLimit(now time.Duration, p *pool, customer, poolName string, limit int) int {
	sum := h.config.Leasable(poolName, limit)
	for id, d := range p.customers[customer].dispatchers {
		if now-d.reportedAt < _allotmentLease {
			sum += h.config.UnleasedAllowance(poolName, customer, id, limit)
		}
	}
	return sum
}

// waitingDispatchers returns the number of dispatchers at which the customer
// waits, but at least 1.
func (u *customerUsage) waitingDispatchers() int {
	count := 0
	for _, d := range u.dispatchers {
		if d.waiting > 0 {
			count++
		}
	}
	return max(count, 1)
}

// allot returns a dispatcher's part of the limit, which is divided by demand. A
// part is raised only by what no other dispatcher may still be using, so the
// sum of all parts never exceeds the limit.
func (u *customerUsage) allot(now time.Duration, from string, fraction float64, limit int) int {
	usedByOthers := 0
	for id, d := range u.dispatchers {
		if id != from {
			usedByOthers += d.inUse(now)
		}
	}
	// The parts are rounded up, so they may add up to more than the limit. Each
	// is therefore also restricted to what the other dispatchers do not use.
	target := int(fraction*float64(limit) + 0.999)
	// Most of what the dispatcher does not need yet is left for the dispatchers
	// that ask next: they cannot get it back before the lease ends.
	d := u.dispatchers[from]
	need := d.inFlight + d.waiting
	target = min(target, need+max(0, limit-usedByOthers-need)/_surplusDivisor)
	return max(0, min(target, limit-usedByOthers))
}

// Tick drops dispatchers that have not reported a customer recently, and
// customers that no dispatcher reports.
func (h *Home) Tick(now time.Duration) {
	if now < h.nextSweep {
		return
	}
	h.nextSweep = now + _sweepPeriod
	for _, p := range h.pools {
		for customer, u := range p.customers {
			for id, d := range u.dispatchers {
				if now-d.reportedAt > _dispatcherExpiry {
					delete(u.dispatchers, id)
				}
			}
			if len(u.dispatchers) == 0 {
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
		for customer, u := range p.customers {
			states = append(states, CustomerState{
				Pool:        name,
				Customer:    customer,
				VirtualTime: u.virtualTime,
				Active:      u.active,
				Dispatchers: len(u.dispatchers),
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
