package qlcore_test

import (
	"testing"
	"time"
)

// largestDispatcher returns the router that owns the most upstreams.
func (f *fleet) largestDispatcher() *node {
	best := f.nodes[0]
	for _, n := range f.nodes {
		if len(n.core.OwnedUpstreams()) > len(best.core.OwnedUpstreams()) {
			best = n
		}
	}
	return best
}

// largestUsageHome returns the router that is the usage home of the most
// customers, leaving out one router.
func (f *fleet) largestUsageHome(except *node) *node {
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
			kill: func(f *fleet) []*node { return []*node{f.largestDispatcher()} },
		},
		{
			name: "usage-home",
			kill: func(f *fleet) []*node { return []*node{f.largestUsageHome(nil)} },
		},
		{
			name: "dispatcher-and-home",
			kill: func(f *fleet) []*node {
				dispatcher := f.largestDispatcher()
				return []*node{dispatcher, f.largestUsageHome(dispatcher)}
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, nineRouterConfig(2, 5*time.Millisecond))
			f.startLoad(true)
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
			if want := maxGap(); after.gap > want {
				t.Errorf("gap after the loss: got %.1f, want at most %.1f", after.gap, want)
			}
			f.checkInvariants()
		})
	}
}

// TestZoneLoss kills all routers and upstreams of one of six zones at once.
// Soon afterwards the slots of the other zones must be as busy as before, and
// service must be divided as evenly.
func TestZoneLoss(t *testing.T) {
	t.Parallel()
	config := nineRouterConfig(3, 5*time.Millisecond)
	config.routers, config.zones, config.upstreams = 36, 6, 72
	config.customers = make([]float64, 60)
	for i := range config.customers {
		config.customers[i] = 1
	}
	f := newFleet(t, config)
	for i := range config.customers {
		for _, j := range []int{i, i + 7, i + 20} {
			f.flood(f.nodes[j%36], i, 20, f.randomCost)
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
	detection := time.Duration(0)
	began := f.now
	during := f.utilisation(5 * time.Second)
	for ; detection == 0 && f.now < began+60*time.Second; f.run(f.now + 250*time.Millisecond) {
		if f.allDeathsKnown() {
			detection = f.now - began
		}
	}
	after := f.measure(5*time.Second, 20*time.Second)
	t.Logf("utilisation %.3f in the 5 s from the loss, known everywhere after %v, then %.3f; gap then %.1f", during, detection, after.utilisation, after.gap)
	if want := 15 * time.Second; detection == 0 || detection > want {
		t.Errorf("known everywhere after %v, want at most %v", detection, want)
	}
	if want := 0.97; after.utilisation < want {
		t.Errorf("utilisation after the loss: got %.3f, want at least %.2f", after.utilisation, want)
	}
	if want := maxGap(); after.gap > want {
		t.Errorf("gap after the loss: got %.1f, want at most %.1f", after.gap, want)
	}
}

// allDeathsKnown reports whether no live router still considers a dead router
// alive.
func (f *fleet) allDeathsKnown() bool {
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
