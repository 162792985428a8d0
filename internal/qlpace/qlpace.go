// Package qlpace limits what a router sends to a plain service that is
// overloaded.
//
// It answers more short calls than the service's slots can take: upstreams
// then queue them, and all are answered late. Each router lowers the part that
// it sends while answers come late from upstreams that tell of a queue, and
// raises it while they come in time, so that many routers together find what
// the slots carry without speaking to each other. What is not sent is refused
// at once.
//
// # Usage
//
//	pacer := qlpace.New()
//	if !pacer.Admit(random.Float64()) { refuse }
//	pacer.Answered(took, objective, waiting)
package qlpace

import "time"

const (
	// _lower and _raise are what an answer that is late, or in time, changes in
	// the part that is sent. They balance where a fifth of answers is late.
	_lower = 0.05
	_raise = 0.01
	// _least is the smallest part that is sent, to see the load pass.
	_least = 0.15
	// _inTime is the part of the objective within which an answer is in time:
	// the way to the caller takes the rest.
	_inTime = 0.9
)

// Pacer is one router's for one service. It is not safe for several
// goroutines.
type Pacer struct {
	part float64
}

// New returns a pacer that sends everything.
func New() *Pacer {
	return &Pacer{
		part: 1,
	}
}

// Admit reports whether to send a request; chance is uniform below 1.
func (p *Pacer) Admit(chance float64) bool {
	return chance < p.part
}

// SendFraction returns the part that is sent.
func (p *Pacer) SendFraction() float64 {
	return p.part
}

// Answered takes how long an answer took, and how many calls waited at the
// upstream. Late answers of an upstream without a queue have another cause,
// which sending less does not mend.
func (p *Pacer) Answered(took, objective time.Duration, waiting int) {
	switch {
	case objective <= 0:
	case float64(took) <= _inTime*float64(objective):
		p.part = min(p.part+_raise, 1)
	case waiting > 0:
		p.part = max(p.part*(1-_lower), _least)
	}
}
