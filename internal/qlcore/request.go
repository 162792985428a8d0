package qlcore

import (
	"time"

	"github.com/quetzallane/quetzallane/internal/qlclaim"
	"github.com/quetzallane/quetzallane/internal/qldispatch"
	"github.com/quetzallane/quetzallane/internal/qlentry"
	"github.com/quetzallane/quetzallane/internal/qlinvariant"
	"github.com/quetzallane/quetzallane/pkg/qlcode"
)

// Submit accepts a caller's request. Either Config.Start or Config.Refuse is
// then called for it once, in this call or later, and once more after each
// Retry.
func (c *Core) Submit(now time.Duration, request Request) {
	c.advance(now)
	c.requests[request.ID] = &requestState{
		request: request,
	}
	if c.closed {
		c.refuse(request.ID, qlcode.Stopping, 0, "")
		return
	}
	if request.Key != "" && !request.Repeatable {
		c.proposer.Claim(c.now, request.ID, qlclaim.Key(request.Customer, request.Key), request.BodyHash, request.ExternalID)
	} else {
		c.enqueue(c.requests[request.ID], false)
	}
	c.processPending()
}

func (c *Core) enqueue(state *requestState, retry bool) {
	request := state.request
	customer := c.configuration.Customer(request.Customer)
	if customer == nil {
		c.refuse(request.ID, qlcode.UnknownKey, 0, "")
		return
	}
	if !c.hasUpstream(request.Pool) {
		c.refuse(request.ID, qlcode.NoUpstream, time.Second, "")
		return
	}
	if state.deadline == 0 {
		state.deadline = c.now + customer.MaxWait()
	}
	c.entry.Submit(c.now, qlentry.Request{
		ID:             request.ID,
		Customer:       request.Customer,
		Pool:           request.Pool,
		CostHint:       request.CostHint,
		Deadline:       state.deadline,
		MaxQueueLength: customer.QueueLength(),
		Retry:          retry,
	})
}

func (c *Core) hasUpstream(name string) bool {
	pool := c.configuration.Pool(name)
	if pool == nil {
		return false
	}
	for _, upstream := range pool.Upstreams() {
		if !upstream.Leaving && !c.leavingVMs[upstream.ID] {
			return true
		}
	}
	return false
}

func (c *Core) claimDecided(id uint64, result qlclaim.Result, holder string) {
	state := c.requests[id]
	if state == nil {
		c.proposer.Release(id)
		return
	}
	switch result {
	case qlclaim.Claimed:
		c.enqueue(state, false)
	case qlclaim.Duplicate:
		c.refuse(id, qlcode.DuplicateKey, 0, holder)
	case qlclaim.DuplicateMismatch:
		c.refuse(id, qlcode.KeyBodyMismatch, 0, holder)
	case qlclaim.Unavailable:
		c.refuse(id, qlcode.ClaimUnavailable, time.Second, "")
	}
}

func (c *Core) start(id uint64, assignment qlentry.Assignment) {
	state := c.requests[id]
	if state == nil {
		c.entry.Finish(c.now, id, 0, qldispatch.Declined)
		return
	}
	if state.request.Key != "" && !state.request.Repeatable && !c.proposer.Valid(c.now, id) {
		c.entry.Finish(c.now, id, 0, qldispatch.Declined)
		c.refuse(id, qlcode.ClaimUnavailable, time.Second, "")
		return
	}
	state.starts++
	c.config.Start(id, assignment)
}

// ClaimValidUntil returns the time until which the request's claim keeps a
// second request with the same key from being sent; ok is false for a request
// that needs no claim.
func (c *Core) ClaimValidUntil(id uint64) (until time.Duration, ok bool) {
	state := c.requests[id]
	if state == nil || state.request.Key == "" || state.request.Repeatable {
		return 0, false
	}
	return c.proposer.ValidUntil(id), true
}

func (c *Core) refuseWaiting(id uint64, code qlcode.Code, retryAfter time.Duration) {
	c.refuse(id, code, retryAfter, "")
}

func (c *Core) refuse(id uint64, code qlcode.Code, retryAfter time.Duration, holder string) {
	if c.requests[id] == nil {
		return
	}
	delete(c.requests, id)
	c.proposer.Release(id)
	c.config.Refuse(id, Refusal{
		code:       code,
		retryAfter: retryAfter,
		holder:     holder,
	})
}

// Cancel refuses a waiting request whose caller has left.
func (c *Core) Cancel(now time.Duration, id uint64) {
	c.advance(now)
	if c.requests[id] == nil {
		return
	}
	c.entry.Cancel(c.now, id)
	c.refuse(id, qlcode.CallerLeft, 0, "")
	c.processPending()
}

// Progress records the cost of an active request so far.
func (c *Core) Progress(now time.Duration, id uint64, cost float64) {
	c.advance(now)
	c.entry.Progress(id, cost)
}

// Finish ends a started request with its actual cost. If it was not sent
// (outcome Declined or Unreached), its claim is released; otherwise the claim
// stays.
func (c *Core) Finish(now time.Duration, id uint64, cost float64, outcome qldispatch.Outcome) {
	c.advance(now)
	c.entry.Finish(c.now, id, cost, outcome)
	delete(c.requests, id)
	if outcome == qldispatch.Declined || outcome == qldispatch.Unreached {
		c.proposer.Release(id)
	} else {
		c.proposer.Finish(id)
	}
	c.processPending()
}

// Retry returns a started request to the front of its queue. The request must
// either certainly not have been sent, or be repeatable. Config.Refuse ends it
// if the customer's retry budget is used up.
func (c *Core) Retry(now time.Duration, id uint64, outcome qldispatch.Outcome) {
	c.advance(now)
	state := c.requests[id]
	if state == nil {
		return
	}
	notSent := outcome == qldispatch.Declined || outcome == qldispatch.Unreached
	c.config.Monitor.Check(notSent || state.request.Repeatable, qlinvariant.UnrepeatableSentTwice, state.request.ExternalID, state.request.Pool)
	c.entry.Finish(c.now, id, 0, outcome)
	c.enqueue(state, true)
	c.processPending()
}
