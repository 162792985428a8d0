package qlintake

import (
	"sync"
	"testing"

	"github.com/quetzallane/quetzallane/internal/qloffload"
)

// TestDeclinedRequestIsPendingAtEachMoment guards against a connection that looks idle while
// the request on it changes from the other router's to this one's, and back.
func TestDeclinedRequestIsPendingAtEachMoment(t *testing.T) {
	const turns = 200_000
	r := newIdleRace(t)
	caller, conn, err := r.connect()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = caller.Close() }()
	conn.requests.set(_requestHere)
	var running sync.WaitGroup
	ended := make(chan struct{})
	running.Go(func() {
		defer close(ended)
		for range turns {
			conn.requests.set(_requestElsewhere)
			conn.requests.clear(_requestHere)
			newCallerWriter(conn, false).end(qloffload.NotTaken)
		}
	})
	idle := 0
	for done := false; !done; {
		select {
		case <-ended:
			done = true
		default:
		}
		if !conn.RequestPending() {
			idle++
		}
	}
	running.Wait()
	if idle != 0 {
		t.Errorf("the connection looked idle: got %d times, want none", idle)
	}
}
