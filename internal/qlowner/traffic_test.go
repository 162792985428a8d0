package qlowner

import (
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlengine"
)

const (
	// _idleBound is what an idle router may send: the target for control is
	// 3 KB a second, most of which is for requests.
	_idleBound = 1000
	// _requestBound is what a request may cost in bytes of all messages: at
	// the target's 23.6 requests a second a node has 2,000 for them.
	_requestBound = 2000 / 23.6 * 4
)

// TestIdleTrafficDoesNotGrowWithTheFleet counts the bytes that a router sends
// when nothing happens.
func TestIdleTrafficDoesNotGrowWithTheFleet(t *testing.T) {
	for _, routers := range []int{7, 30, 62} {
		n := newNetwork(t, routers)
		n.run(10 * time.Second)
		n.bytes = 0
		const span = 10 * time.Second
		n.run(span)
		perSecond := float64(n.bytes) / float64(routers) / span.Seconds()
		t.Logf("%d routers: %.0f B/s each", routers, perSecond)
		if perSecond > _idleBound {
			t.Errorf("%d routers: got %.0f B/s each, want %d at most", routers, perSecond, _idleBound)
		}
	}
}

// TestTrafficOfARequest counts the bytes that a request takes from question to
// end.
func TestTrafficOfARequest(t *testing.T) {
	n := newNetwork(t, 7)
	asker := (n.owner() + 1) % 7
	n.run(5 * time.Second)
	n.bytes = 0
	n.run(time.Second)
	idle := n.bytes
	n.bytes = 0
	const requests = 50
	for request := range uint64(requests) {
		n.ask(asker, 1<<40+request)
		n.run(20 * time.Millisecond)
		n.cores[asker].FirstEvent(n.now, 1<<40+request)
		n.cores[asker].End(n.now, 1<<40+request, qlengine.Completed)
	}
	perRequest := float64(n.bytes-idle) / requests
	t.Logf("%.0f B a request", perRequest)
	if perRequest > _requestBound {
		t.Errorf("got %.0f B a request, want %.0f at most", perRequest, _requestBound)
	}
}
