package qlcore_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qldispatch"
	"github.com/quetzallane/quetzallane/internal/qlusage"
	"github.com/quetzallane/quetzallane/internal/qlwire"
	"github.com/quetzallane/quetzallane/pkg/qlcode"
	"github.com/quetzallane/quetzallane/pkg/qlconfig"
	"github.com/quetzallane/quetzallane/pkg/qljson"
)

// _leaveBound is the brief's "after a few seconds".
const _leaveBound = 5 * time.Second

// utilisation runs for a time and returns the part of slots in use.
func (f *fleet) utilisation(length time.Duration) float64 {
	busy, total := 0, 0
	for end := f.now + length; f.now < end; {
		f.run(f.now + 20*time.Millisecond)
		for _, u := range f.upstreams {
			if u.gone {
				continue
			}
			busy += min(u.running, u.slots)
			total += u.slots
		}
	}
	return float64(busy) / float64(total)
}

// halves cuts the first count routers from the others.
func (f *fleet) halves(count int) {
	side := make(map[string]bool)
	for _, n := range f.nodes[:count] {
		side[n.id] = true
	}
	f.cut = func(a, b string) bool { return side[a] != side[b] }
}

func (f *fleet) heal() { f.cut = func(string, string) bool { return false } }

// TestPartition has two dispatchers for each upstream, one on each side.
// Load reports show each the other's requests: overload is bounded in time,
// and nobody starves when the sides meet again.
func TestPartition(t *testing.T) {
	t.Parallel()
	config := userSize(3, 5*time.Millisecond)
	f := newFleet(t, config)
	f.spread(true)
	f.run(20 * time.Second)
	f.halves(3)
	f.run(f.now + 15*time.Second)
	for _, u := range f.upstreams {
		u.peak = u.running
	}
	during := f.utilisation(30 * time.Second)
	worst := 0
	for _, u := range f.upstreams {
		worst = max(worst, u.peak)
	}
	f.heal()
	f.run(f.now + 10*time.Second)
	f.maxPause = make(map[string]time.Duration)
	after := f.measure(0, 40*time.Second)
	t.Logf("during: utilisation %.3f, at most %d of %d slots; after: gap %.1f, utilisation %.3f", during, worst, config.slots, after.gap, after.utilisation)
	if want := 2 * config.slots; worst > want {
		t.Errorf("running at one upstream in the partition: got %d, want at most %d", worst, want)
	}
	if want := 0.90; during < want {
		t.Errorf("utilisation in the partition: got %.3f, want at least %.2f", during, want)
	}
	if want := gapBound(); after.gap > want {
		t.Errorf("gap after healing: got %.1f, want at most %.1f", after.gap, want)
	}
	f.checkStarvation()
	f.check()
}

// starvationBound is derived in docs/FAIRNESS.md: the time in which the others
// make up for two caps, for news of virtual time to arrive, and for a largest
// request to end.
func (f *fleet) starvationBound() time.Duration {
	seconds := float64(f.config.upstreams*f.config.slots) / f.config.costToTime.Seconds()
	rate := seconds / float64(len(f.config.customers)) / _largest
	repay := time.Duration(2 * qlusage.MaxGapRequests / rate * float64(time.Second))
	return repay + 2*time.Second + time.Duration(_largest*float64(f.config.costToTime))
}

func (f *fleet) checkStarvation() {
	f.t.Helper()
	want := f.starvationBound()
	for i := range f.config.customers {
		got := max(f.maxPause[customerName(i)], f.now-f.lastStart[customerName(i)])
		if got > want {
			f.t.Errorf("%s had nothing sent for %v, want at most %v", customerName(i), got, want)
		}
	}
}

// TestFloodStarvesNobody lets one customer keep thousands of requests
// waiting while another sends one at a time.
func TestFloodStarvesNobody(t *testing.T) {
	t.Parallel()
	config := userSize(4, 5*time.Millisecond)
	config.customers = []float64{1, 1}
	f := newFleet(t, config)
	for _, n := range f.nodes {
		f.flood(n, 0, 300, f.costs)
	}
	f.run(10 * time.Second)
	f.flood(f.nodes[4], 1, 1, f.costs)
	f.run(60 * time.Second)
	got, want := f.maxWait[customerName(1)], 2*time.Second
	t.Logf("longest wait of the small customer %v", got)
	if got > want {
		t.Errorf("longest wait of the small customer: got %v, want at most %v", got, want)
	}
	f.check()
}

// TestFrozenRouterSendsNothingStale pauses routers for longer than their
// grants live and wakes them. The check is the program's own (a stale grant
// sent is a violation) and, independently, that slots are not overcommitted
// for long.
func TestFrozenRouterSendsNothingStale(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 5; seed++ {
		f := newFleet(t, userSize(seed, 5*time.Millisecond))
		f.spread(true)
		f.run(10 * time.Second)
		for i := range 3 {
			n := f.nodes[(int(seed)+i)%len(f.nodes)]
			f.pause(n)
			paused := f.now
			f.run(f.now + time.Duration(2+3*i)*time.Second)
			before := f.sendsOf(n)
			f.resume(n)
			f.checkSends(n, before, paused)
			f.run(f.now + 8*time.Second)
		}
		after := f.measure(5*time.Second, 20*time.Second)
		if want := 0.97; after.utilisation < want {
			t.Errorf("seed %d: utilisation after the pauses: got %.3f, want at least %.2f", seed, after.utilisation, want)
		}
		f.check()
	}
}

func (f *fleet) sendsOf(n *node) int {
	count := 0
	for _, r := range f.requests {
		if r.router == n.id {
			count += len(r.sentAt)
		}
	}
	return count
}

// checkSends fails if a router sent at the moment it woke: all the grants
// that it had were older than they may be.
func (f *fleet) checkSends(n *node, before int, paused time.Duration) {
	f.t.Helper()
	if f.now-paused <= qldispatch.MaxGrantAge {
		return
	}
	own := 0
	for _, r := range f.requests {
		for _, at := range r.sentAt {
			if r.router == n.id && at == f.now && at-paused > qldispatch.MaxGrantAge {
				own++
			}
		}
	}
	if got, want := own, 0; got != want {
		f.t.Errorf("%s sent %d requests as it woke from its pause (%d before), want none", n.id, got, before)
	}
}

// TestLeavingUpstreamGetsNothingNew marks an upstream leaving in the
// configuration on one router only; the others hear of it from peers.
func TestLeavingUpstreamGetsNothingNew(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 5; seed++ {
		f := newFleet(t, userSize(seed, 5*time.Millisecond))
		f.spread(true)
		f.run(10 * time.Second)
		u := f.upstreams[seed]
		u.leaving = true
		next := f.build(2, nil)
		f.on(f.nodes[0], 1, func() { f.nodes[0].core.AdoptConfiguration(f.nodes[0].clock(f.now), next) })
		left := f.now
		f.run(f.now + 20*time.Second)
		if got := u.lastRun - left; got > _leaveBound {
			t.Errorf("seed %d: last request sent %v after leaving, want at most %v", seed, got, _leaveBound)
		}
		if u.running != 0 {
			t.Errorf("seed %d: got %d requests still running, want 0", seed, u.running)
		}
		f.check()
	}
}

func TestLaggingLoadReports(t *testing.T) {
	t.Parallel()
	for _, lag := range []time.Duration{0, 2 * time.Second, 4 * time.Second} {
		config := userSize(5, 5*time.Millisecond)
		config.loadLag = lag
		f := newFleet(t, config)
		f.spread(true)
		got := f.measure(10*time.Second, 30*time.Second)
		if want := 0.97; got.utilisation < want {
			t.Errorf("lag %v: utilisation: got %.3f, want at least %.2f", lag, got.utilisation, want)
		}
		for _, u := range f.upstreams {
			if u.peak > u.slots {
				t.Errorf("lag %v: %s ran %d, want at most %d", lag, u.id, u.peak, u.slots)
			}
		}
		f.check()
	}
}

// adopt gives a configuration to one router; the others hear of it.
func (f *fleet) adopt(next *qlconfig.Configuration) {
	n := f.nodes[0]
	f.on(n, n.epoch, func() { n.core.AdoptConfiguration(n.clock(f.now), next) })
}

// TestRandomFaults runs long random schedules of kills, empty restarts,
// pauses, partitions and loss, two at a time, under a flood, with every
// invariant asserted inside the program.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	// With seeds 19 and 62 a home that had restarted unnoticed put customers at
	// a virtual time of 0.
	for _, seed := range append(seedRange(), 19, 62) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			config := userSize(seed, 5*time.Millisecond)
			config.loss = float64(seed%3) * 0.01
			f := newFleet(t, config)
			f.spread(seed%2 == 0)
			f.run(5 * time.Second)
			for range 8 {
				f.randomFault()
				f.run(f.now + time.Duration(2+f.random.IntN(6))*time.Second)
			}
			f.heal()
			f.run(f.now + 15*time.Second)
			answered := f.answered
			f.maxPause = make(map[string]time.Duration)
			got := f.utilisation(20 * time.Second)
			t.Logf("answered %d, then %d; utilisation %.3f", answered, f.answered-answered, got)
			if want := 0.90; got < want {
				t.Errorf("utilisation after the faults: got %.3f, want at least %.2f", got, want)
			}
			f.checkStarvation()
			f.check()
		})
	}
}

// randomFault starts one or two faults that end by themselves.
func (f *fleet) randomFault() {
	for range 1 + f.random.IntN(2) {
		n := f.nodes[f.random.IntN(len(f.nodes))]
		length := time.Duration(500+f.random.IntN(6000)) * time.Millisecond
		switch f.random.IntN(3) {
		case 0:
			f.restart(n, length)
		case 1:
			f.pause(n)
			f.after(length, func() { f.resume(n) })
		case 2:
			f.halves(1 + f.random.IntN(len(f.nodes)-1))
			f.after(length, f.heal)
		}
	}
}

// restart kills a router and starts it empty; its callers come back.
func (f *fleet) restart(n *node, after time.Duration) {
	if !n.alive {
		return
	}
	returning := make(map[string]int)
	for _, r := range f.requests {
		if r.router == n.id {
			returning[r.customer]++
		}
	}
	f.kill(n)
	f.after(after, func() {
		f.start(n, f.list, f.configuration)
		for i := range f.config.customers {
			f.flood(n, i, returning[customerName(i)], f.costs)
		}
	})
}

func TestDeadlineRefusesTruly(t *testing.T) {
	t.Parallel()
	config := userSize(7, 5*time.Millisecond)
	config.think = 300 * time.Millisecond
	wait, queue := qljson.Duration(2*time.Second), 10
	config.limits = func(int) qlconfig.Limits {
		return qlconfig.Limits{
			MaxWait:     &wait,
			QueueLength: &queue,
		}
	}
	f := newFleet(t, config)
	for _, n := range f.nodes {
		f.flood(n, 0, 60, f.costs)
	}
	f.run(30 * time.Second)
	for _, code := range []qlcode.Code{qlcode.QueueFull, qlcode.Answered} {
		if f.refusedBy[code] == 0 {
			t.Errorf("got no request ended with %s, want some", code.Name())
		}
	}
	longest := f.maxWait[customerName(0)]
	if want := wait.Std() + 200*time.Millisecond; longest > want {
		t.Errorf("longest wait of a sent request: got %v, want at most %v", longest, want)
	}
	f.check()
}

// TestLostMessagesStallNobody loses the first messages of one kind in a fleet
// that is otherwise idle, where no later one makes up for them.
func TestLostMessagesStallNobody(t *testing.T) {
	t.Parallel()
	for name, kind := range map[string]func(*qlwire.Message) bool{
		"grant":  func(m *qlwire.Message) bool { return m.GetGrant() != nil },
		"demand": func(m *qlwire.Message) bool { return m.GetDemand() != nil },
		"done":   func(m *qlwire.Message) bool { return m.GetDone() != nil },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			config := userSize(1, 5*time.Millisecond)
			config.upstreams = 1
			config.slots = 1
			f := newFleet(t, config)
			lost := 0
			f.lose = func(m *qlwire.Message) bool {
				if lost == 3 || !kind(m) {
					return false
				}
				lost++
				return true
			}
			f.run(5 * time.Second)
			for _, n := range f.nodes {
				f.submit(n, &request{
					customer: customerName(0),
					cost:     100,
				})
			}
			f.run(f.now + 60*time.Second)
			if got, want := f.answered, len(f.nodes); got != want {
				t.Errorf("answered: got %d, want %d", got, want)
			}
			if got, want := f.maxWait[customerName(0)], 30*time.Second; got > want {
				t.Errorf("longest wait: got %v, want at most %v", got, want)
			}
			f.check()
		})
	}
}
