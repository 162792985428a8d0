package qlintake

import (
	"io"
	"testing"
	"time"
)

// TestAnswersThatWaitForCallersAreBounded guards against callers that do not read the answers of
// other routers: each may hold a megabyte, and together they would take the memory of the process.
func TestAnswersThatWaitForCallersAreBounded(t *testing.T) {
	const callers = 12
	s := newOffloadingServer(t)
	for range callers {
		caller := s.dialSlow()
		if _, err := io.WriteString(caller.conn, post("/large", "", 1)); err != nil {
			t.Fatal(err)
		}
	}
	most := int64(0)
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		most = max(most, s.intake.pending.Used())
	}
	if most == 0 || most > _maxPendingSum {
		t.Errorf("%d callers that do not read: got %d bytes, want some and at most %d", callers, most, _maxPendingSum)
	}
	caller := s.dial()
	caller.awaitOffloading()
	if got := caller.ask(post("/", "", 1)); got != "there 1" {
		t.Errorf("another caller: got %q, want %q", got, "there 1")
	}
	for end := time.Now().Add(2 * _answerWriteTimeout); s.intake.pending.Used() > 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("got %d bytes that are held for good", s.intake.pending.Used())
		}
	}
}
