package qlintake

import (
	"io"
	"testing"
	"time"
)

// rejectAfter sends a part of a request on a connection that is rejected, and returns what
// the caller gets. The answer takes the time to make.
func rejectAfter(t *testing.T, part string, takes time.Duration) string {
	t.Helper()
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	caller, conn, err := newIdleRace(t).connect()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = caller.Close() }()
	if _, err := io.WriteString(caller, part); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.ReadFirst(time.Second); err != nil {
		t.Fatal(err)
	}
	if err := conn.Reject(func() []byte {
		time.Sleep(takes)
		return []byte(refusal)
	}); err != nil {
		t.Errorf("reject: %v", err)
	}
	if err := caller.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(caller)
	if err != nil {
		return err.Error()
	}
	if string(got) == refusal {
		return "refusal"
	}
	return string(got)
}

func TestRejectedRequestIsAnsweredThoughTheProcessorIsLate(t *testing.T) {
	if got, want := rejectAfter(t, post("/", "", 9), 2*_rejectTimeout), "refusal"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

func TestRejectedRequestThatHasArrivedInPartIsAnswered(t *testing.T) {
	for _, part := range []string{post("/", "", 900)[:300], post("/", "", 900)[:20]} {
		if got, want := rejectAfter(t, part, 0), "refusal"; got != want {
			t.Errorf("after %d bytes: got %q, want %q", len(part), got, want)
		}
	}
}
