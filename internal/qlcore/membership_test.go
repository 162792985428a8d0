package qlcore_test

import (
	"testing"
	"time"
)

// TestDetectionAndFalseSuspicion measures how long the death of a router
// takes to be known everywhere, and whether loss and delay make live routers
// look dead.
func TestDetectionAndFalseSuspicion(t *testing.T) {
	t.Parallel()
	for _, loss := range []float64{0, 0.01, 0.05} {
		config := userSize(1, 5*time.Millisecond)
		config.loss = loss
		f := newFleet(t, config)
		f.run(60 * time.Second)
		dead, alarms := f.deadAndAlarms()
		if dead != 0 {
			t.Errorf("loss %v: %d live routers are taken for dead, want 0", loss, dead)
		}
		victim := f.nodes[4]
		f.kill(victim)
		killed := f.now
		for f.knownDead(victim.id) < len(f.nodes)-1 && f.now < killed+30*time.Second {
			f.run(f.now + 10*time.Millisecond)
		}
		t.Logf("loss %v: known dead everywhere after %v; %d suspicions contradicted in 60 s", loss, f.now-killed, alarms)
		if got, want := f.now-killed, 10*time.Second; got > want {
			t.Errorf("loss %v: known dead everywhere after %v, want at most %v", loss, got, want)
		}
	}
}

func (f *fleet) deadAndAlarms() (dead int, alarms uint64) {
	for _, n := range f.nodes {
		state := n.core.State()
		alarms += state.FalseAlarms
		for _, member := range state.Members {
			if member.State == "dead" {
				dead++
			}
		}
	}
	return dead, alarms
}

func (f *fleet) knownDead(id string) int {
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

// TestSidesMeetAgain cuts a fleet in two and joins it: both sides go on, and
// all routers see each other again within seconds.
func TestSidesMeetAgain(t *testing.T) {
	t.Parallel()
	f := newFleet(t, userSize(2, 5*time.Millisecond))
	f.spread(true)
	f.run(10 * time.Second)
	f.halves(4)
	f.run(f.now + 20*time.Second)
	before := f.answered
	f.run(f.now + 5*time.Second)
	if f.answered == before {
		t.Error("nothing was answered during the partition")
	}
	f.heal()
	healed := f.now
	dead, _ := f.deadAndAlarms()
	for dead > 0 && f.now < healed+30*time.Second {
		f.run(f.now + 10*time.Millisecond)
		dead, _ = f.deadAndAlarms()
	}
	t.Logf("all alive again after %v", f.now-healed)
	if got, want := f.now-healed, 15*time.Second; got > want {
		t.Errorf("all alive again after %v, want at most %v", got, want)
	}
	f.check()
}

// TestRouterProbesDoNotGrow compares the probe traffic of one idle router in
// fleets of two sizes.
func TestRouterProbesDoNotGrow(t *testing.T) {
	t.Parallel()
	rate := func(routers int) float64 {
		config := userSize(1, 5*time.Millisecond)
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
