package qloffload

import (
	"testing"
	"time"
)

// TestStopWaitsForRequestThatIsBeingOffloaded guards against a planned stop that finds no
// offloaded request and closes the connection of one that is just being sent.
func TestStopWaitsForRequestThatIsBeingOffloaded(t *testing.T) {
	f := newTestFleet(t)
	f.awaitOutcome(f.startHeld("/plain"), Answered)
	clock, calls := f.offloader.config.Clock, 0
	f.offloader.config.Clock = func() time.Duration {
		// The link is chosen: the request passed the check for a stop.
		if calls++; calls == 1 {
			f.offloader.SetClosing()
			if got, want := f.offloader.Active(), int64(1); got != want {
				t.Errorf("active requests when the stop begins: got %d, want %d", got, want)
			}
		}
		return clock()
	}
	_, a := f.start(get("/plain"))
	if calls == 0 {
		t.Error("no link was chosen")
	}
	f.awaitOutcome(a, Answered)
	if got, want := f.offloader.Active(), int64(0); got != want {
		t.Errorf("active requests: got %d, want %d", got, want)
	}
	if f.offloader.Start([]byte(get("/plain")), Stamp{}, Caller{}) != nil {
		t.Error("a request was offloaded after the stop began")
	}
	if got, want := f.offloader.Active(), int64(0); got != want {
		t.Errorf("active requests after one that was not sent: got %d, want %d", got, want)
	}
}
