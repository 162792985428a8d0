package qloffload

import (
	"sync"
	"time"
)

const (
	// _requestsPerCore is the rate of requests that a router handles itself at most, per
	// core, in requests a second. It leaves processor time for passing on others, for
	// refusals and for control.
	_requestsPerCore = 1500
	// _minPart of that rate is handled in any case.
	_minPart = 0.05
	// _burstTime is for how long of the rate requests may come at once.
	_burstTime = 100 * time.Millisecond
	// _targetLag is the scheduling lag above which a router handles fewer requests
	// itself. It is below that at which it refuses some.
	_targetLag = 15 * time.Millisecond
	// _roomTargetLag is the lag above which a router takes fewer requests from others. It is
	// below that at which it refuses some of its own callers, so that it need not, and above
	// _targetLag: a router that has a little to do takes what others would refuse.
	_roomTargetLag = 25 * time.Millisecond
	// _lagDecrease and _calmIncrease are the factors by which each sample of the lag
	// changes the rate.
	_lagDecrease  = 0.8
	_calmIncrease = 1.05
)

// Budget decides which requests a router handles itself and which ones it offloads.
//
// It protects a small VM that one customer's callers all connect to: the balancer chooses a
// router by the caller, and the others idle. The rate of requests that the router handles
// itself is bounded by its processor, and follows the scheduling lag below that. Whose
// requests they are does not matter, since offloaded ones are served as well. How many
// requests of other routers it takes follows the lag in the same way. It is safe for
// concurrent use.
type Budget struct {
	mu sync.Mutex
	// rate and its limits are in requests a second.
	rate    float64
	maxRate float64
	minRate float64
	// tokens is how many requests may come at once, as of refilledAt.
	tokens     float64
	refilledAt time.Duration
	// room is the rate of requests that are taken from other routers, in requests a second.
	room float64
}

// NewBudget returns the budget of a VM with so many cores.
func NewBudget(cores float64) *Budget {
	maxRate := _requestsPerCore * cores
	return &Budget{
		rate:    maxRate,
		room:    maxRate,
		maxRate: maxRate,
		minRate: _minPart * maxRate,
		tokens:  maxRate * _burstTime.Seconds(),
	}
}

// RecordLag adapts the rates to a sample of the scheduling lag.
func (b *Budget) RecordLag(lag time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if lag > _roomTargetLag {
		b.room = max(b.room*_lagDecrease, b.minRate)
	} else {
		b.room = min(b.room*_calmIncrease, b.maxRate)
	}
	if lag > _targetLag {
		b.rate = max(b.rate*_lagDecrease, b.minRate)
		return
	}
	b.rate = min(b.rate*_calmIncrease, b.maxRate)
}

// Take reports whether the router should handle the next request itself, and counts it if
// so.
func (b *Budget) Take(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.rate*(now-b.refilledAt).Seconds(), max(b.rate*_burstTime.Seconds(), 1))
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Room returns the rate of requests that the router takes from others, in requests a second.
func (b *Budget) Room() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.room
}

// Rate returns the rate of requests that the router handles itself, in requests a second.
func (b *Budget) Rate() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rate
}
