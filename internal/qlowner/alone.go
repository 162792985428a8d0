package qlowner

import (
	"math"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlplace"
)

// A router whose owner does not answer knows next to nothing of the engines' load. What it
// does know is how much of its callers' work the engines took lately. It goes on with that,
// and so do the others, so that all of them together place what the engines can take, however
// many they are and however much is asked of them.

const (
	// _placedDecay is the time constant over which placed work is averaged.
	_placedDecay = 2 * time.Second
	// _aloneBurst is for how long of the permitted rate work may be placed alone at once.
	_aloneBurst = 500 * time.Millisecond
	// _aloneMargin times the average rate is permitted in all: requests of customers below
	// their share come at random, and those of others are bounded by customer.
	_aloneMargin = 1.5
	// _alonePart of what is placed alone counts in the average rate, so that the rate falls
	// the longer no owner answers, and does not follow from itself.
	_alonePart = 0.5
	// _aboveShareHold is how long a customer counts as above its share after an owner has
	// refused a request of it for that: the window over which shares are computed.
	_aboveShareHold = 4 * time.Second
	// Callers of requests that are refused without the owner are asked to return after
	// _aloneRetryAfter and up to _aloneRetryJitter: it is several times what an owner needs
	// to answer again.
	_aloneRetryAfter  = 200 * time.Millisecond
	_aloneRetryJitter = 100 * time.Millisecond
	// _forgottenRate is the rate of placed work below which a customer is forgotten, in cost
	// per second.
	_forgottenRate = 1
)

// placedRate follows the work that is placed, and how much of it may be placed alone.
type placedRate struct {
	// rate is the average cost placed per second, as of updatedAt.
	rate float64
	// allowance is the cost that may be placed alone at once.
	allowance float64
	updatedAt time.Duration
}

// advance updates the rate and the allowance, which grows by the rate times the margin, but
// by no less than minRate.
func (r *placedRate) advance(now time.Duration, margin, minRate float64) {
	elapsed := (now - r.updatedAt).Seconds()
	r.updatedAt = now
	permitted := max(margin*r.rate, minRate)
	r.allowance = min(r.allowance+permitted*elapsed, permitted*_aloneBurst.Seconds())
	r.rate *= math.Exp(-elapsed / _placedDecay.Seconds())
}

// place records that work was placed, of which a part counts in the rate.
func (r *placedRate) place(cost, part float64) {
	r.rate += part * cost / _placedDecay.Seconds()
	r.allowance = max(r.allowance, 0) - cost
}

// customerRate is the placed work of one customer.
type customerRate struct {
	placedRate
	// aboveShareUntil is until when the customer counts as above its share.
	aboveShareUntil time.Duration
}

// aloneLimit bounds what a router places while the owner of the engines does not answer: in
// all what was placed lately, and of a customer above its share what was placed of that one,
// but no less than an even part of what falls to this router.
type aloneLimit struct {
	total     placedRate
	customers map[string]*customerRate
}

func newAloneLimit() aloneLimit {
	return aloneLimit{
		customers: make(map[string]*customerRate),
	}
}

// customer returns a customer's rate as of now. Whatever was placed of it, an even part of
// minRate among the customers of this router is permitted.
func (l *aloneLimit) customer(now time.Duration, name string, minRate float64) *customerRate {
	r := l.customers[name]
	if r == nil {
		r = &customerRate{}
		r.updatedAt = now
		l.customers[name] = r
	}
	r.advance(now, 1, minRate/float64(len(l.customers)))
	return r
}

// admit reports whether a request may be placed without the owner. If not, aboveShare tells
// whether that is since its customer is above its share. minRate is a rate that is permitted
// in any case, in cost per second.
func (l *aloneLimit) admit(now time.Duration, customer string, minRate float64) (ok, aboveShare bool) {
	l.total.advance(now, _aloneMargin, minRate)
	r := l.customer(now, customer, minRate)
	if now < r.aboveShareUntil && r.allowance <= 0 {
		// Nobody says when that ends while the owner does not answer.
		r.aboveShareUntil = now + _aboveShareHold
		return false, true
	}
	return l.total.allowance > 0, false
}

// record records the decision on a request, which is an owner's if byOwner is set.
func (l *aloneLimit) record(now time.Duration, request *qlplace.Request, decision *qlplace.Decision, byOwner bool, minRate float64) {
	r := l.customer(now, request.Customer, minRate)
	if byOwner && decision.Reason == qlplace.OverShare {
		r.aboveShareUntil = now + _aboveShareHold
	}
	if decision.Engine != "" {
		part := 1.0
		if !byOwner {
			part = _alonePart
		}
		cost := request.Cost()
		r.place(cost, part)
		l.total.advance(now, _aloneMargin, minRate)
		l.total.place(cost, part)
	}
}

// expire forgets customers of which nothing was placed lately.
func (l *aloneLimit) expire(now time.Duration, minRate float64) {
	for name := range l.customers {
		r := l.customer(now, name, minRate)
		if r.rate < _forgottenRate && now >= r.aboveShareUntil {
			delete(l.customers, name)
		}
	}
}

// minAloneRate returns the part of the engines' throughput that falls to this router, in cost
// per second.
func (c *Core) minAloneRate() float64 {
	return c.placer.Capacity() / float64(max(len(c.live), 1))
}

// admitAlone reports whether this router may place a request although another one owns the
// engines. If not, it returns the refusal.
func (c *Core) admitAlone(now time.Duration, request *qlplace.Request) (refusal qlplace.Decision, ok bool) {
	if request.AlreadyAdmitted {
		return refusal, true
	}
	ok, aboveShare := c.alone.admit(now, request.Customer, c.minAloneRate())
	if ok {
		return refusal, true
	}
	c.stats.RefusedAlone++
	refusal = qlplace.Decision{
		Reason:     qlplace.Late,
		RetryAfter: _aloneRetryAfter + time.Duration(c.config.Random.Int64N(int64(_aloneRetryJitter))),
		Decider:    c.config.Self,
	}
	if aboveShare {
		refusal.Reason = qlplace.OverShare
	}
	return refusal, false
}
