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

// _maxSendAfterLeaving is how long an upstream may still be sent requests after
// it was marked leaving at one router.
const _maxSendAfterLeaving = 5 * time.Second

// utilisation runs the fleet for a time and returns the fraction of slots in
// use.
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

// partition drops all messages between the first count routers and the others.
func (f *fleet) partition(count int) {
	side := make(map[string]bool)
	for _, n := range f.nodes[:count] {
		side[n.id] = true
	}
	f.partitioned = func(a, b string) bool { return side[a] != side[b] }
}

func (f *fleet) heal() { f.partitioned = func(string, string) bool { return false } }

// TestPartition splits the fleet, so that each upstream has two dispatchers,
// one on each side. Each dispatcher sees the other's requests in the upstream's
// load reports, which must limit the overload to twice the slots. No customer
// may starve after the partition heals.
func TestPartition(t *testing.T) {
	t.Parallel()
	config := nineRouterConfig(3, 5*time.Millisecond)
	f := newFleet(t, config)
	f.startLoad(true)
	f.run(20 * time.Second)
	f.partition(3)
	f.run(f.now + 15*time.Second)
	for _, u := range f.upstreams {
		u.peakRunning = u.running
	}
	during := f.utilisation(30 * time.Second)
	worst := 0
	for _, u := range f.upstreams {
		worst = max(worst, u.peakRunning)
	}
	f.heal()
	f.run(f.now + 10*time.Second)
	f.maxSendGap = make(map[string]time.Duration)
	after := f.measure(0, 40*time.Second)
	t.Logf("during: utilisation %.3f, at most %d of %d slots; after: gap %.1f, utilisation %.3f", during, worst, config.slots, after.gap, after.utilisation)
	if want := 2 * config.slots; worst > want {
		t.Errorf("running at one upstream in the partition: got %d, want at most %d", worst, want)
	}
	if want := 0.90; during < want {
		t.Errorf("utilisation in the partition: got %.3f, want at least %.2f", during, want)
	}
	if want := maxGap(); after.gap > want {
		t.Errorf("gap after healing: got %.1f, want at most %.1f", after.gap, want)
	}
	f.checkStarvation()
	f.checkInvariants()
}

// starvationBound returns the longest time for which no request of a customer
// may be sent: the time in which the other customers receive the service that
// makes up for twice qlusage.MaxGapRequests, the time until updates of virtual
// time arrive, and the duration of a request of the largest cost.
// docs/FAIRNESS.md derives it.
func (f *fleet) starvationBound() time.Duration {
	costPerSecond := float64(f.config.upstreams*f.config.slots) / f.config.timePerCost.Seconds()
	requestsPerSecond := costPerSecond / float64(len(f.config.customers)) / _largestCost
	repay := time.Duration(2 * qlusage.MaxGapRequests / requestsPerSecond * float64(time.Second))
	return repay + 2*time.Second + time.Duration(_largestCost*float64(f.config.timePerCost))
}

func (f *fleet) checkStarvation() {
	f.t.Helper()
	want := f.starvationBound()
	for i := range f.config.customers {
		got := max(f.maxSendGap[customerName(i)], f.now-f.lastSendAt[customerName(i)])
		if got > want {
			f.t.Errorf("%s: no request sent for %v, want at most %v", customerName(i), got, want)
		}
	}
}

// TestFloodStarvesNobody has one customer keep thousands of requests waiting,
// while another sends one request at a time, whose wait must stay short.
func TestFloodStarvesNobody(t *testing.T) {
	t.Parallel()
	config := nineRouterConfig(4, 5*time.Millisecond)
	config.customers = []float64{1, 1}
	f := newFleet(t, config)
	for _, n := range f.nodes {
		f.flood(n, 0, 300, f.randomCost)
	}
	f.run(10 * time.Second)
	f.flood(f.nodes[4], 1, 1, f.randomCost)
	f.run(60 * time.Second)
	got, want := f.maxWait[customerName(1)], 2*time.Second
	t.Logf("longest wait of the small customer %v", got)
	if got > want {
		t.Errorf("longest wait of the small customer: got %v, want at most %v", got, want)
	}
	f.checkInvariants()
}

// TestPausedRouterSendsNothingStale pauses routers for longer than their grants
// are valid and resumes them. No request may be sent on a stale grant, neither
// by the router's own invariant check nor by an independent check of the sends.
// Afterwards the slots must be in use as before.
func TestPausedRouterSendsNothingStale(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 5; seed++ {
		f := newFleet(t, nineRouterConfig(seed, 5*time.Millisecond))
		f.startLoad(true)
		f.run(10 * time.Second)
		for i := range 3 {
			n := f.nodes[(int(seed)+i)%len(f.nodes)]
			f.pause(n)
			paused := f.now
			f.run(f.now + time.Duration(2+3*i)*time.Second)
			before := f.sendCount(n)
			f.resume(n)
			f.checkNoStaleSends(n, before, paused)
			f.run(f.now + 8*time.Second)
		}
		after := f.measure(5*time.Second, 20*time.Second)
		if want := 0.97; after.utilisation < want {
			t.Errorf("seed %d: utilisation after the pauses: got %.3f, want at least %.2f", seed, after.utilisation, want)
		}
		f.checkInvariants()
	}
}

func (f *fleet) sendCount(n *node) int {
	count := 0
	for _, r := range f.requests {
		if r.router == n.id {
			count += len(r.sentAt)
		}
	}
	return count
}

// checkNoStaleSends fails the test if a router sent a request at the moment it
// resumed from a pause longer than qldispatch.MaxGrantAge, since all the grants
// that it held had become too old.
func (f *fleet) checkNoStaleSends(n *node, before int, paused time.Duration) {
	f.t.Helper()
	if f.now-paused <= qldispatch.MaxGrantAge {
		return
	}
	stale := 0
	for _, r := range f.requests {
		for _, at := range r.sentAt {
			if r.router == n.id && at == f.now && at-paused > qldispatch.MaxGrantAge {
				stale++
			}
		}
	}
	if got, want := stale, 0; got != want {
		f.t.Errorf("%s sent %d requests as it resumed from its pause (%d before), want none", n.id, got, before)
	}
}

// TestLeavingUpstreamGetsNoNewRequests marks an upstream as leaving in a
// configuration that one router adopts and the others fetch from peers. Soon
// afterwards no requests may be sent to the upstream.
func TestLeavingUpstreamGetsNoNewRequests(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 5; seed++ {
		f := newFleet(t, nineRouterConfig(seed, 5*time.Millisecond))
		f.startLoad(true)
		f.run(10 * time.Second)
		u := f.upstreams[seed]
		u.leaving = true
		next := f.build(2, nil)
		f.runOn(f.nodes[0], 1, func() { f.nodes[0].core.AdoptConfiguration(f.nodes[0].clock(f.now), next) })
		leavingAt := f.now
		f.run(f.now + 20*time.Second)
		if got := u.lastSentAt - leavingAt; got > _maxSendAfterLeaving {
			t.Errorf("seed %d: last request sent %v after leaving, want at most %v", seed, got, _maxSendAfterLeaving)
		}
		if u.running != 0 {
			t.Errorf("seed %d: got %d requests still running, want 0", seed, u.running)
		}
		f.checkInvariants()
	}
}

func TestLaggingLoadReports(t *testing.T) {
	t.Parallel()
	for _, lag := range []time.Duration{0, 2 * time.Second, 4 * time.Second} {
		config := nineRouterConfig(5, 5*time.Millisecond)
		config.loadReportLag = lag
		f := newFleet(t, config)
		f.startLoad(true)
		got := f.measure(10*time.Second, 30*time.Second)
		if want := 0.97; got.utilisation < want {
			t.Errorf("lag %v: utilisation: got %.3f, want at least %.2f", lag, got.utilisation, want)
		}
		for _, u := range f.upstreams {
			if u.peakRunning > u.slots {
				t.Errorf("lag %v: %s ran %d, want at most %d", lag, u.id, u.peakRunning, u.slots)
			}
		}
		f.checkInvariants()
	}
}

// adopt makes one router adopt a configuration; the others fetch it from peers.
func (f *fleet) adopt(next *qlconfig.Configuration) {
	n := f.nodes[0]
	f.runOn(n, n.epoch, func() { n.core.AdoptConfiguration(n.clock(f.now), next) })
}

// TestRandomFaults runs long random schedules of restarts without state, pauses
// and partitions, up to two at a time, under message loss and a flood of
// requests. The cores check their invariants throughout. Afterwards slots must
// be in use again and no customer may starve.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	// In seeds 19 and 62, a usage home whose restart went unnoticed assigned
	// customers a virtual time of 0.
	for _, seed := range append(seedRange(), 19, 62) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			config := nineRouterConfig(seed, 5*time.Millisecond)
			config.loss = float64(seed%3) * 0.01
			f := newFleet(t, config)
			f.startLoad(seed%2 == 0)
			f.run(5 * time.Second)
			for range 8 {
				f.randomFault()
				f.run(f.now + time.Duration(2+f.random.IntN(6))*time.Second)
			}
			f.heal()
			f.run(f.now + 15*time.Second)
			answered := f.answered
			f.maxSendGap = make(map[string]time.Duration)
			got := f.utilisation(20 * time.Second)
			t.Logf("answered %d, then %d; utilisation %.3f", answered, f.answered-answered, got)
			if want := 0.90; got < want {
				t.Errorf("utilisation after the faults: got %.3f, want at least %.2f", got, want)
			}
			f.checkStarvation()
			f.checkInvariants()
		})
	}
}

// randomFault starts one or two faults and schedules their ends.
func (f *fleet) randomFault() {
	for range 1 + f.random.IntN(2) {
		n := f.nodes[f.random.IntN(len(f.nodes))]
		length := time.Duration(500+f.random.IntN(6000)) * time.Millisecond
		switch f.random.IntN(3) {
		case 0:
			f.restart(n, length)
		case 1:
			f.pause(n)
			f.scheduleAfter(length, func() { f.resume(n) })
		case 2:
			f.partition(1 + f.random.IntN(len(f.nodes)-1))
			f.scheduleAfter(length, f.heal)
		}
	}
}

// restart kills a router and starts it without state after a delay. Its callers
// then submit as many requests again as were cut.
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
	f.scheduleAfter(after, func() {
		f.start(n, f.list, f.configuration)
		for i := range f.config.customers {
			f.flood(n, i, returning[customerName(i)], f.randomCost)
		}
	})
}

func TestMaxWaitAndQueueLengthAreEnforced(t *testing.T) {
	t.Parallel()
	config := nineRouterConfig(7, 5*time.Millisecond)
	config.thinkTime = 300 * time.Millisecond
	wait, queue := qljson.Duration(2*time.Second), 10
	config.limits = func(int) qlconfig.Limits {
		return qlconfig.Limits{
			MaxWait:     &wait,
			QueueLength: &queue,
		}
	}
	f := newFleet(t, config)
	for _, n := range f.nodes {
		f.flood(n, 0, 60, f.randomCost)
	}
	f.run(30 * time.Second)
	for _, code := range []qlcode.Code{qlcode.QueueFull, qlcode.Answered} {
		if f.endCounts[code] == 0 {
			t.Errorf("got no request ended with %s, want some", code.Name())
		}
	}
	longest := f.maxWait[customerName(0)]
	if want := wait.Std() + 200*time.Millisecond; longest > want {
		t.Errorf("longest wait of a sent request: got %v, want at most %v", longest, want)
	}
	f.checkInvariants()
}

// TestLostMessagesStallNoRequest loses the first three messages of one kind in
// an otherwise idle fleet, where no later message repairs the loss by chance.
func TestLostMessagesStallNoRequest(t *testing.T) {
	t.Parallel()
	for name, kind := range map[string]func(*qlwire.Message) bool{
		"grant":  func(m *qlwire.Message) bool { return m.GetGrant() != nil },
		"demand": func(m *qlwire.Message) bool { return m.GetDemand() != nil },
		"done":   func(m *qlwire.Message) bool { return m.GetDone() != nil },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			config := nineRouterConfig(1, 5*time.Millisecond)
			config.upstreams = 1
			config.slots = 1
			f := newFleet(t, config)
			lost := 0
			f.dropMessage = func(m *qlwire.Message) bool {
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
			f.checkInvariants()
		})
	}
}
