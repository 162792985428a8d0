package qladmission

import (
	"testing"
	"time"
)

// TestFloodOfConnectionsDelaysNoOther plays a small VM to which one customer opens thousands
// of connections a second, while requests come on open ones. Callers that leave have to be
// noticed within half a second.
func TestFloodOfConnectionsDelaysNoOther(t *testing.T) {
	const (
		cores        = 0.192
		connections  = 6000
		requests     = 3000
		acceptCost   = 60e-6
		requestCost  = 25e-6
		tick         = time.Millisecond
		wantLag      = 500 * time.Millisecond
		maxQueue     = 192
		measureDelay = 100 * time.Millisecond
	)
	limit := NewAcceptPace(cores)
	backlog, queued, measured, highest := 0.0, 0.0, time.Duration(0), time.Duration(0)
	for now := time.Duration(0); now < 10*time.Second; now += tick {
		lag := time.Duration(backlog / cores * float64(time.Second))
		if now%measureDelay == 0 {
			measured = lag
		}
		queued = min(queued+connections*tick.Seconds(), maxQueue)
		for queued >= 1 && limit.Delay(now, measured) == 0 {
			queued--
			backlog += acceptCost
		}
		backlog += requests * tick.Seconds() * requestCost
		backlog = max(backlog-cores*tick.Seconds(), 0)
		highest = max(highest, lag)
	}
	if highest > wantLag {
		t.Errorf("lag: got up to %v, want %v at most", highest, wantLag)
	}
}

// TestConnectionsAreNotLimitedWithoutLag accepts more connections at once than the limit.
func TestConnectionsAreNotLimitedWithoutLag(t *testing.T) {
	limit := NewAcceptPace(0.192)
	for i := range 5000 {
		if got := limit.Delay(time.Second, time.Millisecond); got != 0 {
			t.Fatalf("connection %d: got a delay of %v, want none", i, got)
		}
	}
}
