package qlcore_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlusage"
)

// flood keeps a number of a customer's requests outstanding at a router.
func (f *fleet) flood(n *node, customer, outstanding int, cost func() float64) {
	for range outstanding {
		f.submitNext(n, customer, cost)
	}
}

func (f *fleet) submitNext(n *node, customer int, cost func() float64) {
	actual := cost()
	f.submit(n, &request{
		customer: customerName(customer),
		cost:     actual,
		costHint: actual * (0.1 + 9.9*f.random.Float64()),
		onEnd: func(*request) {
			f.scheduleAfter(f.config.thinkTime, func() {
				if n.alive {
					f.submitNext(n, customer, cost)
				}
			})
		},
	})
}

// randomCost returns a cost from 50 to the largest cost; small costs are more
// frequent.
func (f *fleet) randomCost() float64 {
	u := f.random.Float64()
	return 50 + (_largestCost-50)*u*u
}

type measurement struct {
	gap         float64
	utilisation float64
	bytes       float64
}

// measure runs a backlogged fleet and samples its service every 50 ms. It
// returns the largest gap between any two customers' service divided by their
// shares, in requests of the largest cost; the fraction of slots in use; and
// the control bytes per second that a router sends on average.
func (f *fleet) measure(warm, length time.Duration) measurement {
	f.run(f.now + warm)
	base := f.served()
	bytes, began := f.bytes, f.now
	gapCost, busySlots, totalSlots := 0.0, 0, 0
	for f.now < began+length {
		f.run(f.now + 50*time.Millisecond)
		served := f.served()
		low, high := 0.0, 0.0
		for i, share := range f.config.customers {
			s := (served[customerName(i)] - base[customerName(i)]) / share
			if i == 0 || s < low {
				low = s
			}
			if i == 0 || s > high {
				high = s
			}
		}
		gapCost = max(gapCost, high-low)
		for _, u := range f.upstreams {
			if u.gone {
				continue
			}
			busySlots += min(u.running, u.slots)
			totalSlots += u.slots
		}
	}
	return measurement{
		gap:         gapCost / _largestCost,
		utilisation: float64(busySlots) / float64(totalSlots),
		bytes:       float64(f.bytes-bytes) / length.Seconds() / float64(len(f.nodes)),
	}
}

func nineRouterConfig(seed uint64, zoneDelay time.Duration) fleetConfig {
	return fleetConfig{
		seed:          seed,
		routers:       9,
		zones:         3,
		upstreams:     20,
		slots:         8,
		customers:     []float64{1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1},
		zoneDelay:     zoneDelay,
		loadReportLag: time.Second,
		claimWindow:   10 * time.Second,
		timePerCost:   5 * time.Millisecond,
		thinkTime:     time.Millisecond,
	}
}

// startLoad starts the customers' load, with an equal number of requests at
// each router if even is true. Otherwise customer 0 uses one router only,
// customer 1 all of them, and each other customer two.
func (f *fleet) startLoad(even bool) {
	for i := range f.config.customers {
		for j, n := range f.nodes {
			switch {
			case even, i == 1:
				f.flood(n, i, 3, f.randomCost)
			case i == 0 && j == 0:
				f.flood(n, i, 40, f.randomCost)
			case i > 1 && (j == i%9 || j == (i+4)%9):
				f.flood(n, i, 12, f.randomCost)
			}
		}
	}
}

// maxGap returns the bound on the service gap between two customers, in
// requests of the largest cost: each customer's virtual time is at most
// qlusage.MaxGapRequests from the system virtual time. docs/FAIRNESS.md derives
// the bound and covers cost in flight that is not yet accounted for.
func maxGap() float64 {
	return 2 * qlusage.MaxGapRequests
}

func TestFairServiceWithoutFaults(t *testing.T) {
	t.Parallel()
	for _, even := range []bool{true, false} {
		for _, delay := range []time.Duration{4 * time.Millisecond, 5 * time.Millisecond} {
			t.Run(fmt.Sprintf("even=%v/delay=%v", even, delay), func(t *testing.T) {
				t.Parallel()
				f := newFleet(t, nineRouterConfig(1, delay))
				f.startLoad(even)
				got := f.measure(10*time.Second, 60*time.Second)
				t.Logf("gap %.2f largest requests, utilisation %.4f, %.0f control bytes/s per router", got.gap, got.utilisation, got.bytes)
				if want := maxGap(); got.gap > want {
					t.Errorf("gap: got %.2f largest requests, want at most %.2f", got.gap, want)
				}
				if want := 0.97; got.utilisation < want {
					t.Errorf("utilisation: got %.4f, want at least %.2f", got.utilisation, want)
				}
				f.checkInvariants()
			})
		}
	}
}
