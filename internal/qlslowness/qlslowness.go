// Package qlslowness weighs the figure by which a machine reports how long work takes
// on it now.
//
// It is made for machines that become slow for some hundred milliseconds at a time, many
// times a minute, and report it in their answers. A figure is compared with the mean of
// the machine's recent figures: permanent differences between machines are not its
// business, since the load balancers learn those from observed times. A figure that
// never changes therefore has no effect, even if it is wrong.
//
// # Usage
//
//	var reports qlslowness.Reports
//	reports.Record(now, 2.5)
//	expected := time.Duration(float64(usual) * reports.Factor(now))
package qlslowness

import "time"

const (
	// _maxAge is the age from which a figure has no weight, as slow periods last 600 ms.
	// The chance that the period it was reported in still lasts falls linearly to none.
	_maxAge = 600 * time.Millisecond
	// _meanTime is the time constant of the mean. It is long compared with slow periods,
	// so that they are told apart from permanent slowness, and is as long as it takes
	// until learned slowness expires.
	_meanTime = 5 * time.Second
	// _minFactor and _maxFactor bound the effect of one figure. A machine that takes 2.5
	// times as long for 15 in 100 of the time is between 0.8 and 2 times its mean. A wrong
	// figure must not stop all use of a machine, since its observed times would then be
	// missing.
	_minFactor = 0.7
	_maxFactor = 2.5
	// _maxPace bounds figures in both directions: what is over 100 times or under a
	// hundredth of the usual is a fault of the machine's.
	_maxPace = 100
)

// Usable reports whether a figure is plausible. 1 is usual, 2.5 is 2.5 times as long.
func Usable(pace float64) bool {
	return pace >= 1.0/_maxPace && pace <= _maxPace
}

// Reports holds what a machine has reported. The zero value is that of a machine that
// reports nothing. It is not safe for concurrent use.
type Reports struct {
	latest float64
	// mean is the mean of count figures, or of more recent ones if these are many.
	mean  float64
	count int
	at    time.Duration
}

// Record records a figure. It ignores one that is not usable.
func (r *Reports) Record(now time.Duration, pace float64) {
	if !Usable(pace) {
		return
	}
	r.count++
	held := min(max(now-r.at, 0), _maxAge)
	weight := max(float64(held)/float64(_meanTime), 1/float64(r.count))
	r.mean += weight * (pace - r.mean)
	r.latest, r.at = pace, now
}

// Factor returns how long work is expected to take now, relative to its mean duration on
// the machine. It is 1 if nothing was reported lately.
func (r *Reports) Factor(now time.Duration) float64 {
	age := max(now-r.at, 0)
	if r.latest == 0 || age >= _maxAge {
		return 1
	}
	factor := min(max(r.latest/r.mean, _minFactor), _maxFactor)
	return 1 + (factor-1)*(1-float64(age)/float64(_maxAge))
}

// Latest returns the last figure, or 0 if there was none.
func (r *Reports) Latest() float64 {
	return r.latest
}
