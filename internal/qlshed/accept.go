package qlshed

import (
	"sync"
	"time"
)

const (
	// AcceptLag is the scheduling lag above which new connections are limited.
	AcceptLag = 250 * time.Millisecond
	// _acceptsPerCore is the rate of new connections then, per core, in connections a
	// second. Accepting, reading and refusing one takes some 60 us of a core: this leaves
	// most of the processor to the connections that are open.
	_acceptsPerCore = 4000
	// _acceptHold is how long new connections are limited after a lag. The lag falls before
	// the flood has ended.
	_acceptHold = 300 * time.Millisecond
	// _acceptBurst is for how long of the rate connections may be accepted at once.
	_acceptBurst = 20 * time.Millisecond
)

// AcceptLimit limits how many connections a lagging router accepts.
//
// It protects the callers that are connected from a flood of new connections. Their requests
// can be refused for little processor time, and those of small customers served, but a new
// connection costs several times a refusal before it is known whose it is. It is safe for
// concurrent use.
type AcceptLimit struct {
	rate float64

	mu         sync.Mutex
	tokens     float64
	refilledAt time.Duration
	// limitedUntil is when the limit ends.
	limitedUntil time.Duration
}

// NewAcceptLimit returns the limit of a VM with so many cores.
func NewAcceptLimit(cores float64) *AcceptLimit {
	return &AcceptLimit{
		rate: _acceptsPerCore * cores,
	}
}

// Delay returns how long to wait before the next connection is accepted. If that is 0, it
// counts the connection.
func (l *AcceptLimit) Delay(now, lag time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	burst := max(l.rate*_acceptBurst.Seconds(), 1)
	l.tokens = min(l.tokens+l.rate*(now-l.refilledAt).Seconds(), burst)
	l.refilledAt = now
	if lag > AcceptLag {
		l.limitedUntil = now + _acceptHold
	}
	switch {
	case now >= l.limitedUntil:
		return 0
	case l.tokens >= 1:
		l.tokens--
		return 0
	}
	return time.Duration((1 - l.tokens) / l.rate * float64(time.Second))
}
