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

// pool is a dispatcher of two upstreams of 8 slots with one local customer.
type pool struct {
	dispatcher *qldispatch.Dispatcher
	grants     []qldispatch.Grant
	limits     qlfair.Limits
	seen       uint64
	now        time.Duration
}

func newPool() *pool {
	p := &pool{
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

// want asks for slots and returns the upstreams of the grants that came.
func (p *pool) want(count int) map[string]int {
	before := len(p.grants)
	p.dispatcher.SetLocalDemand(p.now, "c", "m", count, 10, p.seen)
	return p.since(before)
}

// since counts the grants from an index on by upstream, and notes them seen.
func (p *pool) since(index int) map[string]int {
	got := make(map[string]int)
	for _, g := range p.grants[index:] {
		got[g.Upstream()]++
		p.seen = g.Number()
	}
	return got
}

func (p *pool) endAll(outcome func(qldispatch.Grant) qldispatch.Outcome) {
	p.dispatcher.SetLocalDemand(p.now, "c", "m", 0, 10, p.seen)
	for _, g := range p.grants {
		p.dispatcher.Done(p.now, "r1", g.Number(), 10, outcome(g))
	}
}

// TestUnreachedUpstreamIsLeftOutAndComesBack refuses connections at one.
func TestUnreachedUpstreamIsLeftOutAndComesBack(t *testing.T) {
	p := newPool()
	p.want(2)
	p.endAll(func(g qldispatch.Grant) qldispatch.Outcome {
		if g.Upstream() == "u0" {
			return qldispatch.Unreached
		}
		return qldispatch.Answered
	})
	if got := p.want(16); got["u0"] != 0 || got["u1"] != 8 {
		t.Errorf("grants beside an upstream that refuses: got %v, want 8 at u1 only", got)
	}
	before := len(p.grants)
	p.dispatcher.ApplyLoad(p.now, "u0", 0)
	if got := p.since(before); got["u0"] != 8 {
		t.Errorf("grants to the waiting once it answers a load poll: got %v, want 8 at u0", got)
	}
}

// TestFailingUpstreamsKeepASlot fails all requests everywhere: the pool is
// throttled, never closed.
func TestFailingUpstreamsKeepASlot(t *testing.T) {
	p := newPool()
	for range 10 {
		p.want(16)
		p.endAll(func(qldispatch.Grant) qldispatch.Outcome { return qldispatch.Failed })
	}
	if got, want := fmt.Sprint(p.want(16)), "map[u0:1 u1:1]"; got != want {
		t.Errorf("grants at failing upstreams: got %s, want %s", got, want)
	}
	for range 10 {
		p.endAll(func(qldispatch.Grant) qldispatch.Outcome { return qldispatch.Answered })
		p.want(16)
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

// TestCostRate holds a customer to its cost a second, with a burst of 2 s.
func TestCostRate(t *testing.T) {
	p := newPool()
	p.limits.CostRate = 100
	served := 0.0
	for end := p.now + 60*time.Second; p.now < end; p.now += 10 * time.Millisecond {
		p.dispatcher.Tick(p.now)
		p.since(0)
		p.want(1)
		for _, g := range p.grants {
			p.dispatcher.Done(p.now, "r1", g.Number(), 10, qldispatch.Answered)
			served += 10
		}
		p.grants = p.grants[:0:0]
	}
	if got, low, high := served/60, 95.0, 105.0; got < low || got > high {
		t.Errorf("cost a second: got %.1f, want %.0f to %.0f", got, low, high)
	}
}

// TestFreeShareIsNotUsedWhileItMayBeLent gives a lease of nothing on a limit of 8, of
// which this router's free share is 4. Others may hold that until their leases
// have ended too, so the end of the own lease does not bring it back yet.
func TestFreeShareIsNotUsedWhileItMayBeLent(t *testing.T) {
	p := newPool()
	p.limits.MaxInFlight = 8
	asked := p.now
	p.want(0)
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
		p.want(4)
		if got := len(p.grants); got != c.want {
			t.Errorf("grants %v after the report: got %d, want %d", c.after, got, c.want)
		}
	}
}
