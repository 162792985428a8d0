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
		f.next(n, customer, cost)
	}
}

func (f *fleet) next(n *node, customer int, cost func() float64) {
	actual := cost()
	f.submit(n, &request{
		customer: customerName(customer),
		cost:     actual,
		hint:     actual * (0.1 + 9.9*f.random.Float64()),
		then: func(*request) {
			f.after(f.config.think, func() {
				if n.alive {
					f.next(n, customer, cost)
				}
			})
		},
	})
}

// costs draws from 50 to the largest cost, small ones more often.
func (f *fleet) costs() float64 {
	u := f.random.Float64()
	return 50 + (_largest-50)*u*u
}

type measurement struct {
	gap         float64
	utilisation float64
	bytes       float64
}

// measure runs a backlogged fleet and samples the service gap over all
// pairs, in largest requests, and the use of slots.
func (f *fleet) measure(warm, length time.Duration) measurement {
	f.run(f.now + warm)
	base := f.served()
	bytes, began := f.bytes, f.now
	gap, busy, total := 0.0, 0, 0
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
		gap = max(gap, high-low)
		for _, u := range f.upstreams {
			if u.gone {
				continue
			}
			busy += min(u.running, u.slots)
			total += u.slots
		}
	}
	return measurement{
		gap:         gap / _largest,
		utilisation: float64(busy) / float64(total),
		bytes:       float64(f.bytes-bytes) / length.Seconds() / float64(len(f.nodes)),
	}
}

func userSize(seed uint64, zoneDelay time.Duration) fleetConfig {
	return fleetConfig{
		seed:       seed,
		routers:    9,
		zones:      3,
		upstreams:  20,
		slots:      8,
		customers:  []float64{1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1},
		zoneDelay:  zoneDelay,
		loadLag:    time.Second,
		window:     10 * time.Second,
		costToTime: 5 * time.Millisecond,
		think:      time.Millisecond,
	}
}

// spread places customers on routers: evenly, or customer 0 on one router
// only, customer 1 on all, and the rest on two each.
func (f *fleet) spread(even bool) {
	for i := range f.config.customers {
		for j, n := range f.nodes {
			switch {
			case even, i == 1:
				f.flood(n, i, 3, f.costs)
			case i == 0 && j == 0:
				f.flood(n, i, 40, f.costs)
			case i > 1 && (j == i%9 || j == (i+4)%9):
				f.flood(n, i, 12, f.costs)
			}
		}
	}
}

// gapBound is derived in docs/FAIRNESS.md: two customers each within the cap
// of the system's virtual time, plus what both have in flight unaccounted.
func gapBound() float64 {
	return 2 * qlusage.MaxGapRequests
}

func TestFairServiceWithoutFaults(t *testing.T) {
	t.Parallel()
	for _, even := range []bool{true, false} {
		for _, delay := range []time.Duration{4 * time.Millisecond, 5 * time.Millisecond} {
			t.Run(fmt.Sprintf("even=%v/delay=%v", even, delay), func(t *testing.T) {
				t.Parallel()
				f := newFleet(t, userSize(1, delay))
				f.spread(even)
				got := f.measure(10*time.Second, 60*time.Second)
				t.Logf("gap %.2f largest requests, utilisation %.4f, %.0f control bytes/s per router", got.gap, got.utilisation, got.bytes)
				if want := gapBound(); got.gap > want {
					t.Errorf("gap: got %.2f largest requests, want at most %.2f", got.gap, want)
				}
				if want := 0.97; got.utilisation < want {
					t.Errorf("utilisation: got %.4f, want at least %.2f", got.utilisation, want)
				}
				f.check()
			})
		}
	}
}
