package qlowner

import (
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlengine"
	"github.com/quetzallane/quetzallane/internal/qlplace"
)

// TestRouterAlonePlacesWhatWasPlaced has an owner place requests of two customers for a while,
// one of which is above its share, and then fall silent while both ask ten times as much.
func TestRouterAlonePlacesWhatWasPlaced(t *testing.T) {
	const (
		calm      = 8 * time.Second
		silent    = 4 * time.Second
		aboveRate = 10
		belowRate = 20
		flood     = 10
		cost      = 1000
		wantAbove = aboveRate * 4
		// In four seconds, and half a second's at once.
		wantAll     = _aloneMargin * (aboveRate + belowRate) * 4.5
		wantWithout = 5 * 4
	)
	request := func(customer string) *qlplace.Request {
		return &qlplace.Request{
			Customer: customer,
			Prompt: qlengine.Prompt{
				Tokens: cost,
			},
		}
	}
	// place has requests of a customer placed alone, as many a second as may be.
	place := func(l *aloneLimit, now time.Duration, customer string, minRate float64) int {
		if ok, _ := l.admit(now, customer, minRate); !ok {
			return 0
		}
		l.record(now, request(customer), &qlplace.Decision{Engine: "e"}, false, minRate)
		return 1
	}
	l := newAloneLimit()
	for now := time.Duration(0); now < calm; now += time.Second / belowRate {
		l.record(now, request("below"), &qlplace.Decision{Engine: "e"}, true, 0)
		decision := qlplace.Decision{Reason: qlplace.OverShare}
		if now%(time.Second/aboveRate) == 0 {
			decision = qlplace.Decision{Engine: "e"}
		}
		l.record(now, request("above"), &decision, true, 0)
	}
	above, all := 0, 0
	for now := calm; now < calm+silent; now += time.Second / belowRate / flood {
		placed := place(&l, now, "above", 0)
		above += placed
		all += placed + place(&l, now, "below", 0)
	}
	t.Logf("placed %d of the customer above its share, %d in all", above, all)
	if above < wantAbove/2-1 || above > wantAbove+aboveRate {
		t.Errorf("placed of the customer above its share: got %d, want about %d", above, wantAbove)
	}
	if float64(all) > wantAll {
		t.Errorf("placed in all: got %d, want %v at most", all, wantAll)
	}
	// A router without history may place its part of the stated throughput.
	l = newAloneLimit()
	all = 0
	for now := time.Duration(0); now < silent; now += time.Millisecond {
		all += place(&l, now, "new", 5*cost)
	}
	if all < wantWithout/2 || all > wantWithout+5 {
		t.Errorf("placed without history: got %d, want about %d", all, wantWithout)
	}
}

// TestCustomerRefusedOnceKeepsItsPart guards against a customer that is held back for as long as
// the owner does not answer because the owner once refused a request of it for its share.
func TestCustomerRefusedOnceKeepsItsPart(t *testing.T) {
	const (
		cost     = 1000
		rate     = 20
		calm     = 4 * time.Second
		silent   = 8 * time.Second
		others   = 1
		minRate  = 1.2 * (1 + others) * rate * cost
		interval = time.Second / rate
	)
	request := func(customer string) *qlplace.Request {
		return &qlplace.Request{
			Customer: customer,
			Prompt: qlengine.Prompt{
				Tokens: cost,
			},
		}
	}
	l := newAloneLimit()
	for now := time.Duration(0); now < calm; now += interval {
		l.record(now, request("a"), &qlplace.Decision{Engine: "e"}, true, minRate)
		l.record(now, request("b"), &qlplace.Decision{Engine: "e"}, true, minRate)
	}
	l.record(calm, request("a"), &qlplace.Decision{Reason: qlplace.OverShare}, true, minRate)
	asked, placed := 0, 0
	for now := calm; now < calm+silent; now += interval {
		asked++
		for _, customer := range []string{"a", "b"} {
			if ok, _ := l.admit(now, customer, minRate); !ok {
				continue
			}
			l.record(now, request(customer), &qlplace.Decision{Engine: "e"}, false, minRate)
			if customer == "a" {
				placed++
			}
		}
	}
	if got, want := float64(placed)/float64(asked), 0.9; got < want {
		t.Errorf("placed of a customer whose demand is within its part: got %.2f, want %.2f at least", got, want)
	}
}

// TestCustomersWithoutRequestsAreForgotten guards against a table that grows with the customers
// ever seen.
func TestCustomersWithoutRequestsAreForgotten(t *testing.T) {
	l := newAloneLimit()
	l.admit(0, "a", 1)
	l.record(0, &qlplace.Request{Customer: "b", Prompt: qlengine.Prompt{Tokens: 1000}}, &qlplace.Decision{Engine: "e"}, true, 0)
	l.expire(time.Second, 0)
	if got, want := len(l.customers), 1; got != want {
		t.Errorf("customers after a second: got %d, want %d", got, want)
	}
	l.expire(time.Minute, 0)
	if got := len(l.customers); got != 0 {
		t.Errorf("customers after a minute: got %d, want 0", got)
	}
}
