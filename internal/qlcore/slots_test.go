package qlcore_test

import (
	"testing"
	"time"
)

// slotSecondTotals returns the sums of all routers' slot-seconds.
func (f *fleet) slotSecondTotals() (inService, inUse, idle float64) {
	for _, n := range f.nodes {
		for _, s := range n.core.SlotSeconds() {
			inService += s.InService
			inUse += s.InUse
			idle += s.IdleHere + s.IdleElsewhere
		}
	}
	return inService, inUse, idle
}

// TestSlotSecondsMatchObservedUse compares the fraction of slots in use
// according to the routers' slot-seconds with the fraction observed at the
// upstreams of a saturated fleet, where hardly any slots may be idle while
// requests wait.
func TestSlotSecondsMatchObservedUse(t *testing.T) {
	t.Parallel()
	f := newFleet(t, nineRouterConfig(4, 5*time.Millisecond))
	f.startLoad(false)
	f.run(10 * time.Second)
	inService, inUse, idle := f.slotSecondTotals()
	observed := f.utilisation(30 * time.Second)
	inServiceAfter, inUseAfter, idleAfter := f.slotSecondTotals()
	counted := (inUseAfter - inUse) / (inServiceAfter - inService)
	idleFraction := (idleAfter - idle) / (inServiceAfter - inService)
	t.Logf("in use %.4f as counted, %.4f as observed; idle while work waits %.4f", counted, observed, idleFraction)
	if diff := counted - observed; diff < -0.02 || diff > 0.02 {
		t.Errorf("fraction in use: got %.4f by the routers, want within 0.02 of %.4f", counted, observed)
	}
	if want := 0.03; idleFraction > want {
		t.Errorf("idle while work waits: got %.4f, want at most %.2f", idleFraction, want)
	}
	f.checkInvariants()
}

// TestLimitedWorkNotCountedAsWaiting floods a fleet whose customers may have
// two requests in flight each. Most slots are idle then because of the limits,
// and must not be counted as idle while work waits.
func TestLimitedWorkNotCountedAsWaiting(t *testing.T) {
	t.Parallel()
	config := nineRouterConfig(5, 5*time.Millisecond)
	config.limits = inFlightLimit(2)
	f := newFleet(t, config)
	f.startLoad(true)
	f.run(10 * time.Second)
	_, _, idle := f.slotSecondTotals()
	f.run(f.now + 20*time.Second)
	inService, inUse, idleAfter := f.slotSecondTotals()
	t.Logf("%.0f slot-seconds in service, %.0f in use, %.1f idle while work waits", inService, inUse, idleAfter-idle)
	if got, want := idleAfter-idle, 0.02*inService; got > want {
		t.Errorf("idle while work waits: got %.1f slot-seconds, want at most %.1f, since limits hold the work back", got, want)
	}
	f.checkInvariants()
}

// TestIdleSlotsAreCounted cuts off the only router at which requests wait, so
// that the slots of all others become idle. The others must count these slots
// as idle while work waits, for as long as the last state received from that
// router is recent enough.
func TestIdleSlotsAreCounted(t *testing.T) {
	t.Parallel()
	f := newFleet(t, nineRouterConfig(6, 5*time.Millisecond))
	f.flood(f.nodes[0], 0, 400, f.randomCost)
	f.run(10 * time.Second)
	_, _, before := f.slotSecondTotals()
	f.partitioned = func(a, b string) bool { return (a == "r0") != (b == "r0") }
	f.run(f.now + 10*time.Second)
	_, _, after := f.slotSecondTotals()
	t.Logf("idle while work waits: %.1f slot-seconds before the cut, %.1f after", before, after-before)
	if got, want := after-before, 50.0; got < want {
		t.Errorf("idle while work waits: got %.1f slot-seconds counted, want at least %.0f", got, want)
	}
}
