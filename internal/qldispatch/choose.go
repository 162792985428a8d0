package qldispatch

import (
	"time"

	"github.com/quetzallane/quetzallane/internal/qlring"
)

// _affinityLoadTolerance is the fraction of its slots by which an upstream may
// be more loaded than the least loaded one and still be chosen for its prefix
// cache.
const _affinityLoadTolerance = 0.25

// choose returns the upstream for a customer's next request, or nil if no slot
// is free.
//
// The least loaded upstream suits any request. However, an engine caches the
// prefixes of the last prompts that it processed, and a customer's prompts
// mostly begin alike. So among the upstreams whose load is about as low as the
// lowest, choose returns the first in an order that is specific to the
// customer. The dispatcher does not track which prefixes are cached where:
// engines' reports of that are delayed and incomplete, whereas the order is the
// same after any restart.
func (p *pool) choose(now time.Duration, a *account) *upstream {
	lowest, found := p.lowestLoad(now)
	if !found {
		return nil
	}
	allowed := lowest
	if p.prefixCaching {
		allowed += _affinityLoadTolerance
	}
	var best *upstream
	bestScore := uint64(0)
	p.scanOffset++
	for i := range p.upstreams {
		u := p.upstreams[(i+p.scanOffset)%len(p.upstreams)]
		if u.free(now) <= 0 || u.load(now) > allowed {
			continue
		}
		if !p.prefixCaching {
			return u
		}
		if score := qlring.Score(uint64(a.hash), u.hash); best == nil || score > bestScore {
			best, bestScore = u, score
		}
	}
	return best
}

// lowestLoad returns the load of the least loaded upstream with a free slot.
func (p *pool) lowestLoad(now time.Duration) (lowest float64, found bool) {
	for _, u := range p.upstreams {
		if u.free(now) <= 0 {
			continue
		}
		if load := u.load(now); !found || load < lowest {
			lowest, found = load, true
		}
	}
	return lowest, found
}

// load returns the fraction of the upstream's slots that is in use.
func (u *upstream) load(now time.Duration) float64 {
	return float64(u.inUse+u.foreignRequests(now)) / float64(u.slots)
}
