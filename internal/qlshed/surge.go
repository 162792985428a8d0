package qlshed

import "time"

const (
	// _surgeLearnDelay is how long an overload has lasted when its rate is learned.
	// Shorter ones may be pauses of the process.
	_surgeLearnDelay = 500 * time.Millisecond
	// _surgeMemory is how long the rate is remembered: callers that the balancer sends
	// to other routers return within seconds.
	_surgeMemory = 30 * time.Second
	// _surgeRate times the learned rate is admitted without a look at the lag, and at
	// once what that makes in _surgeBurst.
	_surgeRate  = 1.2
	_surgeBurst = 125 * time.Millisecond
	// _surgePause is how long the admitted fraction stays as a surge has set it before
	// it may be set again.
	_surgePause = 40 * time.Millisecond
	// _surgeFraction times the learned rate is what the fraction then admits.
	_surgeFraction = 1.1
	// _surgeGrowth is the growth of the learned rate at each sample without lag after
	// it has limited requests: those may cost less than the ones before.
	_surgeGrowth = 1.04
	// _minSurgeRate is the lowest rate that is learned, in requests a second.
	_minSurgeRate = 20
)

// surgeLimit limits requests to the rate that the router has sustained in an overload.
// Lag shows a surge only when the router has admitted more than it can serve in time. Its
// zero value limits nothing.
type surgeLimit struct {
	// rate is the learned rate, in requests a second; learnedAt is 0 if there is none.
	rate      float64
	learnedAt time.Duration
	// tokens is how many requests may be admitted at once, as of refilledAt.
	tokens     float64
	refilledAt time.Duration
	// limited is set if requests were limited since the last sample of the lag.
	limited bool
}

// learn sets the rate.
func (l *surgeLimit) learn(now time.Duration, rate float64) {
	l.rate, l.learnedAt = max(rate, _minSurgeRate), now
}

// relax raises the rate if it has limited requests although there is no lag.
func (l *surgeLimit) relax() {
	if l.limited {
		l.rate *= _surgeGrowth
		l.limited = false
	}
}

// count counts an admitted request.
func (l *surgeLimit) count() {
	l.tokens--
}

// isKnown reports whether a rate is remembered.
func (l *surgeLimit) isKnown(now time.Duration) bool {
	return l.learnedAt != 0 && now-l.learnedAt <= _surgeMemory
}

// isExceeded reports whether more was admitted than the router sustains.
func (l *surgeLimit) isExceeded(now time.Duration) bool {
	if !l.isKnown(now) {
		return false
	}
	perSecond := _surgeRate * l.rate
	l.tokens = min(l.tokens+(now-l.refilledAt).Seconds()*perSecond, _surgeBurst.Seconds()*perSecond)
	l.refilledAt = now
	return l.tokens <= 0
}

// fraction returns the fraction of requests received at the rate that the router
// sustains, and starts a pause.
func (l *surgeLimit) fraction(receivedRate float64) float64 {
	l.limited = true
	l.tokens = _surgePause.Seconds() * _surgeRate * l.rate
	return _surgeFraction * l.rate / receivedRate
}
