// Package qlwarmup decides which replicas are cold and how often a cold one may get a
// request.
//
// A replica is cold for a while after its start, and may become cold again. It then crashes
// if it gets more than a bound of requests in any second, from all routers together.
// Routers don't always reach each other, so each decides from what it knows: the owner of a
// group of engines has a rate for the whole fleet, any other router a share of what the
// bound leaves beside two owners. After the warm-up, the allowed rate grows in steps.
//
// The package handles reports about replicas (Report), the rates that follow from the
// settings (Limit), this router's part of them (Fleet, Share) and the time since the last
// request to each replica (Pace). It performs no I/O and has no clock. Its types aren't safe
// for concurrent use.
//
// # Usage
//
//	window := report.Window(service.WarmUp().Duration)
//	share := limit.OwnerShare(fleet)
//	if pace.Allows(now, window, share, offset) { send(); pace.Record(now) }
package qlwarmup

import (
	"math"
	"time"
)

const (
	// _absurdFactor times the configured duration is beyond any report in earnest.
	_absurdFactor = 10
	// _ownerFraction is an owner's part of the bound. Two routers may take themselves for
	// the owner for a moment, and the rest is for routers that decide alone.
	_ownerFraction = 0.4
	// _unalignedRequests is by how much the requests in a second may exceed the rate, since
	// that second needn't begin with a request.
	_unalignedRequests = 1
	// _rampStep is the time after which the allowed rate grows by _rampFactor, beginning
	// with the end of the warm-up; after _rampSteps there is no limit. Five times the rate
	// of a cold engine is beyond what a warm one serves.
	_rampStep   = 500 * time.Millisecond
	_rampFactor = 1.5
	_rampSteps  = 4
	// _ungatedPart is the part of a rate from which a router needn't wait for its turn: two
	// such routers at most share the rate.
	_ungatedPart = 0.5
	// _termGap is the time without decisions after which a router counts as a new owner:
	// another one may have decided meanwhile. It is also how long a new owner grants
	// nothing, since the bound covers the grants of the last second, which it doesn't know.
	_termGap = time.Second
	// _askedMemory is how long a router that has asked is missed, several times the time for
	// which routers turn away from an owner. The part that still asks is counted each
	// _askingInterval.
	_askedMemory    = 10 * time.Second
	_askingInterval = 20 * time.Millisecond
)

// Report is what a router has learned about the warm-up of a replica.
type Report struct {
	// StartMillis is when the replica started, in milliseconds of Unix time.
	StartMillis int64
	// Left is how much longer the replica stays cold. Given is false if it states no time.
	Left  time.Duration
	Given bool
	// Fault is why the stated time can't be used, or nil.
	Fault error
	// LearnedAt is when this router learned the report, on its monotonic clock, and
	// LearnedMillis the same in milliseconds of Unix time.
	LearnedAt     time.Duration
	LearnedMillis int64
	// Restarted is set if an earlier start of the replica was known.
	Restarted bool
}

// Follow returns the report to use after an earlier one about the same replica. repeated is
// set if it is the same report, read again.
func (r Report) Follow(earlier Report, repeated bool) Report {
	switch {
	case repeated:
		return earlier
	case r.StartMillis != earlier.StartMillis:
		r.Restarted = true
		return r
	case !r.Given:
		return earlier
	}
	r.Restarted = earlier.Restarted
	return r
}

// IsAbsurd reports whether the stated time is too long to be true.
func (r Report) IsAbsurd(warmUp time.Duration) bool {
	return r.Given && r.Fault == nil && r.Left > _absurdFactor*warmUp
}

// Window is the time from Since to Until in which a replica is cold; the zero window if it
// isn't.
type Window struct {
	Since time.Duration
	Until time.Duration
}

// Window returns the time in which the replica is cold. warmUp is the configured duration; 0
// for services without a warm-up.
//
// A stated time counts down on this router's clock from when it was learned. If it is
// missing or unusable, the configured duration counts from the start; the clock of another
// VM is used only for replicas that this router hasn't seen starting.
func (r Report) Window(warmUp time.Duration) Window {
	if warmUp <= 0 {
		return Window{}
	}
	left := warmUp
	switch {
	case r.Given && r.Fault == nil && !r.IsAbsurd(warmUp):
		left = r.Left
	case !r.Restarted:
		// Compared in milliseconds, since the difference may exceed a Duration.
		remaining := r.StartMillis + warmUp.Milliseconds() - r.LearnedMillis
		left = time.Duration(min(max(remaining, 0), warmUp.Milliseconds())) * time.Millisecond
	}
	if left <= 0 {
		return Window{}
	}
	return Window{
		Since: r.LearnedAt,
		Until: r.LearnedAt + left,
	}
}

// IsCold reports whether the replica is cold.
func (w Window) IsCold(now time.Duration) bool {
	return now < w.Until
}

// IsLimited reports whether the replica is cold or gets its full traffic back in steps.
func (w Window) IsLimited(now time.Duration) bool {
	return w.Until > 0 && now < w.Until+_rampSteps*_rampStep
}

// growth returns the factor on the rate of a cold replica.
func (w Window) growth(now time.Duration) float64 {
	if w.IsCold(now) {
		return 1
	}
	return math.Pow(_rampFactor, float64((now-w.Until)/_rampStep+1))
}

// Limit is the limit on the requests to a cold replica, from all routers together.
type Limit struct {
	// PerSecond is the rate that the service document states; 0 for no limit.
	PerSecond float64
	// Overage and Tolerance are the settings of the bound, PerSecond x Overage + Tolerance
	// in any one second. Both are 0 if the settings lack them.
	Overage   float64
	Tolerance float64
}

// hasBound reports whether the settings state the bound.
func (l Limit) hasBound() bool {
	return l.Overage > 0
}

// OwnerRate returns the rate that an owner may grant for a cold replica.
func (l Limit) OwnerRate() float64 {
	if !l.hasBound() {
		return l.PerSecond
	}
	return min(l.PerSecond, _ownerFraction*(l.PerSecond*l.Overage+l.Tolerance))
}

// AloneRate returns the rate of all routers together that decide without an owner: what two
// owners leave of the bound. It is 0 if the settings don't state the bound.
func (l Limit) AloneRate() float64 {
	if !l.hasBound() {
		return 0
	}
	owners := 2 * (l.OwnerRate() + _unalignedRequests)
	return max(l.PerSecond*l.Overage+l.Tolerance-owners-_unalignedRequests, 0)
}

// Fleet is what a router knows of the fleet.
type Fleet struct {
	// Known is the number of routers that this one knows or has known, and Live the number
	// of those that it reaches; both include this one. Known is 0 as long as it should know
	// others and doesn't.
	Known int `json:"known"`
	Live  int `json:"heard"`
	// Index is this router's place in the order of the known ones.
	Index int `json:"index"`
}

// Share is a router's part of a rate.
type Share struct {
	// total is the rate of all routers together, and part this router's fraction of it.
	total float64
	part  float64
	// turn is when this router's turn comes, as a fraction of the time between two.
	turn float64
}

// OwnerShare returns the share of an owner. Only one that reaches most routers, and that most
// of those which asked it lately still ask, has the whole rate: the others may have an owner,
// too. asking is that part (Term.Asking).
func (l Limit) OwnerShare(fleet Fleet, asking float64) Share {
	if fleet.Known == 0 {
		return Share{}
	}
	share := fleet.share(l.OwnerRate(), fleet.Live)
	if share.part = min(share.part, asking); share.part > _ungatedPart {
		share.part = 1
	}
	return share
}

// AloneShare returns the share of a router that decides because no owner answers.
func (l Limit) AloneShare(fleet Fleet) Share {
	return fleet.share(l.AloneRate(), 1)
}

// PlainShare returns the share of a router for a service that has no owner.
func (l Limit) PlainShare(fleet Fleet) Share {
	return fleet.share(l.OwnerRate(), 1)
}

func (f Fleet) share(rate float64, routers int) Share {
	if f.Known == 0 {
		return Share{}
	}
	return Share{
		total: rate,
		part:  float64(routers) / float64(f.Known),
		turn:  float64(f.Index) / float64(f.Known),
	}
}

// Pace spaces the requests to one replica. The zero Pace has seen none.
type Pace struct {
	last time.Duration
	used bool
}

// Record records a request to the replica.
func (p *Pace) Record(now time.Duration) {
	p.last, p.used = now, true
}

// Allows reports whether the replica may get a request now. offset, from 0 to 1, differs
// between replicas, so that a router's turns for them don't come together.
//
// A router with a small part of the rate sends only in its turn, once. Without turns, all
// routers that lose their owner would send their first request at once.
func (p *Pace) Allows(now time.Duration, window Window, share Share, offset float64) bool {
	if !window.IsLimited(now) {
		return true
	}
	rate := share.total * share.part * window.growth(now)
	if rate <= 0 {
		return false
	}
	interval := seconds(1 / rate)
	if share.part >= _ungatedPart {
		return !p.used || now-p.last >= interval
	}
	if p.used && now-p.last < interval/2 {
		return false
	}
	position := (now-window.Since).Seconds()/interval.Seconds() - share.turn - offset
	return position-math.Floor(position) < share.part
}

// seconds returns a duration of up to an hour.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, time.Hour.Seconds()) * float64(time.Second))
}

// Term is the time for which a router decides as the owner.
type Term struct {
	since time.Duration
	last  time.Duration
	// askedAt holds when each router last asked, asking the part of them that asked within
	// _termGap, counted at countedAt.
	askedAt   map[string]time.Duration
	asking    float64
	countedAt time.Duration
}

// Decide records that this router decides as the owner on a request of another one or its
// own, and reports whether it may grant requests to cold replicas.
func (t *Term) Decide(now time.Duration, router string) bool {
	if t.askedAt == nil {
		t.askedAt = make(map[string]time.Duration)
	}
	if len(t.askedAt) == 0 || now-t.last >= _termGap {
		t.since = now
	}
	t.last = now
	t.askedAt[router] = now
	return now-t.since >= _termGap
}

// Asking returns the part of the routers which asked lately that still ask. When routers
// turn to another owner for lost answers, the earlier one would otherwise go on granting at
// the whole rate for its own requests: several changes in a row gave 24 requests a second
// where 20 were allowed.
func (t *Term) Asking(now time.Duration) float64 {
	if t.asking > 0 && now-t.countedAt < _askingInterval {
		return t.asking
	}
	t.countedAt = now
	recent := 0
	for router, at := range t.askedAt {
		switch {
		case now-at < _termGap:
			recent++
		case now-at >= _askedMemory:
			delete(t.askedAt, router)
		}
	}
	t.asking = float64(recent) / float64(max(len(t.askedAt), 1))
	return t.asking
}
