package qlcore_test

import (
	"testing"
	"time"
)

// ownerOfMost returns the router that owns the most upstreams.
func (f *fleet) ownerOfMost() *node {
	best := f.nodes[0]
	for _, n := range f.nodes {
		if len(n.core.OwnedUpstreams()) > len(best.core.OwnedUpstreams()) {
			best = n
		}
	}
	return best
}

// homeOfMost returns the router that is home to the most customers.
func (f *fleet) homeOfMost(except *node) *node {
	var best *node
	for _, n := range f.nodes {
		if n != except && (best == nil || len(n.core.State().UsageHome) > len(best.core.State().UsageHome)) {
			best = n
		}
	}
	return best
}

func TestRouterLossKeepsSlotsBusy(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name string
		kill func(f *fleet) []*node
	}{
		{
			name: "dispatcher",
			kill: func(f *fleet) []*node { return []*node{f.ownerOfMost()} },
		},
		{
			name: "usage-home",
			kill: func(f *fleet) []*node { return []*node{f.homeOfMost(nil)} },
		},
		{
			name: "dispatcher-and-home",
			kill: func(f *fleet) []*node {
				dispatcher := f.ownerOfMost()
				return []*node{dispatcher, f.homeOfMost(dispatcher)}
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, userSize(2, 5*time.Millisecond))
			f.spread(true)
			f.run(20 * time.Second)
			lost := test.kill(f)
			for _, n := range lost {
				f.kill(n)
			}
			during := f.utilisation(15 * time.Second)
			after := f.measure(5*time.Second, 30*time.Second)
			t.Logf("utilisation %.3f in the 15 s from the loss, then %.3f; gap then %.1f", during, after.utilisation, after.gap)
			if want := 0.90; len(lost) == 1 && during < want {
				t.Errorf("utilisation through the loss: got %.3f, want at least %.2f", during, want)
			}
			if want := 0.97; after.utilisation < want {
				t.Errorf("utilisation after the loss: got %.3f, want at least %.2f", after.utilisation, want)
			}
			if want := gapBound(); after.gap > want {
				t.Errorf("gap after the loss: got %.1f, want at most %.1f", after.gap, want)
			}
			f.check()
		})
	}
}

// TestZoneLoss kills all routers of one of six zones at once; the zone's
// upstreams are gone, too. The others' slots are to be as busy as before soon
// afterwards, and service as even.
func TestZoneLoss(t *testing.T) {
	t.Parallel()
	config := userSize(3, 5*time.Millisecond)
	config.routers, config.zones, config.upstreams = 36, 6, 72
	config.customers = make([]float64, 60)
	for i := range config.customers {
		config.customers[i] = 1
	}
	f := newFleet(t, config)
	for i := range config.customers {
		for _, j := range []int{i, i + 7, i + 20} {
			f.flood(f.nodes[j%36], i, 20, f.costs)
		}
	}
	f.run(20 * time.Second)
	for _, n := range f.nodes {
		if n.zone == "z0" {
			f.kill(n)
		}
	}
	for _, u := range f.upstreams {
		u.gone = u.zone == "z0"
	}
	known := time.Duration(0)
	began := f.now
	during := f.utilisation(5 * time.Second)
	for ; known == 0 && f.now < began+60*time.Second; f.run(f.now + 250*time.Millisecond) {
		if f.allKnowWhoLives() {
			known = f.now - began
		}
	}
	after := f.measure(5*time.Second, 20*time.Second)
	t.Logf("utilisation %.3f in the 5 s from the loss, known everywhere after %v, then %.3f; gap then %.1f", during, known, after.utilisation, after.gap)
	if want := 15 * time.Second; known == 0 || known > want {
		t.Errorf("known everywhere after %v, want at most %v", known, want)
	}
	if want := 0.97; after.utilisation < want {
		t.Errorf("utilisation after the loss: got %.3f, want at least %.2f", after.utilisation, want)
	}
	if want := gapBound(); after.gap > want {
		t.Errorf("gap after the loss: got %.1f, want at most %.1f", after.gap, want)
	}
}

// allKnowWhoLives reports whether every live router takes all dead ones for
// dead.
func (f *fleet) allKnowWhoLives() bool {
	for _, n := range f.nodes {
		if !n.alive {
			continue
		}
		for _, member := range n.core.State().Members {
			if !f.node(member.ID).alive && member.State == "alive" {
				return false
			}
		}
	}
	return true
}
