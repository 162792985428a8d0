package qladmission_test

import (
	"fmt"
	"time"
)

const (
	_objective   = 500 * time.Millisecond
	_minPatience = time.Second
	_maxPatience = 2 * time.Second
	// _maxReturns is how often a caller comes back after a refusal.
	_maxReturns = 2
	// _keptPart of the requests are sent on kept connections.
	_keptPart = 0.5
	// _synRetryDelay is when a caller's kernel asks again for a connection that found the
	// accept queue full.
	_synRetryDelay = time.Second
)

// requestCounts counts requests by how they end. Those that come back are counted once.
type requestCounts struct {
	sent int
	// inAim are those answered within the objective since they were sent, or sent again after
	// a refusal, and late those answered after it.
	inAim int
	late  int
	ended [_requestEndCount]int
}

func (c *requestCounts) add(other *requestCounts) {
	c.sent += other.sent
	c.inAim += other.inAim
	c.late += other.late
	for end, count := range other.ended {
		c.ended[end] += count
	}
}

func (c *requestCounts) String() string {
	return fmt.Sprintf("%d sent, %d in aim, %d late, refused %d for the processor, %d for shares, %d by engines, %d without a connection, %d ended at their patience",
		c.sent, c.inAim, c.late, c.ended[_refusedProcessor], c.ended[_refusedShare], c.ended[_refusedEngines], c.ended[_unconnected], c.ended[_endedAtPatience])
}

// modelCaller sends one customer's requests in one zone, at a rate that does not depend on
// the answers.
type modelCaller struct {
	clock    *modelClock
	fleet    *modelFleet
	customer string
	// preferred are the routers of the zone, in the order in which the balancer prefers them.
	preferred []*modelRouter
	// rate is in requests a second, at a load of 1.
	rate float64
	// keptPart of the requests are sent on kept connections.
	keptPart    float64
	minPatience time.Duration
	maxPatience time.Duration
	// evenly is set if requests are sent at equal intervals, not at random times.
	evenly bool
	// maxReturns is how often a request comes back after a refusal.
	maxReturns int
	// loads counts changes of the load.
	loads int
	// kept holds the idle connections, by the router at their end, the longest idle first.
	kept []*modelRouter
	// counts is nil while nothing is measured.
	counts *requestCounts
}

// setLoad sends requests at a load, as a multiple of the rate, for as long as the clock runs.
func (c *modelCaller) setLoad(load float64) {
	c.loads++
	current := c.loads
	var next func()
	next = func() {
		if c.loads != current {
			return
		}
		c.send()
		c.planNext(load, next)
	}
	c.planNext(load, next)
}

func (c *modelCaller) planNext(load float64, next func()) {
	interval := float64(time.Second) / (load * c.rate)
	if !c.evenly {
		interval *= c.clock.random.ExpFloat64()
	}
	c.clock.after(time.Duration(interval), next)
}

func (c *modelCaller) isCounted() bool {
	return c.counts != nil
}

// send sends a new request.
func (c *modelCaller) send() {
	now := c.clock.now
	request := &modelRequest{
		caller:    c,
		counts:    c.counts,
		patientTo: now + c.clock.between(c.minPatience, c.maxPatience),
		keeps:     c.clock.random.Float64() < c.keptPart,
		lastEnd:   _endedAtPatience,
	}
	if request.counts != nil {
		request.counts.sent++
	}
	c.clock.after(request.patientTo-now, request.giveUp)
	request.send()
}

// modelRequest is a caller's request, with all its attempts.
type modelRequest struct {
	caller *modelCaller
	// counts is nil if the request is not measured.
	counts *requestCounts
	// sentAt is when the current attempt was sent.
	sentAt    time.Duration
	patientTo time.Duration
	keeps     bool
	returns   int
	ended     bool
	// begun is set if it has ended with an answer in time for its caller.
	begun bool
	// lastEnd is how the last attempt has ended, or _endedAtPatience while one lasts.
	lastEnd requestEnd
}

// modelAttempt is an attempt of a request at one router.
type modelAttempt struct {
	*modelRequest
	router *modelRouter
}

func (r *modelRequest) customer() string {
	return r.caller.customer
}

// left reports whether the caller has closed the request's connection.
func (r *modelRequest) left() bool {
	return r.ended && !r.begun
}

// send sends the request on an idle connection, or on a new one.
func (r *modelRequest) send() {
	r.sentAt = r.caller.clock.now
	r.attempt()
}

func (r *modelRequest) attempt() {
	if r.ended {
		return
	}
	c := r.caller
	r.lastEnd = _endedAtPatience
	if r.keeps && len(c.kept) > 0 {
		router := c.kept[0]
		c.kept = c.kept[1:]
		router.receive(&modelAttempt{
			modelRequest: r,
			router:       router,
		})
		return
	}
	router := c.fleet.balance(c.preferred)
	connected := router.connect(&modelAttempt{
		modelRequest: r,
		router:       router,
	})
	if !connected {
		r.lastEnd = _unconnected
		c.clock.after(_synRetryDelay, r.attempt)
	}
}

func (r *modelRequest) giveUp() {
	r.end(r.lastEnd)
}

// end counts the request once.
func (r *modelRequest) end(how requestEnd) {
	if r.ended {
		return
	}
	r.ended = true
	r.begun = how == _begun
	if r.counts == nil {
		return
	}
	r.counts.ended[how]++
	switch {
	case how != _begun:
	case r.caller.clock.now-r.sentAt <= _objective:
		r.counts.inAim++
	default:
		r.counts.late++
	}
}

// answered is called with the first event of the answer.
func (a *modelAttempt) answered() {
	if a.ended {
		return
	}
	a.end(_begun)
	if a.keeps {
		a.caller.clock.after(time.Duration(a.caller.fleet.streamTicks)*_streamTick, a.keep)
	}
}

func (a *modelAttempt) keep() {
	a.caller.kept = append(a.caller.kept, a.router)
}

// refused is called with a refusal. The caller comes back if its patience lasts.
func (a *modelAttempt) refused(how requestEnd, retryAfter time.Duration, closes bool) {
	if a.ended {
		return
	}
	if a.keeps && !closes {
		a.keep()
	}
	if a.returns >= a.caller.maxReturns || a.caller.clock.now+retryAfter >= a.patientTo {
		a.end(how)
		return
	}
	a.returns++
	a.lastEnd = how
	a.caller.clock.after(retryAfter, a.send)
}
