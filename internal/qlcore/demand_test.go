package qlcore_test

import (
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlwire"
)

// TestDemandChecksumsAgree counts how often dispatchers request a full demand
// because checksums differ. In a saturated fleet without message loss this must
// be rare, since checksums exist to save the cost of full demands. When
// messages are lost, dispatchers must request full demands, and stop doing so
// afterwards.
func TestDemandChecksumsAgree(t *testing.T) {
	t.Parallel()
	f := newFleet(t, nineRouterConfig(3, 5*time.Millisecond))
	checksums, requested, lost := 0, 0, 0
	losing := false
	f.dropMessage = func(m *qlwire.Message) bool {
		if m.GetDemand().GetSum() != 0 {
			checksums++
		}
		if m.GetDemandRequest() != nil {
			requested++
		}
		if losing && (m.GetDemand() != nil || m.GetDone() != nil || m.GetGrant() != nil) && f.random.Float64() < 0.05 {
			lost++
			return true
		}
		return false
	}
	f.startLoad(false)
	f.run(10 * time.Second)
	measure := func(when string, span time.Duration) (checksumCount, requestCount int) {
		checksums, requested = 0, 0
		f.run(f.now + span)
		t.Logf("%s: %d checksums sent, %d full demands requested", when, checksums, requested)
		return checksums, requested
	}
	if checksums, requested := measure("nothing lost", 60*time.Second); checksums == 0 || requested > checksums/50 {
		t.Errorf("nothing lost: got %d full demands requested for %d checksums, want at most one in 50", requested, checksums)
	}
	losing = true
	if _, requested := measure("one in 20 lost", 20*time.Second); requested == 0 {
		t.Errorf("with %d messages lost: no full demand was requested", lost)
	}
	losing = false
	f.run(f.now + 5*time.Second)
	if checksums, requested := measure("after losses", 30*time.Second); requested > checksums/50 {
		t.Errorf("after losses: got %d full demands requested for %d checksums, want at most one in 50", requested, checksums)
	}
	f.checkInvariants()
}
