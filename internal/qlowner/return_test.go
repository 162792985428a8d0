package qlowner

import (
	"testing"
	"time"
)

// _returnBound is how soon after its start a router has to be known to all others.
const _returnBound = 2 * time.Second

// TestOwnerThatReturnsFromPlannedStopHasNoOtherBeside guards against routers that take an owner
// for leaving for as long as it has not sent each of them a message after its return.
func TestOwnerThatReturnsFromPlannedStopHasNoOtherBeside(t *testing.T) {
	for _, routers := range []int{10, 60, 120} {
		checkReturnFromPlannedStop(t, routers)
	}
}

func checkReturnFromPlannedStop(t *testing.T, routers int) {
	t.Helper()
	const stop = 4 * time.Second
	n := newNetwork(t, routers)
	n.advance(2 * time.Second)
	owner := n.owner()
	askedOwners := func() map[string]int {
		asked := map[string]int{}
		for i, core := range n.cores {
			if core != nil && i != owner {
				asked[core.chooseOwner(n.now, _groupKeyPrefix)]++
			}
		}
		return asked
	}
	n.cores[owner].Leave()
	// Routers that start meanwhile hear of it from others.
	var started []int
	for i := len(n.seeds); len(started) < 2; i++ {
		if i != owner {
			started = append(started, i)
		}
	}
	n.advance(time.Second)
	for _, i := range started {
		n.cores[i] = n.newCore(i, n.ids[i], 1000)
	}
	n.advance(stop - time.Second)
	if asked := askedOwners(); len(asked) != 1 || asked[n.ids[owner]] != 0 {
		t.Errorf("%d routers, owners asked at the end of a planned stop of %s: got %v, want one other", routers, n.ids[owner], asked)
	}
	n.cores[owner] = nil
	n.advance(500 * time.Millisecond)
	n.cores[owner] = n.newCore(owner, n.ids[owner], 1000)
	n.advance(_returnBound)
	if asked := askedOwners(); asked[n.ids[owner]] != routers-1 {
		t.Errorf("%d routers, owners asked %v after the return of %s: got %v, want only that one", routers, _returnBound, n.ids[owner], asked)
	}
}
