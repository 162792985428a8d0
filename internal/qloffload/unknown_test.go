package qloffload

import (
	"testing"
	"time"
)

const _testUnknownOutcome = "the outcome is unknown"

// newAnsweringFleet returns a fleet that answers requests whose outcome is unknown.
func newAnsweringFleet(t *testing.T) *testFleet {
	t.Helper()
	f := newTestFleet(t)
	f.offloader.config.UnknownOutcome = func() []byte { return []byte(_testUnknownOutcome) }
	return f
}

// startHeld starts a request and waits until the other router handles it.
func (f *testFleet) startHeld(path string) *answer {
	taken := f.server.Taken()
	_, a := f.start(get(path))
	for end := time.Now().Add(2 * time.Second); f.server.Taken() == taken && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	return a
}

func TestRequestWithoutAnswerIsAnsweredWhenLinkBreaks(t *testing.T) {
	f := newAnsweringFleet(t)
	a := f.startHeld("/silent")
	f.server.mu.Lock()
	for l := range f.server.links {
		_ = l.conn.Close()
	}
	f.server.mu.Unlock()
	f.awaitOutcome(a, Answered)
	if got := a.String(); got != _testUnknownOutcome {
		t.Errorf("answer: got %q, want %q", got, _testUnknownOutcome)
	}
}

func TestCutAnswersAndCancelsRequests(t *testing.T) {
	f := newAnsweringFleet(t)
	silent, held := f.startHeld("/silent"), f.startHeld("/held")
	held.awaitText("event 2")
	if got, want := f.offloader.Cut(), int64(2); got != want {
		t.Errorf("cut: got %d, want %d", got, want)
	}
	f.awaitOutcome(silent, Answered)
	if got := silent.String(); got != _testUnknownOutcome {
		t.Errorf("answer: got %q, want %q", got, _testUnknownOutcome)
	}
	f.awaitOutcome(held, Broken)
	for range 2 {
		select {
		case <-f.ended:
		case <-time.After(2 * time.Second):
			t.Error("a request's context did not end within 2 s")
		}
	}
	if got, want := f.offloader.Active(), int64(0); got != want {
		t.Errorf("active requests: got %d, want %d", got, want)
	}
}

func TestStoppingRouterOffloadsNothing(t *testing.T) {
	f := newTestFleet(t)
	f.awaitOutcome(f.startHeld("/plain"), Answered)
	f.offloader.SetClosing()
	if f.offloader.Start([]byte(get("/plain")), Stamp{}, Caller{}) != nil {
		t.Error("a request was offloaded after the stop began")
	}
}
