package qldispatch

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/quetzallane/quetzallane/internal/qlfair"
	"github.com/quetzallane/quetzallane/internal/qlwire"
)

// Dispatcher grants the slots of the upstreams it owns. It is not safe for
// use by several goroutines.
type Dispatcher struct {
	config   Config
	pools    map[string]*pool
	names    []string
	replicas map[string]*replica
	entries  map[string]*entryState
	spare    []*grantRecord
	// numbered is the last grant's number. It counts over all entries, so
	// that one that was dropped and comes back is never sent a number again.
	numbered uint64
	sweepAt  time.Duration
	// version counts changes of the view and the configuration, after which
	// free shares of limits are worked out anew.
	version uint64
	// asking is set when a customer waits for its part of a limit.
	asking bool
}

// New returns a dispatcher that owns nothing yet.
func New(config Config) *Dispatcher {
	return &Dispatcher{
		config:   config,
		pools:    make(map[string]*pool),
		replicas: make(map[string]*replica),
		entries:  make(map[string]*entryState),
		version:  1,
	}
}

// SetPool states the upstreams that the dispatcher owns in a pool. Upstreams
// that it no longer owns get no new grant; their requests run to their end.
func (d *Dispatcher) SetPool(now time.Duration, config PoolConfig) {
	d.version++
	p := d.pool(config.Name)
	p.largestCost = config.LargestCost
	p.caches = config.PrefixCaching
	kept := p.replicas[:0:0]
	listed := make(map[string]bool, len(config.Upstreams))
	for _, rc := range config.Upstreams {
		listed[rc.ID] = true
		kept = append(kept, d.setReplica(now, p, rc))
	}
	for _, r := range p.replicas {
		if listed[r.id] {
			continue
		}
		r.owned = false
		if r.inUse > 0 {
			kept = append(kept, r)
			continue
		}
		delete(d.replicas, r.id)
	}
	p.replicas = kept
	d.pump(now, p)
}

func (d *Dispatcher) pool(name string) *pool {
	p := d.pools[name]
	if p == nil {
		p = &pool{
			name:     name,
			accounts: make(map[string]*account),
		}
		d.pools[name] = p
		d.names = append(d.names, name)
		sort.Strings(d.names)
	}
	return p
}

func (d *Dispatcher) setReplica(now time.Duration, p *pool, config UpstreamConfig) *replica {
	r := d.replicas[config.ID]
	if r == nil {
		r = &replica{
			id:    config.ID,
			hash:  xxhash.Sum64String(config.ID),
			pool:  p,
			limit: config.Slots,
		}
		d.replicas[config.ID] = r
	}
	if !r.owned {
		r.owned = true
		r.readyAt = now + _holdOff
		r.reported = false
	}
	if r.slots != config.Slots {
		r.slots = config.Slots
		r.limit = config.Slots
	}
	r.leaving = config.Leaving
	return r
}

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
		pool:     p,
		hash:     qlwire.HashItem(customer, p.name),
		limits:   limits,
		activeAt: now,
		bucketAt: now,
		// A customer is only known here once it asks for something.
		waitingFrom: now,
	}
	a.flow = qlfair.NewFlow(a.service, a)
	p.accounts[customer] = a
	return a
}

// RefreshLimits reads every customer's limits again after a change of the
// configuration. A raised limit is in force at once for this router's part;
// customers that are gone are dropped when their requests have ended.
func (d *Dispatcher) RefreshLimits(now time.Duration) {
	d.version++
	for _, name := range d.names {
		p := d.pools[name]
		for customer, a := range p.accounts {
			limits, ok := d.config.Limits(customer)
			if !ok {
				d.forget(p, a)
				continue
			}
			if limits != a.limits {
				bound := a.limits.MaxInFlight
				a.limits = limits
				a.service.SetShare(limits.Share)
				// What the home allotted was cut from the old limit.
				if limits.MaxInFlight < bound {
					a.allotted = min(a.allotted, d.freeShare(a))
				}
				a.dirty = true
			}
			d.unpark(a)
		}
		d.pump(now, p)
	}
}

func (d *Dispatcher) forget(p *pool, a *account) {
	p.waiting -= a.waiting
	a.waiting = 0
	for i := range a.wants {
		delete(a.wants[i].entry.accounts, a)
	}
	a.wants = nil
	p.queue.Remove(a.flow)
	if a.inFlight == 0 {
		delete(p.accounts, a.service.ID())
	}
}

// allotment is this router's part of the customer's bound on requests in
// flight: the home's word while its lease lasts, else a part that is safe
// whatever the others do.
func (d *Dispatcher) allotment(now time.Duration, a *account) int {
	switch part := d.freeShare(a); {
	case now < a.allottedUntil:
		return a.allotted
	case now < a.freeFrom:
		return min(a.allotted, part)
	default:
		return part
	}
}

// freeShare is what this router may use of the customer's bound without
// asking.
func (d *Dispatcher) freeShare(a *account) int {
	if a.freeVersion != d.version {
		rank, total := d.config.Rank(a.pool.name, a.service.ID())
		a.free = qlfair.UnleasedAllowance(a.limits.MaxInFlight, rank, total)
		a.freeVersion = d.version
	}
	return a.free
}

func (d *Dispatcher) rateAllows(now time.Duration, a *account) bool {
	if a.limits.CostRate <= 0 {
		return true
	}
	rate := a.allottedRate
	if now >= a.allottedUntil {
		_, total := d.config.Rank(a.pool.name, a.service.ID())
		rate = a.limits.CostRate / float64(max(total, 1))
	}
	a.bucket += rate * (now - a.bucketAt).Seconds()
	a.bucket = min(a.bucket, rate*_rateBurst.Seconds())
	a.bucketAt = now
	return a.bucket >= 0
}

// park takes a customer whose limit binds here out of the queue. Without a
// lease its home has not been asked of late, and must be at once.
func (d *Dispatcher) park(now time.Duration, a *account) {
	if !a.parked && now >= a.allottedUntil {
		d.asking = true
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
	for i, other := range a.pool.parked {
		if other == a {
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
