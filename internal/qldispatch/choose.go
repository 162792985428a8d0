package qldispatch

import (
	"time"

	"github.com/quetzallane/quetzallane/internal/qlring"
)

// _affinity is by how much of its slots an upstream may be more loaded than the
// least loaded one and still be chosen for its cache.
const _affinity = 0.25

// choose returns the upstream for a customer's next request, or nil when no
// slot is free.
//
// The least loaded upstream is a good choice for any request. An engine keeps
// the prefixes of the prompts that it saw last, though, and a customer's
// prompts mostly begin alike. So of the engines that are about as little loaded
// as the least loaded one, it takes the first in an order that is the
// customer's own. Nobody keeps track of what is cached where: engines' news of
// that is late and has gaps, and the order is the same after any restart.
func (p *pool) choose(now time.Duration, a *account) *replica {
	lowest, found := p.lowestLoad(now)
	if !found {
		return nil
	}
	allowed := lowest
	if p.caches {
		allowed += _affinity
	}
	var best *replica
	bestScore := uint64(0)
	p.rotation++
	for i := range p.replicas {
		r := p.replicas[(i+p.rotation)%len(p.replicas)]
		if r.free(now) <= 0 || r.load(now) > allowed {
			continue
		}
		if !p.caches {
			return r
		}
		if score := qlring.Score(uint64(a.hash), r.hash); best == nil || score > bestScore {
			best, bestScore = r, score
		}
	}
	return best
}

// lowestLoad returns the load of the least loaded upstream with a free slot.
func (p *pool) lowestLoad(now time.Duration) (lowest float64, found bool) {
	for _, r := range p.replicas {
		if r.free(now) <= 0 {
			continue
		}
		if load := r.load(now); !found || load < lowest {
			lowest, found = load, true
		}
	}
	return lowest, found
}

// load is the part of the upstream's slots that is in use.
func (r *replica) load(now time.Duration) float64 {
	return float64(r.inUse+r.foreignNow(now)) / float64(r.slots)
}
