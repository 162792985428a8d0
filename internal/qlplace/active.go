package qlplace

import (
	"time"

	"github.com/quetzallane/quetzallane/internal/qlengine"
)

// End records that a request ended.
func (p *Placer) End(now time.Duration, key qlengine.Key, outcome qlengine.Outcome) {
	request, ok := p.active[key]
	if !ok {
		return
	}
	delete(p.active, key)
	if request.cost > 0 && !request.engine.model.HasBegun(key) && outcome != qlengine.Completed {
		p.shares[request.engine.pool.group].ReturnGrant(now, request.customer, request.cost)
	}
	request.engine.model.End(now, key, outcome)
}

// recordGrant records what a request was granted, which is returned if it ends before it
// has begun to run: its customer had nothing of it.
func (p *Placer) recordGrant(request *Request, cost float64) {
	if active, ok := p.active[request.Key]; ok {
		active.customer, active.cost = request.Customer, cost
		p.active[request.Key] = active
	}
}

// DropRouter removes the active requests of a router that left.
func (p *Placer) DropRouter(now time.Duration, router string) {
	delete(p.routers, router)
	for key, request := range p.active {
		if key.Router == router {
			delete(p.active, key)
			request.engine.model.End(now, key, qlengine.Abandoned)
		}
	}
}

// RetainRequests removes a router's active requests except those that the
// router reported as active, by their numbers. Requests placed less than minAge
// ago stay, since the router may not have known of them when it reported.
func (p *Placer) RetainRequests(now time.Duration, router string, reported map[uint64]bool, minAge time.Duration) {
	for key, request := range p.active {
		if key.Router != router || reported[key.Request] {
			continue
		}
		if at, ok := request.engine.model.PlacedAt(key); ok && now-at < minAge {
			continue
		}
		delete(p.active, key)
		request.engine.model.End(now, key, qlengine.Abandoned)
	}
}

// Tick removes active requests whose ends were lost. It has to be called
// regularly.
func (p *Placer) Tick(now time.Duration) {
	for _, groups := range p.pools {
		for _, pool := range groups {
			pool.speed.Expire(now)
			pool.prefixes.expire(now)
		}
	}
	for _, e := range p.engines {
		e.model.Expire(now, _activeRequestTTL)
	}
	for key, request := range p.active {
		if !request.engine.model.Has(key) {
			delete(p.active, key)
		}
	}
}
