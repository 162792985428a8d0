// Package qlbalance chooses the upstream for each call to a plain service.
//
// It is made for many short calls to upstreams with few slots, some of which fail. It
// chooses the upstream with the lowest load, which consists of this router's own
// active calls, the calls of other routers as reported by the upstream's answers, and
// a penalty for recent failures. It is scaled up for an upstream that reports to be slow
// at the moment. The penalty is higher for calls that may not be
// repeated. No upstream is ejected completely, so that the service stays available
// when all upstreams fail.
//
// # Usage
//
//	balancer := qlbalance.New(qlbalance.Config{Random: random})
//	id, ok := balancer.Pick(now, qlbalance.Criteria{Candidates: upstreams, Zone: "z1"})
//	balancer.Begin(id)
//	balancer.End(now, id, qlbalance.Answered)
package qlbalance

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlslowness"
)

const (
	// _failureWeight is the weight of the latest call in the failure rate, an
	// exponentially weighted moving average.
	_failureWeight = 0.25
	// _failureExpiry is the time in which a failure rate decays linearly to 0 if no
	// call ends.
	_failureExpiry = 3 * time.Second
	// _failurePenalty is the load added for a failure rate of 1, as a multiple of
	// the upstream's slots. _notRepeatableFailurePenalty replaces it for calls that
	// may not be repeated.
	_failurePenalty              = 2.0
	_notRepeatableFailurePenalty = 6.0
	// _connectFailureRate is the failure rate after an upstream did not accept a
	// connection.
	_connectFailureRate = 1.0
	// _reportExpiry is how long a load that an upstream reported is taken into
	// account.
	_reportExpiry = 500 * time.Millisecond
	// _crossZonePenalty is the load added for an upstream in another zone, as a
	// multiple of its slots: calls to it have a higher latency, and cross-zone
	// transfer is charged for.
	_crossZonePenalty = 0.15
	// _maxTieBreakJitter is the upper limit of the random load that is added so that
	// ties are broken differently each time.
	_maxTieBreakJitter = 0.05
)

// Upstream is a candidate for a call. Slots is the number of calls that it runs at a
// time.
type Upstream struct {
	ID    string
	Zone  string
	Slots int
}

// Criteria are the candidates for a call, and what matters for the choice among them.
type Criteria struct {
	Candidates []Upstream
	Excluded   []string
	Zone       string
	// NotRepeatable is set for a call that may not be repeated after a failure.
	NotRepeatable bool
}

// Outcome is how a call ended.
type Outcome int

// The outcomes of calls.
const (
	// Answered means that the upstream answered successfully.
	Answered Outcome = iota + 1
	// Failed means that the upstream answered with a failure, broke off its answer or
	// did not answer in time.
	Failed
	// Overloaded means that the upstream refused the call because it was full.
	Overloaded
	// ConnectFailed means that the upstream did not accept a connection.
	ConnectFailed
	// Abandoned means that the caller disconnected. It says nothing about the
	// upstream.
	Abandoned
)

type upstreamState struct {
	localCalls    int
	failureRate   float64
	failureRateAt time.Duration
	remoteCalls   int
	reportedAt    time.Duration
	paces         qlslowness.Reports
}

// Config configures a Balancer.
type Config struct {
	Random *rand.Rand
}

// Balancer tracks the load and the failure rates of upstreams. It is not safe for
// concurrent use.
type Balancer struct {
	config Config
	states map[string]*upstreamState
}

// New returns a balancer without any recorded load or failures.
func New(config Config) *Balancer {
	return &Balancer{
		config: config,
		states: make(map[string]*upstreamState),
	}
}

func (b *Balancer) state(id string) *upstreamState {
	s := b.states[id]
	if s == nil {
		s = &upstreamState{}
		b.states[id] = s
	}
	return s
}

// Pick returns the id of the upstream with the lowest load for a call. ok is false if
// there is no candidate that is not excluded.
func (b *Balancer) Pick(now time.Duration, criteria Criteria) (id string, ok bool) {
	lowest := 0.0
	for _, candidate := range criteria.Candidates {
		if contains(criteria.Excluded, candidate.ID) {
			continue
		}
		load := b.load(now, candidate, &criteria)
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

func (b *Balancer) load(now time.Duration, candidate Upstream, criteria *Criteria) float64 {
	s := b.state(candidate.ID)
	running := s.localCalls
	if now-s.reportedAt < _reportExpiry {
		running += s.remoteCalls
	}
	slots := float64(max(candidate.Slots, 1))
	load := float64(running)/slots + s.slowLoad(now, running)/slots
	penalty := _failurePenalty
	if criteria.NotRepeatable {
		penalty = _notRepeatableFailurePenalty
	}
	load += penalty * s.decayedFailureRate(now)
	if candidate.Zone != criteria.Zone {
		load += _crossZonePenalty
	}
	return load + _maxTieBreakJitter*b.config.Random.Float64()
}

// slowLoad returns the load that is added since the upstream is slow at the moment: the
// calls running and the one to be sent take longer. An upstream that is faster than usual
// is not preferred. All routers would otherwise send their calls to the one that reported
// to be fastest, and each learns of the others' calls only from answers to its own.
func (s *upstreamState) slowLoad(now time.Duration, running int) float64 {
	return max(s.paces.Factor(now)-1, 0) * float64(running+1)
}

func (s *upstreamState) decayedFailureRate(now time.Duration) float64 {
	decayed := min(float64(now-s.failureRateAt)/float64(_failureExpiry), 1)
	return s.failureRate * (1 - decayed)
}

// Begin records the start of a call to the upstream.
func (b *Balancer) Begin(id string) {
	b.state(id).localCalls++
}

// End records the end of a call to the upstream and updates its failure rate.
func (b *Balancer) End(now time.Duration, id string, outcome Outcome) {
	s := b.state(id)
	s.localCalls--
	rate := s.decayedFailureRate(now)
	switch outcome {
	case Abandoned:
		return
	case ConnectFailed:
		rate = _connectFailureRate
	case Answered:
		rate -= _failureWeight * rate
	case Failed, Overloaded:
		rate += _failureWeight * (1 - rate)
	}
	s.failureRate = rate
	s.failureRateAt = now
}

// RecordReportedLoad records the numbers of running and waiting calls that an
// upstream reported in an answer. Those beyond this router's own calls are attributed
// to other routers.
func (b *Balancer) RecordReportedLoad(now time.Duration, id string, running, waiting int) {
	s := b.state(id)
	s.remoteCalls = max(running+waiting-s.localCalls, 0)
	s.reportedAt = now
}

// RecordPace records how long work takes on an upstream now, which it reported in an
// answer: 1 is usual. It ignores 0, which means that nothing was reported.
func (b *Balancer) RecordPace(now time.Duration, id string, pace float64) {
	b.state(id).paces.Record(now, pace)
}

// PaceState is what an upstream has reported of its pace, for dumps. Factor is that by
// which the load is scaled if it is above 1.
type PaceState struct {
	Upstream string  `json:"upstream"`
	Latest   float64 `json:"latest"`
	Factor   float64 `json:"factor"`
}

// Paces returns the paces of the upstreams that have reported any, sorted by their ids.
func (b *Balancer) Paces(now time.Duration) []PaceState {
	var states []PaceState
	for id, s := range b.states {
		if s.paces.Latest() > 0 {
			states = append(states, PaceState{
				Upstream: id,
				Latest:   s.paces.Latest(),
				Factor:   s.paces.Factor(now),
			})
		}
	}
	slices.SortFunc(states, func(a, b PaceState) int { return strings.Compare(a.Upstream, b.Upstream) })
	return states
}

// Prune removes the state of upstreams that are not listed any more and have no active
// calls.
func (b *Balancer) Prune(listed func(id string) bool) {
	for id, s := range b.states {
		if s.localCalls == 0 && !listed(id) {
			delete(b.states, id)
		}
	}
}
