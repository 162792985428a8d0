package qlcore_test

import (
	"testing"
	"time"
)

// countedSlots adds up the routers' own counts.
func (f *fleet) countedSlots() (inService, inUse, idle float64) {
	for _, n := range f.nodes {
		for _, s := range n.core.SlotSeconds() {
			inService += s.InService
			inUse += s.InUse
			idle += s.IdleHere + s.IdleElsewhere
		}
	}
	return inService, inUse, idle
}

// TestSlotSecondsAreCountedByTheProgram compares the routers' counts of idle
// slots beside waiting work with what an observer of all upstreams sees: in a
// saturated fleet, and in one in which a limit leaves slots idle, which is no
// defect.
func TestSlotSecondsAreCountedByTheProgram(t *testing.T) {
	t.Parallel()
	f := newFleet(t, userSize(4, 5*time.Millisecond))
	f.spread(false)
	f.run(10 * time.Second)
	inService, inUse, idle := f.countedSlots()
	observed := f.utilisation(30 * time.Second)
	inServiceAfter, inUseAfter, idleAfter := f.countedSlots()
	counted := (inUseAfter - inUse) / (inServiceAfter - inService)
	idlePart := (idleAfter - idle) / (inServiceAfter - inService)
	t.Logf("in use %.4f as counted, %.4f as observed; idle while work waits %.4f", counted, observed, idlePart)
	if diff := counted - observed; diff < -0.02 || diff > 0.02 {
		t.Errorf("part in use: got %.4f by the routers, want within 0.02 of %.4f", counted, observed)
	}
	if want := 0.03; idlePart > want {
		t.Errorf("idle while work waits: got %.4f, want at most %.2f", idlePart, want)
	}
	f.check()
}

// TestLimitedWorkIsNoReasonForIdleSlots floods a fleet whose customers may have
// two requests in flight each: most slots are idle, and that is no defect.
func TestLimitedWorkIsNoReasonForIdleSlots(t *testing.T) {
	t.Parallel()
	config := userSize(5, 5*time.Millisecond)
	config.limits = inFlightLimit(2)
	f := newFleet(t, config)
	f.spread(true)
	f.run(10 * time.Second)
	_, _, idle := f.countedSlots()
	f.run(f.now + 20*time.Second)
	inService, inUse, idleAfter := f.countedSlots()
	t.Logf("%.0f slot-seconds in service, %.0f in use, %.1f idle while work waits", inService, inUse, idleAfter-idle)
	if got, want := idleAfter-idle, 0.02*inService; got > want {
		t.Errorf("idle while work waits: got %.1f slot-seconds, want at most %.1f, since limits hold the work back", got, want)
	}
	f.check()
}

// TestIdleSlotsAreCounted cuts the one router at which work waits from all
// others, whose slots come free: they count them for as long as they have news
// of that work.
func TestIdleSlotsAreCounted(t *testing.T) {
	t.Parallel()
	f := newFleet(t, userSize(6, 5*time.Millisecond))
	f.flood(f.nodes[0], 0, 400, f.costs)
	f.run(10 * time.Second)
	_, _, before := f.countedSlots()
	f.cut = func(a, b string) bool { return (a == "r0") != (b == "r0") }
	f.run(f.now + 10*time.Second)
	_, _, after := f.countedSlots()
	t.Logf("idle while work waits: %.1f slot-seconds before the cut, %.1f after", before, after-before)
	if got, want := after-before, 50.0; got < want {
		t.Errorf("idle while work waits: got %.1f slot-seconds counted, want at least %.0f", got, want)
	}
}
