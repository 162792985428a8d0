package qlcore_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlmember"
	"github.com/quetzallane/quetzallane/pkg/qlcode"
)

// submitKeyed submits a non-repeatable request with an idempotency key at a
// random router. Until the given time it submits the request again at random
// routers: each time one has ended, and sometimes while one is still active.
func (f *fleet) submitKeyed(key string, until time.Duration) {
	n := f.nodes[f.random.IntN(len(f.nodes))]
	f.submit(n, &request{
		customer: customerName(0),
		cost:     20,
		costHint: 20,
		key:      key,
		onEnd: func(*request) {
			if f.now < until {
				f.scheduleAfter(time.Duration(f.random.IntN(400))*time.Millisecond, func() { f.submitKeyed(key, until) })
			}
		},
	})
	if f.random.IntN(4) == 0 && f.now < until {
		f.scheduleAfter(time.Duration(f.random.IntN(30))*time.Millisecond, func() { f.submitKeyed(key, f.now) })
	}
}

// checkAtMostOnce fails the test if a key's request ran twice although the
// second was accepted by a router within the claim window of the first. It
// returns the number of keys whose requests ran. The time of acceptance counts,
// not that of submission: a router that is paused accepts a request when it
// resumes, possibly after the window, as in seed 5 of
// TestKeyedRequestsUnderRandomFaults. See docs/PROOFS.md.
func (f *fleet) checkAtMostOnce(keys int) (ran int) {
	f.t.Helper()
	for i := range keys {
		key := fmt.Sprintf("key-%d", i)
		times := f.executions[key]
		if len(times) > 0 {
			ran++
		}
		for j := 1; j < len(times); j++ {
			if apart := times[j] - times[j-1]; apart < f.config.claimWindow {
				f.t.Errorf("%s ran twice, accepted %v apart, want at most once in %v", key, apart, f.config.claimWindow)
			}
		}
	}
	return ran
}

func newKeyedFleet(t *testing.T, seed uint64) *fleet {
	config := nineRouterConfig(seed, 5*time.Millisecond)
	config.upstreams = 3
	config.customers = []float64{1}
	return newFleet(t, config)
}

// submitKeys submits requests with different keys at an interval, and calls
// between after each.
func (f *fleet) submitKeys(keys int, interval time.Duration, between func(i int)) {
	for i := range keys {
		f.submitKeyed(fmt.Sprintf("key-%d", i), f.now+f.config.claimWindow*3/4)
		f.run(f.now + interval)
		between(i)
	}
	f.run(f.now + 20*time.Second)
}

func TestKeyedRequestsRunOnceWithoutFaults(t *testing.T) {
	t.Parallel()
	f := newKeyedFleet(t, 1)
	f.run(f.config.claimWindow + 3*time.Second)
	const keys = 200
	f.submitKeys(keys, 100*time.Millisecond, func(int) {})
	if got := f.checkAtMostOnce(keys); got != keys {
		t.Errorf("keyed requests that ran: got %d, want %d", got, keys)
	}
	if f.endCounts[qlcode.DuplicateKey] == 0 {
		t.Error("no repeated request was refused as a duplicate")
	}
	f.checkInvariants()
}

// TestKeyedRequestsUnderRandomFaults submits keyed requests during kills,
// restarts without state, pauses and partitions, up to two at a time.
// Executions are counted at the upstreams.
func TestKeyedRequestsUnderRandomFaults(t *testing.T) {
	t.Parallel()
	// In seed 68, a usage home kept a customer at a virtual time that no longer
	// advanced.
	for _, seed := range append(seedRange(), 68) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			f := newKeyedFleet(t, seed)
			f.run(f.config.claimWindow + 3*time.Second)
			const keys = 300
			f.submitKeys(keys, 100*time.Millisecond, func(i int) {
				if i%20 == 10 {
					f.randomFault()
				}
			})
			ran := f.checkAtMostOnce(keys)
			t.Logf("%d of %d keys ran; claims unavailable %d, duplicates %d", ran, keys,
				f.endCounts[qlcode.ClaimUnavailable], f.endCounts[qlcode.DuplicateKey])
			f.checkInvariants()
		})
	}
}

// TestKeyedRequestsWhileRoutersAreReplaced replaces one VM after another with a
// new one, while each router receives the new VM list after a different delay.
func TestKeyedRequestsWhileRoutersAreReplaced(t *testing.T) {
	t.Parallel()
	// In seed 57, both routers that had granted a key were replaced, and the
	// third acceptor did not know of the grant.
	for _, seed := range append(seedRange(), 57) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			f := newKeyedFleet(t, seed)
			f.run(f.config.claimWindow + 3*time.Second)
			const keys = 300
			f.submitKeys(keys, 100*time.Millisecond, func(i int) {
				if i%30 == 15 {
					f.replaceVM(f.random.IntN(len(f.nodes)), fmt.Sprintf("r%d", 10+i))
				}
			})
			ran := f.checkAtMostOnce(keys)
			t.Logf("%d of %d keys ran; claims unavailable %d", ran, keys, f.endCounts[qlcode.ClaimUnavailable])
			f.checkInvariants()
		})
	}
}

// replaceVM kills a router and puts a new VM in its place in the VM list. Each
// router adopts the new list up to three seconds later.
func (f *fleet) replaceVM(i int, id string) {
	f.kill(f.nodes[i])
	fresh := &node{
		id:   id,
		zone: f.nodes[i].zone,
	}
	f.nodes[i] = fresh
	list := f.list
	list.Revision++
	list.Routers = nil
	for _, n := range f.nodes {
		list.Routers = append(list.Routers, qlmember.ListedRouter{
			ID:   n.id,
			Zone: n.zone,
		})
	}
	f.list = list
	f.start(fresh, list, f.configuration)
	for _, n := range f.nodes {
		epoch := n.epoch
		f.scheduleAfter(time.Duration(f.random.IntN(3000))*time.Millisecond, func() {
			f.runOn(n, epoch, func() { n.core.AdoptList(n.clock(f.now), list) })
		})
	}
}

// TestWholeFleetRestartedRunsNothingTwice restarts every router without state
// within the claim window. No acceptor then has a complete claim history, so a
// repeated request must be refused as unavailable instead of running again.
func TestWholeFleetRestartedRunsNothingTwice(t *testing.T) {
	t.Parallel()
	f := newKeyedFleet(t, 9)
	f.run(f.config.claimWindow + 3*time.Second)
	f.submitKeyed("key-0", f.now)
	f.run(f.now + 2*time.Second)
	for _, n := range f.nodes {
		f.kill(n)
		f.start(n, f.list, f.configuration)
	}
	f.run(f.now + 2*time.Second)
	refused := f.endCounts[qlcode.ClaimUnavailable]
	f.submitKeyed("key-0", f.now)
	f.run(f.now + 2*time.Second)
	if got, want := f.checkAtMostOnce(1), 1; got != want {
		t.Errorf("executions: got %d, want %d", got, want)
	}
	if f.endCounts[qlcode.ClaimUnavailable] == refused {
		t.Error("the repeated request was not refused as unavailable")
	}
}

// TestRestartedRouterRegainsClaimHistory restarts one router without state. It
// must copy the claims that it should hold from the other acceptors, and so
// have a complete claim history long before a claim window has passed.
func TestRestartedRouterRegainsClaimHistory(t *testing.T) {
	t.Parallel()
	f := newKeyedFleet(t, 3)
	f.run(f.config.claimWindow + 3*time.Second)
	n := f.nodes[2]
	f.kill(n)
	f.start(n, f.list, f.configuration)
	f.run(f.now + 3*time.Second)
	if !n.core.State().HistoryComplete {
		t.Errorf("%s has no complete claim history %v after its start, want one within 3s", n.id, 3*time.Second)
	}
}
