package qlshare

import (
	"math"
	"testing"
	"time"
)

func TestLevelIsMaxMinFair(t *testing.T) {
	for _, c := range []struct {
		name     string
		capacity float64
		demand   map[string]float64
		want     float64
	}{
		{name: "room for all", capacity: 100, demand: map[string]float64{"a": 10, "b": 30}, want: 30},
		{name: "one above", capacity: 100, demand: map[string]float64{"a": 10, "b": 300}, want: 90},
		{name: "two above", capacity: 100, demand: map[string]float64{"a": 10, "b": 300, "c": 3000}, want: 45},
		{name: "all above", capacity: 90, demand: map[string]float64{"a": 100, "b": 100, "c": 100}, want: 30},
		{name: "nobody", capacity: 90, want: 0},
	} {
		w := New(Config{
			Span:     time.Second,
			Capacity: c.capacity,
		})
		for customer, cost := range c.demand {
			w.AddDemand(0, customer, cost)
		}
		w.Ratio(0, "a")
		if got := w.MaxMinLevel(); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%s: got level %v, want %v", c.name, got, c.want)
		}
	}
}

func TestRatioAndExcess(t *testing.T) {
	w := New(Config{
		Span:     time.Second,
		Capacity: 100,
	})
	for customer, costs := range map[string][2]float64{
		"small": {10, 10},
		"large": {300, 90},
		"huge":  {3000, 135},
	} {
		w.AddDemand(0, customer, costs[0])
		w.AddGrant(0, customer, costs[1])
	}
	for customer, want := range map[string]float64{"small": 1, "large": 2, "huge": 3, "new": 0} {
		if got := w.Ratio(0, customer); math.Abs(got-want) > 1e-9 {
			t.Errorf("ratio of %s: got %v, want %v", customer, got, want)
		}
	}
	// 235 were granted: small demanded 10, which leaves 112.5 for each of the
	// others.
	for customer, want := range map[string]float64{"small": 10 / 112.5, "large": 0.8, "huge": 1.2, "new": 0} {
		if got := w.Excess(customer); math.Abs(got-want) > 1e-9 {
			t.Errorf("excess of %s: got %v, want %v", customer, got, want)
		}
	}
}

// TestExcessOfLargestCustomerBesideOneBelowItsShare guards against a fault by
// which a customer just below its fair share did not limit another one that
// was granted many times its own share.
func TestExcessOfLargestCustomerBesideOneBelowItsShare(t *testing.T) {
	w := New(Config{
		Span:     time.Second,
		Capacity: 100,
	})
	w.AddDemand(0, "short", 200)
	w.AddGrant(0, "short", 49)
	w.AddDemand(0, "huge", 3000)
	w.AddGrant(0, "huge", 400)
	// 449 were granted, of which the one below its share demanded 200.
	w.Ratio(0, "huge")
	if got, want := w.Excess("huge"), 400.0/249; math.Abs(got-want) > 1e-9 {
		t.Errorf("excess of the largest: got %v, want %v", got, want)
	}
	if got, want := w.Excess("short"), 49.0/249; math.Abs(got-want) > 1e-9 {
		t.Errorf("excess of the one below its share: got %v, want %v", got, want)
	}
}

// TestExcessCountsWhatWasAskedAtTheSameTime guards against a debt of the customer that used
// spare capacity, and against a claim of the one that asked for little then: once both ask for
// more than there is, both count as having an even part.
func TestExcessCountsWhatWasAskedAtTheSameTime(t *testing.T) {
	w := New(Config{
		Span:     4 * time.Second,
		Capacity: 100,
	})
	add := func(at time.Duration, customer string, asked, granted float64) {
		w.AddDemand(at, customer, asked)
		w.AddGrant(at, customer, granted)
	}
	for at := time.Duration(0); at < 3*time.Second; at += 250 * time.Millisecond {
		add(at, "steady", 100, 100)
		add(at, "rising", 5, 5)
		add(at, "small", 5, 5)
	}
	for at := 3 * time.Second; at < 4*time.Second; at += 250 * time.Millisecond {
		add(at, "steady", 100, 50)
		add(at, "rising", 900, 50)
		add(at, "small", 5, 5)
	}
	w.Ratio(4*time.Second-1, "steady")
	for customer, want := range map[string]float64{"steady": 1, "rising": 1, "small": 0.1} {
		if got := w.Excess(customer); math.Abs(got-want) > 1e-9 {
			t.Errorf("excess of %s: got %v, want %v", customer, got, want)
		}
	}
	// Of what is granted next, the rising customer gets everything.
	add(4*time.Second, "steady", 100, 0)
	add(4*time.Second, "rising", 900, 100)
	w.Ratio(4*time.Second, "steady")
	if steady, rising := w.Excess("steady"), w.Excess("rising"); steady >= 1 || rising <= 1 {
		t.Errorf("after a bucket for one alone: got %v and %v, want less than 1 and more", steady, rising)
	}
}

func TestWindowSlides(t *testing.T) {
	w := New(Config{
		Span:     time.Second,
		Capacity: 100,
	})
	w.AddDemand(0, "a", 500)
	w.AddGrant(0, "a", 300)
	if got := w.Ratio(900*time.Millisecond, "a"); got < 2 {
		t.Errorf("ratio within the window: got %v, want 3", got)
	}
	if got, want := w.Ratio(1100*time.Millisecond, "a"), 0.0; got != want {
		t.Errorf("ratio after the window: got %v, want %v", got, want)
	}
	if got, want := len(w.State()), 0; got != want {
		t.Errorf("customers after the window: got %d, want %d", got, want)
	}
}
