package qlcore_test

import (
	"container/heap"
	"testing"
	"time"
)

// The baselines serve the same customers, costs and load without a fleet: each
// queue has slots of its own, and queues exchange nothing.

type baselineQueue struct {
	slots   int
	running int
	waiting []baselineRequest
	service map[int]float64
	// fair selects the customer with the least service; otherwise requests are
	// served in order of arrival.
	fair bool
}

type baselineRequest struct {
	customer int
	cost     float64
	onEnd    func()
}

type baseline struct {
	fleet  *fleet
	queues []*baselineQueue
	busy   int
}

func (b *baseline) submit(q *baselineQueue, r baselineRequest) {
	q.waiting = append(q.waiting, r)
	b.dispatch(q)
}

func (b *baseline) dispatch(q *baselineQueue) {
	for q.running < q.slots && len(q.waiting) > 0 {
		pick := 0
		for i, r := range q.waiting {
			if q.fair && q.service[r.customer] < q.service[q.waiting[pick].customer] {
				pick = i
			}
		}
		r := q.waiting[pick]
		q.waiting = append(q.waiting[:pick], q.waiting[pick+1:]...)
		q.running++
		q.service[r.customer] += r.cost
		b.busy++
		b.fleet.scheduleAfter(time.Duration(r.cost*float64(b.fleet.config.timePerCost)), func() {
			q.running--
			b.busy--
			b.fleet.servedCost[customerName(r.customer)] += r.cost
			r.onEnd()
			b.dispatch(q)
		})
	}
}

// flood keeps a number of a customer's requests outstanding, like fleet.flood.
func (b *baseline) flood(pick func() *baselineQueue, customer, outstanding int) {
	for range outstanding {
		b.submit(pick(), baselineRequest{
			customer: customer,
			cost:     b.fleet.randomCost(),
			onEnd:    func() { b.flood(pick, customer, 1) },
		})
	}
}

func (b *baseline) measure(warm, length time.Duration) measurement {
	f := b.fleet
	f.run(f.now + warm)
	base := f.served()
	gap, busy, total, slots := 0.0, 0, 0, f.config.upstreams*f.config.slots
	for end := f.now + length; f.now < end; {
		f.run(f.now + 50*time.Millisecond)
		served := f.served()
		for i := range f.config.customers {
			for j := range f.config.customers {
				a := served[customerName(i)] - base[customerName(i)]
				gap = max(gap, a-(served[customerName(j)]-base[customerName(j)]))
			}
		}
		busy += b.busy
		total += slots
	}
	return measurement{
		gap:         gap / _largestCost,
		utilisation: float64(busy) / float64(total),
	}
}

func runBaseline(t *testing.T, policy string, even bool) measurement {
	f := newFleet(t, nineRouterConfig(1, 5*time.Millisecond))
	f.events = nil
	heap.Init(&f.events)
	b := &baseline{
		fleet: f,
	}
	queueCount, slots := 9, 160
	if policy == "random" {
		queueCount = f.config.upstreams
	}
	for i := range queueCount {
		b.queues = append(b.queues, &baselineQueue{
			slots:   slots*(i+1)/queueCount - slots*i/queueCount,
			service: make(map[int]float64),
			fair:    policy != "random",
		})
	}
	pickFor := func(router int) func() *baselineQueue {
		return func() *baselineQueue {
			if policy == "random" {
				return b.queues[f.random.IntN(len(b.queues))]
			}
			return b.queues[router]
		}
	}
	for i := range f.config.customers {
		for j := range 9 {
			switch {
			case even, i == 1:
				b.flood(pickFor(j), i, 3)
			case i == 0 && j == 0:
				b.flood(pickFor(j), i, 40)
			case i > 1 && (j == i%9 || j == (i+4)%9):
				b.flood(pickFor(j), i, 12)
			}
		}
	}
	return b.measure(10*time.Second, 60*time.Second)
}

// TestGapAgainstBaselines checks that under uneven load the fleet's service gap
// is at most a tenth of that of a static division of slots, in which the queues
// exchange nothing. It logs the figures shown in docs/FAIRNESS.md.
func TestGapAgainstBaselines(t *testing.T) {
	t.Parallel()
	for _, even := range []bool{true, false} {
		f := newFleet(t, nineRouterConfig(1, 5*time.Millisecond))
		f.startLoad(even)
		fleet := f.measure(10*time.Second, 60*time.Second)
		static := runBaseline(t, "static", even)
		random := runBaseline(t, "random", even)
		t.Logf("even=%v fleet: gap %.1f utilisation %.4f; static division, no exchange: %.1f %.4f; random: %.1f %.4f",
			even, fleet.gap, fleet.utilisation, static.gap, static.utilisation, random.gap, random.utilisation)
		if got, want := fleet.gap, static.gap/10; !even && got > want {
			t.Errorf("uneven gap: got %.1f, want at most %.1f, a tenth of that without exchange", got, want)
		}
	}
}
