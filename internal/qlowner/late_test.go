package qlowner

import (
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlengine"
)

const (
	_testFirst = 60 * time.Millisecond
	_testEnd   = 200 * time.Millisecond
	// _testLag is that of the late router.
	_testLag = 800 * time.Millisecond
	// _testGap is the time between a router's requests: a small part of what
	// the engines can read.
	_testGap = 20 * time.Millisecond
)

// caller sends a router's requests and tells of their events, late by a lag.
type caller struct {
	network *network
	router  int
	lag     time.Duration
	events  map[time.Duration][]func()
	next    uint64
}

func newCaller(n *network, router int, lag time.Duration) *caller {
	return &caller{
		network: n,
		router:  router,
		lag:     lag,
		events:  make(map[time.Duration][]func()),
	}
}

// step does what is due and, every _testGap, asks for another request.
func (c *caller) step() {
	now := c.network.now
	core := c.network.cores[c.router]
	core.SetLag(c.lag)
	for _, event := range c.events[now] {
		event()
	}
	delete(c.events, now)
	if now%_testGap != 0 {
		return
	}
	c.next++
	request := c.next
	c.network.ask(c.router, request)
	c.events[now+_testFirst+c.lag] = append(c.events[now+_testFirst+c.lag], func() { core.FirstEvent(now+_testFirst+c.lag, request) })
	c.events[now+_testEnd+c.lag] = append(c.events[now+_testEnd+c.lag], func() {
		core.End(now+_testEnd+c.lag, request, qlengine.Completed)
	})
}

// admitted returns how many of the requests after the first ones got an
// engine.
func (c *caller) admitted(after uint64) float64 {
	got, all := 0.0, 0.0
	for request, verdict := range c.network.verdicts[c.network.ids[c.router]] {
		if request <= after {
			continue
		}
		all++
		if verdict.Engine != "" {
			got++
		}
	}
	return got / all
}

// TestLateRouterDoesNotMakeEnginesLookLate plays one router that handles its
// events 0.8 s late beside one that is in time.
func TestLateRouterDoesNotMakeEnginesLookLate(t *testing.T) {
	n := newNetwork(t, 3)
	owner := n.owner()
	late, timely := newCaller(n, (owner+1)%3, _testLag), newCaller(n, (owner+2)%3, 0)
	play := func(span time.Duration, callers ...*caller) {
		for end := n.now + span; n.now < end; {
			for _, c := range callers {
				c.step()
			}
			n.run(_step)
		}
	}
	play(2*time.Second, timely)
	before := timely.next
	if got := timely.admitted(0); got < 0.95 {
		t.Fatalf("admitted before the other router is late: got %.2f, want 0.95 at least", got)
	}
	play(5*time.Second, timely, late)
	if got := timely.admitted(before); got < 0.95 {
		t.Errorf("admitted beside a late router: got %.2f, want 0.95 at least", got)
	}
	state := n.cores[owner].Placer().State(n.now)[0]
	for _, engine := range state.Engines {
		if engine.Overdue > 0 {
			t.Errorf("engine %s: got overdue by %v, want 0: it answered all in time", engine.ID, engine.Overdue)
		}
	}
	if most := 1.31; state.LatencyCorrection > most {
		t.Errorf("margin: got %.2f, want %.2f at most, as it began", state.LatencyCorrection, most)
	}
}

// TestLateRouterKeepsItsOwner has a router read its owner's answers 0.4 s late.
func TestLateRouterKeepsItsOwner(t *testing.T) {
	n := newNetwork(t, 3)
	owner := n.owner()
	asker := (owner + 1) % 3
	const lag = 400 * time.Millisecond
	for request := range uint64(10) {
		n.ask(asker, 2*request)
		n.ask(asker, 2*request+1)
		// It is held up, and its timers run before it reads what has come.
		n.cores[asker].SetLag(lag)
		n.cores[asker].SetLag(time.Millisecond)
		n.cores[asker].Expire(n.now + lag)
		n.ask(asker, 1000+request)
		n.run(_testGap)
	}
	if got, want := n.cores[asker].Owners()[_ownerKey], n.ids[owner]; got != want {
		t.Errorf("owner that the late router asks: got %s, want %s", got, want)
	}
	for request := range uint64(10) {
		if got, want := n.verdicts[n.ids[asker]][1000+request].Decider, n.ids[owner]; got != want {
			t.Errorf("request after a hold-up: got decided by %s, want %s", got, want)
		}
	}
}
