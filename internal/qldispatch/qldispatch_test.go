package qldispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qldispatch"
	"github.com/quetzallane/quetzallane/internal/qlfair"
	"github.com/quetzallane/quetzallane/internal/qlinvariant"
	"github.com/quetzallane/quetzallane/internal/qlwire"
)

// testPool is a pool of two upstreams of 8 slots, their dispatcher, and one customer
// at the entry in the same process.
type testPool struct {
	dispatcher *qldispatch.Dispatcher
	grants     []qldispatch.Grant
	limits     qlfair.Limits
	seen       uint64
	now        time.Duration
}

func newTestPool() *testPool {
	p := &testPool{
		limits: qlfair.Limits{
			Share:       1,
			MaxInFlight: 1000,
		},
		now: 10 * time.Second,
	}
	p.dispatcher = qldispatch.New(qldispatch.Config{
		Self:    "r1",
		Limits:  func(string) (qlfair.Limits, bool) { return p.limits, true },
		Rank:    func(string, string) (int, int) { return 0, 1 },
		OnGrant: func(g qldispatch.Grant) { p.grants = append(p.grants, g) },
		Monitor: &qlinvariant.Monitor{},
	})
	p.dispatcher.SetPool(0, qldispatch.PoolConfig{
		Name:        "m",
		LargestCost: 100,
		Upstreams: []qldispatch.UpstreamConfig{
			{
				ID:    "u0",
				Slots: 8,
			},
			{
				ID:    "u1",
				Slots: 8,
			},
		},
	})
	return p
}

// setDemand sets the number of waiting requests and returns the number of new
// grants by upstream.
func (p *testPool) setDemand(count int) map[string]int {
	before := len(p.grants)
	p.dispatcher.SetLocalDemand(p.now, "c", "m", count, 10, p.seen)
	return p.grantsSince(before)
}

// grantsSince counts the grants from an index on by upstream, and marks them as
// received.
func (p *testPool) grantsSince(index int) map[string]int {
	counts := make(map[string]int)
	for _, g := range p.grants[index:] {
		counts[g.Upstream()]++
		p.seen = g.Number()
	}
	return counts
}

func (p *testPool) endAll(outcome func(qldispatch.Grant) qldispatch.Outcome) {
	p.dispatcher.SetLocalDemand(p.now, "c", "m", 0, 10, p.seen)
	for _, g := range p.grants {
		p.dispatcher.Done(p.now, "r1", g.Number(), 10, outcome(g))
	}
}

// TestUnreachableUpstreamIsEjectedUntilItAnswers has one upstream refuse
// connections. It receives no grants until it answers a load poll.
func TestUnreachableUpstreamIsEjectedUntilItAnswers(t *testing.T) {
	p := newTestPool()
	p.setDemand(2)
	p.endAll(func(g qldispatch.Grant) qldispatch.Outcome {
		if g.Upstream() == "u0" {
			return qldispatch.Unreached
		}
		return qldispatch.Answered
	})
	if got := p.setDemand(16); got["u0"] != 0 || got["u1"] != 8 {
		t.Errorf("grants while one upstream refuses connections: got %v, want 8 at u1 only", got)
	}
	before := len(p.grants)
	p.dispatcher.ApplyLoad(p.now, "u0", 0)
	if got := p.grantsSince(before); got["u0"] != 8 {
		t.Errorf("grants after the upstream answered a load poll: got %v, want 8 at u0", got)
	}
}

// TestFailingUpstreamsKeepASlot fails all requests at all upstreams. The pool's
// throughput is reduced, but the pool is never closed.
func TestFailingUpstreamsKeepASlot(t *testing.T) {
	p := newTestPool()
	for range 10 {
		p.setDemand(16)
		p.endAll(func(qldispatch.Grant) qldispatch.Outcome { return qldispatch.Failed })
	}
	if got, want := fmt.Sprint(p.setDemand(16)), "map[u0:1 u1:1]"; got != want {
		t.Errorf("grants at failing upstreams: got %s, want %s", got, want)
	}
	for range 10 {
		p.endAll(func(qldispatch.Grant) qldispatch.Outcome { return qldispatch.Answered })
		p.setDemand(16)
	}
	if got, want := len(p.dispatcher.State(p.now)[0].Upstreams), 2; got != want {
		t.Errorf("upstreams: got %d, want %d", got, want)
	}
	for _, u := range p.dispatcher.State(p.now)[0].Upstreams {
		if u.Limit != 8 {
			t.Errorf("limit of %s after answers: got %d, want 8", u.Upstream, u.Limit)
		}
	}
}

// TestCostRate checks that a customer is limited to its cost per second, with a
// burst of 2 s.
func TestCostRate(t *testing.T) {
	p := newTestPool()
	p.limits.CostRate = 100
	served := 0.0
	for end := p.now + 60*time.Second; p.now < end; p.now += 10 * time.Millisecond {
		p.dispatcher.Tick(p.now)
		p.grantsSince(0)
		p.setDemand(1)
		for _, g := range p.grants {
			p.dispatcher.Done(p.now, "r1", g.Number(), 10, qldispatch.Answered)
			served += 10
		}
		p.grants = p.grants[:0:0]
	}
	if got, low, high := served/60, 95.0, 105.0; got < low || got > high {
		t.Errorf("cost per second: got %.1f, want %.0f to %.0f", got, low, high)
	}
}

// TestUnleasedAllowanceIsNotUsedWhileOthersMayHoldIt allots nothing of a limit
// of 8, of which this router's unleased allowance is 4. Other dispatchers may
// hold that allowance until their leases have ended too, so it is not available
// again as soon as the router's own lease ends.
func TestUnleasedAllowanceIsNotUsedWhileOthersMayHoldIt(t *testing.T) {
	p := newTestPool()
	p.limits.MaxInFlight = 8
	asked := p.now
	p.setDemand(0)
	p.dispatcher.ApplyTotals(p.now, asked, &qlwire.UsageReply{
		Pool: "m",
		Totals: []*qlwire.UsageTotal{
			{
				Customer: "c",
			},
		},
	})
	for _, c := range []struct {
		after time.Duration
		want  int
	}{
		{4 * time.Second, 0},
		{6 * time.Second, 0},
		{11 * time.Second, 0},
		{13 * time.Second, 4},
	} {
		p.now = asked + c.after
		p.dispatcher.Tick(p.now)
		p.setDemand(4)
		if got := len(p.grants); got != c.want {
			t.Errorf("grants %v after the report: got %d, want %d", c.after, got, c.want)
		}
	}
}
