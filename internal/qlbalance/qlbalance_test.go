package qlbalance

import (
	"math/rand/v2"
	"testing"
	"time"
)

func newBalancer() *Balancer {
	return New(Config{
		Random: rand.New(rand.NewPCG(1, 2)),
	})
}

func newCriteria(notRepeatable bool, excluded ...string) Criteria {
	c := Criteria{
		Excluded:      excluded,
		Zone:          "z1",
		NotRepeatable: notRepeatable,
	}
	for _, id := range []string{"a", "b", "c"} {
		c.Candidates = append(c.Candidates, Upstream{
			ID:    id,
			Zone:  "z1",
			Slots: 6,
		})
	}
	return c
}

func TestLoadIsSpread(t *testing.T) {
	b := newBalancer()
	counts := map[string]int{}
	for range 18 {
		id, _ := b.Pick(0, newCriteria(false))
		b.Begin(id)
		counts[id]++
	}
	for _, id := range []string{"a", "b", "c"} {
		if got, want := counts[id], 6; got != want {
			t.Errorf("calls at %s: got %d, want %d", id, got, want)
		}
	}
}

func TestReportedLoadOfOtherRoutersCounts(t *testing.T) {
	b := newBalancer()
	b.RecordReportedLoad(0, "a", 6, 4)
	b.RecordReportedLoad(0, "b", 6, 0)
	if got, _ := b.Pick(time.Millisecond, newCriteria(false)); got != "c" {
		t.Errorf("pick beside two loaded upstreams: got %q, want c", got)
	}
	b.Begin("c")
	b.Begin("c")
	picks := map[string]bool{}
	for range 50 {
		id, _ := b.Pick(_reportExpiry+time.Millisecond, newCriteria(false))
		picks[id] = true
	}
	if !picks["a"] || !picks["b"] {
		t.Errorf("picks once the reports are old: got %v, want a and b among them", picks)
	}
}

func TestFailingUpstreamIsAvoidedUntilExpiry(t *testing.T) {
	b := newBalancer()
	for range 6 {
		b.Begin("a")
		b.End(0, "a", Failed)
	}
	for range 100 {
		if id, _ := b.Pick(10*time.Millisecond, newCriteria(true)); id == "a" {
			t.Fatal("a call that may not be repeated went to the failing upstream")
		}
	}
	picked := false
	for range 100 {
		id, _ := b.Pick(2*_failureExpiry, newCriteria(true))
		picked = picked || id == "a"
	}
	if !picked {
		t.Error("the upstream is still avoided after the failure rate has expired")
	}
}

func TestAllUpstreamsStayInUseWhenAllFail(t *testing.T) {
	b := newBalancer()
	for _, id := range []string{"a", "b", "c"} {
		for range 20 {
			b.Begin(id)
			b.End(0, id, Failed)
		}
	}
	counts := map[string]int{}
	for range 30 {
		id, ok := b.Pick(0, newCriteria(true))
		if !ok {
			t.Fatal("no upstream was picked")
		}
		b.Begin(id)
		counts[id]++
	}
	if len(counts) != 3 {
		t.Errorf("upstreams in use: got %v, want all three", counts)
	}
}

func TestExcludedUpstreamsAreNotPicked(t *testing.T) {
	b := newBalancer()
	if id, _ := b.Pick(0, newCriteria(false, "a", "b")); id != "c" {
		t.Errorf("pick: got %q, want c", id)
	}
	if id, ok := b.Pick(0, newCriteria(false, "a", "b", "c")); ok {
		t.Errorf("pick of none: got %q", id)
	}
}
