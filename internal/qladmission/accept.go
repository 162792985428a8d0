package qladmission

import (
	"sync"
	"time"
)

const (
	// _acceptTargetLag is the scheduling lag above which new connections are paced, and
	// fewer of them are accepted with each sample.
	_acceptTargetLag = 100 * time.Millisecond
	// _strainedLag is the scheduling lag above which a router does not keep up. It is that from
	// which it declines requests of others and refuses some of its own callers.
	_strainedLag = _maxTakingLag
	// _minAcceptsPerCore and _maxAcceptsPerCore limit the pace, in connections a second per
	// core.
	_minAcceptsPerCore = 2000
	_maxAcceptsPerCore = 40000
	// _rateWeight is the weight of a sample in the rate of accepted connections.
	_rateWeight = 0.3
	// _paceDecrease is the relative decrease of the pace at a sample of twice the target
	// lag. It grows with the excess over the target, up to _maxPaceDecrease.
	_paceDecrease    = 0.05
	_maxPaceDecrease = 0.3
	// _paceIncrease is the relative increase at a sample up to the target lag.
	_paceIncrease = 0.05
	// _acceptHold is how long connections are paced after a lag, and after the pace has made
	// one wait, and how long a router is strained after a lag: the lag falls before a flood has
	// ended.
	_acceptHold = 300 * time.Millisecond
	// _acceptBurst is for how long of the pace connections may be accepted at once.
	_acceptBurst = 20 * time.Millisecond
)

// AcceptPace paces the connections that a lagging router accepts.
//
// It protects the callers that are connected from a flood of new connections: what is open is
// served, and the lag stays so short that what is accepted can be. A connection that waits in
// the kernel costs no processor time. It is safe for concurrent use.
type AcceptPace struct {
	cores float64

	mu sync.Mutex
	// rate is the pace, in connections a second, and acceptedRate the rate of accepted
	// connections, of which accepted have come since the last sample.
	rate         float64
	acceptedRate float64
	accepted     float64
	sampledAt    time.Duration
	tokens       float64
	refilledAt   time.Duration
	// pacedUntil is when the pace ends to apply.
	pacedUntil time.Duration
	// strainedUntil is when the router ends to be strained.
	strainedUntil time.Duration
}

// NewAcceptPace returns the pace of a VM with so many cores.
func NewAcceptPace(cores float64) *AcceptPace {
	return &AcceptPace{
		cores: cores,
		rate:  _maxAcceptsPerCore * cores,
	}
}

// RecordLag adapts the pace to a sample of the scheduling lag.
func (p *AcceptPace) RecordLag(now, lag time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if elapsed := (now - p.sampledAt).Seconds(); elapsed > 0 {
		p.acceptedRate += (p.accepted/elapsed - p.acceptedRate) * _rateWeight
		p.accepted, p.sampledAt = 0, now
	}
	if lag > _strainedLag {
		p.strainedUntil = now + _acceptHold
	}
	if lag <= _acceptTargetLag {
		p.setRate(p.rate * (1 + _paceIncrease))
		return
	}
	p.slowDown(now, lag)
}

// slowDown lowers the pace. It begins at the rate at which connections were accepted.
func (p *AcceptPace) slowDown(now, lag time.Duration) {
	if now >= p.pacedUntil {
		p.setRate(p.acceptedRate)
	}
	excess := float64(lag-_acceptTargetLag) / float64(_acceptTargetLag)
	p.setRate(p.rate * (1 - min(_paceDecrease*excess, _maxPaceDecrease)))
	p.pacedUntil = now + _acceptHold
}

func (p *AcceptPace) setRate(rate float64) {
	p.rate = min(max(rate, _minAcceptsPerCore*p.cores), _maxAcceptsPerCore*p.cores)
}

// IsPaced reports whether connections are paced at present.
func (p *AcceptPace) IsPaced(now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now < p.pacedUntil
}

// IsStrained reports whether the router has not kept up lately. It has not, too, while
// connections are paced.
func (p *AcceptPace) IsStrained(now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now < p.strainedUntil || now < p.pacedUntil
}

// Delay returns how long to wait before the next connection is accepted. If that is 0, it
// counts the connection.
func (p *AcceptPace) Delay(now, lag time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	burst := max(p.rate*_acceptBurst.Seconds(), 1)
	p.tokens = min(p.tokens+p.rate*(now-p.refilledAt).Seconds(), burst)
	p.refilledAt = now
	if lag > _acceptTargetLag && now >= p.pacedUntil {
		// A stall is seen here before the next sample.
		p.slowDown(now, lag)
	}
	switch {
	case now >= p.pacedUntil:
		p.accepted++
		return 0
	case p.tokens >= 1:
		p.accepted++
		p.tokens--
		return 0
	}
	p.pacedUntil = now + _acceptHold
	return time.Duration((1 - p.tokens) / p.rate * float64(time.Second))
}
