package qlplace

import (
	"fmt"
	"maps"
	"testing"
	"time"
)

// TestCustomerThatAsksThirtyTimesAsMuchGetsNoMore guards against a division of what is left
// among customers above their share that follows how often they ask.
func TestCustomerThatAsksThirtyTimesAsMuchGetsNoMore(t *testing.T) {
	const (
		engines = 70
		begin   = 4 * time.Second
		end     = 12 * time.Second
		// Others that send less than the highest gets have to get nearly all of it, those that
		// send more, nearly the same.
		wantOfDemand  = 0.9
		wantOfHighest = 0.7
	)
	for _, lowerRate := range []float64{150, 300, 450} {
		s := newSim(engines, 1_450_000)
		s.speed.tokensPerSecond = 41_400
		s.segments, s.ownSegments = 200, true
		for i := range 10 {
			s.sendAtRate(fmt.Sprintf("small-%d", i), 10, 0, end)
		}
		s.sendAtRate("lowest", 62, 0, end)
		s.sendAtRate("lower", lowerRate, 0, end)
		s.sendAtRate("highest", 30*lowerRate, 0, end)
		demandBefore, grantedBefore := map[string]float64{}, map[string]float64{}
		s.schedule(begin, func(time.Duration) {
			maps.Copy(demandBefore, s.demand)
			maps.Copy(grantedBefore, s.granted)
		})
		s.run()
		granted := func(customer string) float64 { return s.granted[customer] - grantedBefore[customer] }
		for _, customer := range []string{"lowest", "lower", "small-0"} {
			demand := s.demand[customer] - demandBefore[customer]
			ofDemand, ofHighest := granted(customer)/demand, granted(customer)/granted("highest")
			t.Logf("%s at %v a second: granted %.2f of its demand, %.2f of what the highest was", customer, lowerRate, ofDemand, ofHighest)
			if ofDemand < wantOfDemand && ofHighest < wantOfHighest {
				t.Errorf("%s at %v a second: granted %.2f of its demand and %.2f of what the highest was, want %v or %v at least",
					customer, lowerRate, ofDemand, ofHighest, wantOfDemand, wantOfHighest)
			}
		}
	}
}
