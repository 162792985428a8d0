// Package qlpace limits what a router sends to an overloaded plain service,
// which has slots but no LLM engines.
//
// It handles overload by short calls, more of them than the service's slots
// can serve: upstreams queue them, and all are answered late. Each router
// lowers the fraction of requests that it sends while answers are late and
// the upstreams report a queue, and raises it while answers are in time. So
// many routers together converge on the load that the slots can serve,
// without communicating. Requests that are not sent are refused at once.
//
// # Usage
//
//	pacer := qlpace.New()
//	if !pacer.Admit(random.Float64()) { refuse }
//	pacer.Answered(took, objective, waiting)
package qlpace

import "time"

const (
	// A late answer lowers the fraction by the relative amount _lateDecrease,
	// an answer in time raises it by _inTimeIncrease. They balance when about
	// a fifth of the answers is late.
	_lateDecrease   = 0.05
	_inTimeIncrease = 0.01
	// _minFraction is the lowest fraction that is sent, so that the end of
	// the overload is noticed.
	_minFraction = 0.15
	// _inTimeShare is the share of the objective within which an answer
	// counts as in time; the rest is left for the way back to the caller.
	_inTimeShare = 0.9
)

// Pacer limits the requests of one router to one service. It is not safe for
// concurrent use.
type Pacer struct {
	fraction float64
}

// New returns a pacer that sends everything.
func New() *Pacer {
	return &Pacer{
		fraction: 1,
	}
}

// Admit reports whether to send a request; chance is a random number, uniform
// from 0 to below 1.
func (p *Pacer) Admit(chance float64) bool {
	return chance < p.fraction
}

// SendFraction returns the fraction of requests that is sent.
func (p *Pacer) SendFraction() float64 {
	return p.fraction
}

// RecordAnswer adapts the fraction to an answer, given how long it took and how
// many calls waited at the upstream. Late answers from an upstream without a
// queue are ignored: they have another cause, which sending less would not
// remove. So are answers without an objective.
func (p *Pacer) RecordAnswer(took, objective time.Duration, waiting int) {
	switch {
	case objective <= 0:
	case float64(took) <= _inTimeShare*float64(objective):
		p.fraction = min(p.fraction+_inTimeIncrease, 1)
	case waiting > 0:
		p.fraction = max(p.fraction*(1-_lateDecrease), _minFraction)
	}
}
