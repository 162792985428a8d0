// Package qlbalance chooses the upstream of a plain service.
//
// It answers the load of short calls on few slots, some of which fail: the
// upstream with the least load is taken, own calls and the load that answers
// report being counted, and failures weigh as load. Calls that may not be
// repeated keep off upstreams that failed lately. No upstream is ever left out
// altogether, so a fault of all does not bury the service.
//
// # Usage
//
//	balancer := qlbalance.New(qlbalance.Config{Random: random})
//	id, ok := balancer.Pick(now, qlbalance.Choice{Candidates: upstreams, Zone: "z1"})
//	balancer.Begin(id)
//	balancer.End(now, id, qlbalance.Answered)
package qlbalance

import (
	"math/rand/v2"
	"time"
)

const (
	// _faultWeight is the weight of one call in the rate of failures.
	_faultWeight = 0.25
	// _faultMemory is after how long a rate of failures is forgotten.
	_faultMemory = 3 * time.Second
	// _faultLoad is what a rate of failures of 1 counts as, in parts of an
	// upstream's slots; _strictFaultLoad is the same for calls that may not
	// be repeated.
	_faultLoad       = 2.0
	_strictFaultLoad = 6.0
	// _unreachedFault is the rate set by an upstream that takes no connection.
	_unreachedFault = 1.0
	// _reportMemory is how long a reported load counts.
	_reportMemory = 500 * time.Millisecond
	// _crossLoad is what another zone counts as: a call there is later and
	// its bytes are priced.
	_crossLoad = 0.15
	// _jitterLoad breaks ties differently each time.
	_jitterLoad = 0.05
)

// Upstream is a candidate.
type Upstream struct {
	ID    string
	Zone  string
	Slots int
}

// Criteria is what is to be chosen from.
type Criteria struct {
	Candidates []Upstream
	Excluded   []string
	Zone       string
	// Strict calls may not be repeated.
	NotRepeatable bool
}

// Outcome says how a call ended.
type Outcome int

// The outcomes.
const (
	Answered Outcome = iota + 1
	// Failed: the upstream answered with a failure, broke off or hung.
	Failed
	// Shed: it was full.
	Overloaded
	// Unreached: it took no connection.
	ConnectFailed
	// Left: the caller left.
	CallerLeft
)

type state struct {
	calls      int
	faults     float64
	faultsAt   time.Duration
	foreign    int
	reportedAt time.Duration
}

// Config configures a Balancer.
type Config struct {
	Random *rand.Rand
}

// Balancer knows the load of upstreams. It is not safe for several
// goroutines.
type Balancer struct {
	config Config
	states map[string]*state
}

// New returns a balancer that knows no upstream.
func New(config Config) *Balancer {
	return &Balancer{
		config: config,
		states: make(map[string]*state),
	}
}

func (b *Balancer) state(id string) *state {
	s := b.states[id]
	if s == nil {
		s = &state{}
		b.states[id] = s
	}
	return s
}

// Pick returns the upstream for a call; ok is false without a candidate.
func (b *Balancer) Pick(now time.Duration, choice Criteria) (id string, ok bool) {
	lowest := 0.0
	for _, candidate := range choice.Candidates {
		if contains(choice.Excluded, candidate.ID) {
			continue
		}
		load := b.load(now, candidate, &choice)
		if !ok || load < lowest {
			id, lowest, ok = candidate.ID, load, true
		}
	}
	return id, ok
}

func contains(ids []string, id string) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}
	return false
}

func (b *Balancer) load(now time.Duration, candidate Upstream, choice *Criteria) float64 {
	s := b.state(candidate.ID)
	running := s.calls
	if now-s.reportedAt < _reportMemory {
		running += s.foreign
	}
	load := float64(running) / float64(max(candidate.Slots, 1))
	weight := _faultLoad
	if choice.NotRepeatable {
		weight = _strictFaultLoad
	}
	load += weight * s.rate(now)
	if candidate.Zone != choice.Zone {
		load += _crossLoad
	}
	return load + _jitterLoad*b.config.Random.Float64()
}

func (s *state) rate(now time.Duration) float64 {
	fade := min(float64(now-s.faultsAt)/float64(_faultMemory), 1)
	return s.faults * (1 - fade)
}

// Begin counts a call.
func (b *Balancer) Begin(id string) {
	b.state(id).calls++
}

// End takes a call's end.
func (b *Balancer) End(now time.Duration, id string, outcome Outcome) {
	s := b.state(id)
	s.calls--
	rate := s.rate(now)
	switch outcome {
	case CallerLeft:
		return
	case ConnectFailed:
		rate = _unreachedFault
	case Answered:
		rate -= _faultWeight * rate
	case Failed, Overloaded:
		rate += _faultWeight * (1 - rate)
	}
	s.faults = rate
	s.faultsAt = now
}

// RecordReportedLoad takes the load that an answer told: running and waiting calls.
func (b *Balancer) RecordReportedLoad(now time.Duration, id string, running, waiting int) {
	s := b.state(id)
	s.foreign = max(running+waiting-s.calls, 0)
	s.reportedAt = now
}

// Prune forgets upstreams that are not listed any more.
func (b *Balancer) Prune(listed func(id string) bool) {
	for id, s := range b.states {
		if s.calls == 0 && !listed(id) {
			delete(b.states, id)
		}
	}
}
