package qldispatch

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/quetzallane/quetzallane/internal/qlfair"
	"github.com/quetzallane/quetzallane/internal/qlwire"
)

// Dispatcher grants the slots of the upstreams that its router owns. It is not
// safe for concurrent use.
type Dispatcher struct {
	config    Config
	pools     map[string]*pool
	poolNames []string
	upstreams map[string]*upstream
	entries   map[string]*entryState
	// freeRecords holds the records of ended grants for reuse.
	freeRecords []*grantRecord
	// lastGrantNumber is the number of the last grant. Numbers are counted over
	// all entries, so that an entry that was dropped and returns never receives
	// the same number twice.
	lastGrantNumber uint64
	nextSweep       time.Duration
	// allowanceVersion counts the calls of SetPool and RefreshLimits, after which
	// the unleased allowances of limits are computed again.
	allowanceVersion uint64
	// reportRequested is set when a customer waits for an allotment that its
	// usage home has not been asked for recently.
	reportRequested bool
}

// New returns a dispatcher that does not own any upstreams yet.
func New(config Config) *Dispatcher {
	return &Dispatcher{
		config:           config,
		pools:            make(map[string]*pool),
		upstreams:        make(map[string]*upstream),
		entries:          make(map[string]*entryState),
		allowanceVersion: 1,
	}
}

// SetPool sets the upstreams that the dispatcher owns in a pool. Upstreams that
// it no longer owns receive no new grants; their active requests run to their
// end.
func (d *Dispatcher) SetPool(now time.Duration, config PoolConfig) {
	d.allowanceVersion++
	p := d.pool(config.Name)
	p.largestCost = config.LargestCost
	p.prefixCaching = config.PrefixCaching
	kept := p.upstreams[:0:0]
	listed := make(map[string]bool, len(config.Upstreams))
	for _, upstreamConfig := range config.Upstreams {
		listed[upstreamConfig.ID] = true
		kept = append(kept, d.setUpstream(now, p, upstreamConfig))
	}
	for _, u := range p.upstreams {
		if listed[u.id] {
			continue
		}
		u.owned = false
		if u.inUse > 0 {
			kept = append(kept, u)
			continue
		}
		delete(d.upstreams, u.id)
	}
	p.upstreams = kept
	d.grantFreeSlots(now, p)
}

func (d *Dispatcher) pool(name string) *pool {
	p := d.pools[name]
	if p == nil {
		p = &pool{
			name:     name,
			accounts: make(map[string]*account),
		}
		d.pools[name] = p
		d.poolNames = append(d.poolNames, name)
		sort.Strings(d.poolNames)
	}
	return p
}

func (d *Dispatcher) setUpstream(now time.Duration, p *pool, config UpstreamConfig) *upstream {
	u := d.upstreams[config.ID]
	if u == nil {
		u = &upstream{
			id:            config.ID,
			hash:          xxhash.Sum64String(config.ID),
			pool:          p,
			adaptiveLimit: config.Slots,
		}
		d.upstreams[config.ID] = u
	}
	if !u.owned {
		u.owned = true
		u.holdOffUntil = now + _ownerChangeHoldOff
		u.hasLoadReport = false
	}
	if u.slots != config.Slots {
		u.slots = config.Slots
		u.adaptiveLimit = config.Slots
	}
	u.leaving = config.Leaving
	return u
}

// account returns the customer's account in a pool and creates it if necessary.
// It returns nil if the configuration does not name the customer.
func (d *Dispatcher) account(now time.Duration, p *pool, customer string) *account {
	if a := p.accounts[customer]; a != nil {
		return a
	}
	limits, ok := d.config.Limits(customer)
	if !ok {
		return nil
	}
	a := &account{
		service: qlfair.NewAccount(qlfair.AccountConfig{
			ID:               customer,
			Share:            limits.Share,
			StartVirtualTime: p.virtualTime,
		}),
		pool:         p,
		hash:         qlwire.HashItem(customer, p.name),
		limits:       limits,
		activeAt:     now,
		costBudgetAt: now,
		// The account is created with the customer's first demand, so the
		// customer did not wait before.
		lastNotWaitingAt: now,
	}
	a.flow = qlfair.NewFlow(a.service, a)
	p.accounts[customer] = a
	return a
}

// RefreshLimits reads all customers' limits again after a change of the
// configuration. A raised limit takes effect at once for this router's unleased
// allowance. Customers that the configuration no longer names lose their demands;
// the account of one with requests in flight is removed later, as an idle one.
func (d *Dispatcher) RefreshLimits(now time.Duration) {
	d.allowanceVersion++
	for _, name := range d.poolNames {
		p := d.pools[name]
		for customer, a := range p.accounts {
			limits, ok := d.config.Limits(customer)
			if !ok {
				d.removeAccount(p, a)
				continue
			}
			if limits != a.limits {
				oldMaxInFlight := a.limits.MaxInFlight
				a.limits = limits
				a.service.SetShare(limits.Share)
				// The home's allotment was derived from the old, higher limit.
				if limits.MaxInFlight < oldMaxInFlight {
					a.allotted = min(a.allotted, d.unleasedAllowance(a))
				}
				a.dirty = true
			}
			d.unpark(a)
		}
		d.grantFreeSlots(now, p)
	}
}

// removeAccount drops the customer's demands, and the account itself unless it
// still has requests in flight.
func (d *Dispatcher) removeAccount(p *pool, a *account) {
	p.waiting -= a.waiting
	a.waiting = 0
	for i := range a.demands {
		delete(a.demands[i].entry.accounts, a)
	}
	a.demands = nil
	p.queue.Remove(a.flow)
	if a.inFlight == 0 {
		delete(p.accounts, a.service.ID())
	}
}

// allotment returns this router's part of the customer's limit on requests in
// flight: the usage home's allotment while its lease lasts, otherwise a part
// that is safe whatever the other dispatchers use.
func (d *Dispatcher) allotment(now time.Duration, a *account) int {
	switch unleased := d.unleasedAllowance(a); {
	case now < a.allottedUntil:
		return a.allotted
	case now < a.unleasedFrom:
		return min(a.allotted, unleased)
	default:
		return unleased
	}
}

// unleasedAllowance returns the part of the customer's limit on requests in
// flight that this router may use without asking the usage home.
func (d *Dispatcher) unleasedAllowance(a *account) int {
	if a.unleasedVersion != d.allowanceVersion {
		rank, total := d.config.Rank(a.pool.name, a.service.ID())
		a.unleased = qlfair.UnleasedAllowance(a.limits.MaxInFlight, rank, total)
		a.unleasedVersion = d.allowanceVersion
	}
	return a.unleased
}

// withinCostRate refills the customer's cost budget and reports whether it
// permits another grant.
func (d *Dispatcher) withinCostRate(now time.Duration, a *account) bool {
	if a.limits.CostRate <= 0 {
		return true
	}
	rate := a.allottedRate
	if now >= a.allottedUntil {
		_, total := d.config.Rank(a.pool.name, a.service.ID())
		rate = a.limits.CostRate / float64(max(total, 1))
	}
	a.costBudget += rate * (now - a.costBudgetAt).Seconds()
	a.costBudget = min(a.costBudget, rate*_rateBurst.Seconds())
	a.costBudgetAt = now
	return a.costBudget >= 0
}

// park removes a customer whose limit is reached here from the queue. If the
// customer has no lease, its usage home has not been asked recently and must be
// asked at once.
func (d *Dispatcher) park(now time.Duration, a *account) {
	if !a.parked && now >= a.allottedUntil {
		d.reportRequested = true
	}
	a.pool.queue.Remove(a.flow)
	if !a.parked {
		a.parked = true
		a.pool.parked = append(a.pool.parked, a)
	}
}

func (d *Dispatcher) unpark(a *account) {
	if !a.parked {
		return
	}
	a.parked = false
	for i, parked := range a.pool.parked {
		if parked == a {
			last := len(a.pool.parked) - 1
			a.pool.parked[i] = a.pool.parked[last]
			a.pool.parked = a.pool.parked[:last]
			break
		}
	}
	d.enqueue(a)
}

func (d *Dispatcher) enqueue(a *account) {
	if a.waiting > 0 && !a.parked {
		a.pool.queue.Push(a.flow)
	}
}
