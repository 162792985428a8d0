package qlcore_test

import (
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlwire"
)

// TestSumsOfDemandsAgree counts how often a dispatcher asks for a full demand
// in a saturated fleet that loses nothing: hardly ever, since each one that is
// asked for without need costs what the sums are there to save. When messages
// are lost, it asks, and stops asking afterwards.
func TestSumsOfDemandsAgree(t *testing.T) {
	t.Parallel()
	f := newFleet(t, userSize(3, 5*time.Millisecond))
	compared, asked, lost := 0, 0, 0
	losing := false
	f.lose = func(m *qlwire.Message) bool {
		if m.GetDemand().GetSum() != 0 {
			compared++
		}
		if m.GetDemandRequest() != nil {
			asked++
		}
		if losing && (m.GetDemand() != nil || m.GetDone() != nil || m.GetGrant() != nil) && f.random.Float64() < 0.05 {
			lost++
			return true
		}
		return false
	}
	f.spread(false)
	f.run(10 * time.Second)
	measure := func(when string, span time.Duration) (compared1, asked1 int) {
		compared, asked = 0, 0
		f.run(f.now + span)
		t.Logf("%s: %d comparisons, %d asked for a full demand", when, compared, asked)
		return compared, asked
	}
	if compared, asked := measure("nothing lost", 60*time.Second); compared == 0 || asked > compared/50 {
		t.Errorf("nothing lost: got %d full demands asked for of %d comparisons, want at most one in 50", asked, compared)
	}
	losing = true
	if _, asked := measure("one in 20 lost", 20*time.Second); asked == 0 {
		t.Errorf("with %d messages lost: no full demand was asked for", lost)
	}
	losing = false
	f.run(f.now + 5*time.Second)
	if compared, asked := measure("after it", 30*time.Second); asked > compared/50 {
		t.Errorf("after losses: got %d full demands asked for of %d comparisons, want at most one in 50", asked, compared)
	}
	f.check()
}
