package qlintake

import (
	"io"
	"strings"
	"testing"
	"time"
)

// TestLateEndOfAnswerLeavesNextRequestAlone guards against an offloaded answer whose end is
// handled only once its caller has read all of it and has sent the next request: that one's
// connection got the deadline of an idle one.
func TestLateEndOfAnswerLeavesNextRequestAlone(t *testing.T) {
	for name, handles := range map[string]bool{
		"next request served here": true,
		"next request offloaded":   false,
	} {
		t.Run(name, func(t *testing.T) {
			s := newOffloadingServer(t)
			s.idleTimeout.Store(int64(_work / 3))
			caller := s.dialSlow()
			if _, err := io.WriteString(caller.conn, post("/large", "", 1)); err != nil {
				t.Fatal(err)
			}
			s.awaitDelivery()
			s.lateEnd.Store(int64(50 * time.Millisecond))
			if got, want := len(caller.read()), len("there 1")+_largeBytes; got != want {
				t.Fatalf("first answer: got %d bytes, want %d", got, want)
			}
			s.handles.Store(handles)
			want, wantBytes := "there 2", len("there 2")+_largeBytes
			if handles {
				want, wantBytes = "here 2", len("here 2")
			}
			if _, err := io.WriteString(caller.conn, post("/work", "", 2)); err != nil {
				t.Fatal(err)
			}
			// The caller reads late again: the deadline passes while its answer waits.
			time.Sleep(_work + _work/6)
			if got := caller.read(); !strings.HasPrefix(got, want) || len(got) != wantBytes {
				t.Errorf("next answer: got %.20q of %d bytes, want %q of %d", got, len(got), want, wantBytes)
			}
			if got := caller.ask(post("/", "", 3)); !strings.HasSuffix(got, "here 3") && got != "there 3" {
				t.Errorf("request after that: got %q, want it answered", got)
			}
		})
	}
}
