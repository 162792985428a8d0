package qloffload

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestBudgetFollowsProcessorAndLag counts the requests of 10 s that a router handles itself.
func TestBudgetFollowsProcessorAndLag(t *testing.T) {
	const cores = 0.2
	for _, c := range []struct {
		name  string
		rate  int
		lag   time.Duration
		least int
		most  int
	}{
		{name: "few requests", rate: 100, least: 1000, most: 1000},
		{name: "many requests", rate: 3000, least: 2900, most: 3100},
		{name: "many requests, and a lag", rate: 3000, lag: 100 * time.Millisecond, least: 150, most: 400},
	} {
		b := NewBudget(cores)
		kept := 0
		for i := range 10 * c.rate {
			now := time.Duration(i) * time.Second / time.Duration(c.rate)
			if i%max(c.rate/20, 1) == 0 {
				b.RecordLag(c.lag)
			}
			if b.Take(now) {
				kept++
			}
		}
		if kept < c.least || kept > c.most {
			t.Errorf("%s: got %d requests handled here, want %d to %d", c.name, kept, c.least, c.most)
		}
	}
}

// TestRequestsSpreadBySize chooses routers for 10,000 requests.
func TestRequestsSpreadBySize(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	p := NewPeers()
	p.Set(0, []Peer{NewPeer("small", 200), NewPeer("large", 800), NewPeer("avoided", 1000)})
	p.Unreachable(0, "avoided")
	counts := make(map[string]int)
	for range 10000 {
		address, ok := p.Choose(time.Second, random.Float64())
		if !ok {
			t.Fatal("no router was chosen")
		}
		counts[address]++
	}
	if got := counts["large"]; got < 7500 || got > 8500 || counts["avoided"] > 0 {
		t.Errorf("got %v, want four of five at the large VM and none at the avoided one", counts)
	}
	if _, ok := p.Choose(_unreachablePause, 0.9); !ok {
		t.Error("no router is chosen after the pause")
	}
	p.Set(0, nil)
	if address, ok := p.Choose(0, 0.5); ok {
		t.Errorf("without routers: got %q, want none", address)
	}
}
