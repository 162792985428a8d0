package qlcore_test

import (
	"testing"
	"time"
)

// TestDetectionAndFalseSuspicion checks how long it takes until all routers
// know of the death of one, and that message loss and delay do not make routers
// consider live ones dead.
func TestDetectionAndFalseSuspicion(t *testing.T) {
	t.Parallel()
	for _, loss := range []float64{0, 0.01, 0.05} {
		config := nineRouterConfig(1, 5*time.Millisecond)
		config.loss = loss
		f := newFleet(t, config)
		f.run(60 * time.Second)
		dead, falseSuspicions := f.deadViewsAndFalseSuspicions()
		if dead != 0 {
			t.Errorf("loss %v: live routers are considered dead in %d views, want 0", loss, dead)
		}
		victim := f.nodes[4]
		f.kill(victim)
		killed := f.now
		for f.routersSeeingDead(victim.id) < len(f.nodes)-1 && f.now < killed+30*time.Second {
			f.run(f.now + 10*time.Millisecond)
		}
		t.Logf("loss %v: known dead everywhere after %v; %d suspicions refuted in 60 s", loss, f.now-killed, falseSuspicions)
		if got, want := f.now-killed, 10*time.Second; got > want {
			t.Errorf("loss %v: known dead everywhere after %v, want at most %v", loss, got, want)
		}
	}
}

// deadViewsAndFalseSuspicions counts, over all routers, the members that a router
// considers dead, and the suspicions that turned out to be false.
func (f *fleet) deadViewsAndFalseSuspicions() (dead int, falseSuspicions uint64) {
	for _, n := range f.nodes {
		state := n.core.State()
		falseSuspicions += state.FalseSuspicions
		for _, member := range state.Members {
			if member.State == "dead" {
				dead++
			}
		}
	}
	return dead, falseSuspicions
}

func (f *fleet) routersSeeingDead(id string) int {
	count := 0
	for _, n := range f.nodes {
		for _, member := range n.core.State().Members {
			if n.alive && member.ID == id && member.State == "dead" {
				count++
			}
		}
	}
	return count
}

// TestPartitionHeals partitions a fleet and heals it. Requests must be served
// during the partition, and all routers must consider each other alive within
// seconds after it.
func TestPartitionHeals(t *testing.T) {
	t.Parallel()
	f := newFleet(t, nineRouterConfig(2, 5*time.Millisecond))
	f.startLoad(true)
	f.run(10 * time.Second)
	f.partition(4)
	f.run(f.now + 20*time.Second)
	before := f.answered
	f.run(f.now + 5*time.Second)
	if f.answered == before {
		t.Error("nothing was answered during the partition")
	}
	f.heal()
	healed := f.now
	dead, _ := f.deadViewsAndFalseSuspicions()
	for dead > 0 && f.now < healed+30*time.Second {
		f.run(f.now + 10*time.Millisecond)
		dead, _ = f.deadViewsAndFalseSuspicions()
	}
	t.Logf("all alive again after %v", f.now-healed)
	if got, want := f.now-healed, 15*time.Second; got > want {
		t.Errorf("all alive again after %v, want at most %v", got, want)
	}
	f.checkInvariants()
}

// TestProbeTrafficDoesNotGrowWithFleet compares the probe traffic of an idle
// router in fleets of two sizes.
func TestProbeTrafficDoesNotGrowWithFleet(t *testing.T) {
	t.Parallel()
	rate := func(routers int) float64 {
		config := nineRouterConfig(1, 5*time.Millisecond)
		config.routers = routers
		config.upstreams = 1
		f := newFleet(t, config)
		f.run(15 * time.Second)
		before := f.bytes
		f.run(f.now + 10*time.Second)
		return float64(f.bytes-before) / 10 / float64(routers)
	}
	small, large := rate(9), rate(36)
	t.Logf("control bytes/s for each idle router: %.0f of 9, %.0f of 36", small, large)
	if want := 1.5 * small; large > want {
		t.Errorf("control bytes/s of an idle router: got %.0f in a fleet of 36, want at most %.0f (1.5 times that of 9)", large, want)
	}
}
