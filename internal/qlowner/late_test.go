package qlowner

import (
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlengine"
)

const (
	_testFirstEventAfter = 60 * time.Millisecond
	_testEndAfter        = 200 * time.Millisecond
	// _testLag is the scheduling lag of the lagging router.
	_testLag = 800 * time.Millisecond
	// _testRequestInterval is the time between a router's requests. It makes for a
	// small part of the prefill capacity of the engines.
	_testRequestInterval = 20 * time.Millisecond
)

// trafficSource sends requests to a router and reports their events to it, delayed
// by a scheduling lag.
type trafficSource struct {
	network     *network
	router      int
	lag         time.Duration
	events      map[time.Duration][]func()
	lastRequest uint64
}

func newTrafficSource(n *network, router int, lag time.Duration) *trafficSource {
	return &trafficSource{
		network: n,
		router:  router,
		lag:     lag,
		events:  make(map[time.Duration][]func()),
	}
}

// step reports the events that are due and, every _testRequestInterval, sends
// another request.
func (s *trafficSource) step() {
	now := s.network.now
	core := s.network.cores[s.router]
	core.SetLag(s.lag)
	for _, event := range s.events[now] {
		event()
	}
	delete(s.events, now)
	if now%_testRequestInterval != 0 {
		return
	}
	s.lastRequest++
	request := s.lastRequest
	s.network.ask(s.router, request)
	s.events[now+_testFirstEventAfter+s.lag] = append(s.events[now+_testFirstEventAfter+s.lag], func() { core.FirstEvent(now+_testFirstEventAfter+s.lag, request, 0) })
	s.events[now+_testEndAfter+s.lag] = append(s.events[now+_testEndAfter+s.lag], func() {
		core.End(now+_testEndAfter+s.lag, request, qlengine.Completed)
	})
}

// admittedFraction returns the fraction of requests placed on an engine among those
// with a number above after.
func (s *trafficSource) admittedFraction(after uint64) float64 {
	placed, total := 0.0, 0.0
	for request, decision := range s.network.decisions[s.network.ids[s.router]] {
		if request <= after {
			continue
		}
		total++
		if decision.Engine != "" {
			placed++
		}
	}
	return placed / total
}

// TestLaggingRouterDoesNotMakeEnginesLookSlow runs one router with a scheduling lag
// of 0.8 s beside one without. Were the events that it reports taken at their
// delayed times, engines would look overdue and the owner would refuse requests of
// all routers.
func TestLaggingRouterDoesNotMakeEnginesLookSlow(t *testing.T) {
	n := newNetwork(t, 3)
	owner := n.owner()
	lagging, timely := newTrafficSource(n, (owner+1)%3, _testLag), newTrafficSource(n, (owner+2)%3, 0)
	simulate := func(span time.Duration, sources ...*trafficSource) {
		for end := n.now + span; n.now < end; {
			for _, source := range sources {
				source.step()
			}
			n.advance(_timeStep)
		}
	}
	simulate(2*time.Second, timely)
	before := timely.lastRequest
	if got := timely.admittedFraction(0); got < 0.95 {
		t.Fatalf("admitted before the other router lags: got %.2f, want 0.95 at least", got)
	}
	simulate(5*time.Second, timely, lagging)
	if got := timely.admittedFraction(before); got < 0.95 {
		t.Errorf("admitted beside a lagging router: got %.2f, want 0.95 at least", got)
	}
	state := n.cores[owner].Placer().State(n.now)[0]
	for _, engine := range state.Engines {
		if engine.Overdue > 0 {
			t.Errorf("engine %s: got overdue by %v, want 0: it answered all requests in time", engine.ID, engine.Overdue)
		}
	}
	if limit := 1.31; state.LatencyCorrection > limit {
		t.Errorf("latency correction factor: got %.2f, want %.2f at most, about its initial value", state.LatencyCorrection, limit)
	}
}

// TestLaggingRouterKeepsItsOwner has a router read its owner's answers 0.4 s late.
// The delay is its own, so it must not penalize the owner and turn to another.
func TestLaggingRouterKeepsItsOwner(t *testing.T) {
	n := newNetwork(t, 3)
	owner := n.owner()
	asker := (owner + 1) % 3
	const lag = 400 * time.Millisecond
	for request := range uint64(10) {
		n.ask(asker, 2*request)
		n.ask(asker, 2*request+1)
		// The router stalls, and its timers run before it reads the packets that
		// arrived meanwhile.
		n.cores[asker].SetLag(lag)
		n.cores[asker].SetLag(time.Millisecond)
		n.cores[asker].Expire(n.now + lag)
		n.ask(asker, 1000+request)
		n.advance(_testRequestInterval)
	}
	if got, want := n.cores[asker].Owners()[_groupKeyPrefix], n.ids[owner]; got != want {
		t.Errorf("owner that the lagging router asks: got %s, want %s", got, want)
	}
	for request := range uint64(10) {
		if got, want := n.decisions[n.ids[asker]][1000+request].Decider, n.ids[owner]; got != want {
			t.Errorf("router that decided a request after a stall: got %s, want %s", got, want)
		}
	}
}

// TestLateOwnerKnowsWhatOthersPlacedMeanwhile guards against an owner that answers late and
// then forgets the requests that their routers have placed by themselves until then, so that
// it admits more than the engines can begin.
func TestLateOwnerKnowsWhatOthersPlacedMeanwhile(t *testing.T) {
	const requests = 8
	n := newNetwork(t, 5)
	owner := n.owner()
	n.lag = func(router int) time.Duration {
		if router == owner {
			return 2 * _answerTimeout
		}
		return 0
	}
	for request := range uint64(requests) {
		for i := range n.cores {
			if i != owner {
				n.ask(i, request+1)
			}
		}
		n.advance(5 * time.Millisecond)
	}
	n.advance(10 * _answerTimeout)
	placed := make(map[string]int)
	for i, id := range n.ids {
		for _, decision := range n.decisions[id] {
			if i != owner && decision.Engine != "" {
				placed[decision.Engine]++
			}
		}
	}
	for _, engine := range n.cores[owner].Placer().State(n.now)[0].Engines {
		if got, want := engine.ActiveRequests, placed[engine.ID]; got != want {
			t.Errorf("engine %s: active requests that the owner knows of: got %d, want %d", engine.ID, got, want)
		}
	}
}

// TestLateRouterIsNotTakenForDead guards against membership that declares a router dead that is
// late, as it learns too late that it is suspected.
func TestLateRouterIsNotTakenForDead(t *testing.T) {
	const (
		late     = 3
		lag      = 400 * time.Millisecond
		span     = 20 * time.Second
		interval = 10 * time.Millisecond
	)
	for seed := range uint64(10) {
		n := newSeededNetwork(t, 7, seed)
		n.lag = func(router int) time.Duration {
			if router == late {
				return lag
			}
			return 0
		}
		// byRouter is for how long each other router took the late one for dead.
		byRouter := map[int]time.Duration{}
		for end := n.now + span; n.now < end; {
			n.advance(interval)
			for i, core := range n.cores {
				for _, member := range core.Members() {
					if i != late && member.ID == n.ids[late] && member.State == "dead" {
						byRouter[i] += interval
					}
				}
			}
		}
		if len(byRouter) > 0 {
			t.Errorf("seed %d: a router that answers %v late was taken for dead, by router: got %v, want none", seed, lag, byRouter)
		}
	}
}
