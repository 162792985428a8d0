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

// TestRequestAfterLastAnswerIsNotBegun guards against a request that its caller has sent before
// it has read the answer that ends the connection, and that runs without an answer.
func TestRequestAfterLastAnswerIsNotBegun(t *testing.T) {
	for _, c := range []struct {
		name        string
		path        string
		asksToClose bool
	}{
		{name: "the answer asks to close", path: "/held", asksToClose: true},
		{name: "the answer breaks off", path: "/heldbroken"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newOffloadingServer(t)
			s.asksToClose.Store(c.asksToClose)
			caller := s.dial()
			if _, err := io.WriteString(caller.conn, post(c.path, "", 1)); err != nil {
				t.Fatal(err)
			}
			if _, err := caller.reader.Peek(1); err != nil {
				t.Fatal(err)
			}
			s.handles.Store(true)
			begun := s.begun.Load()
			if _, err := io.WriteString(caller.conn, post("/", "", 2)); err != nil {
				t.Fatal(err)
			}
			// The router reads it by then.
			time.Sleep(50 * time.Millisecond)
			close(s.held)
			first, second := caller.read(), caller.read()
			if got := strings.HasPrefix(first, "there 1"); got != c.asksToClose {
				t.Errorf("first answer: got %q, want it whole: %v", first, c.asksToClose)
			}
			time.Sleep(50 * time.Millisecond)
			if got := s.begun.Load() - begun; got != 0 {
				t.Errorf("requests begun after the last answer: got %d, want none; its caller got %q", got, second)
			}
		})
	}
}

// TestCallerThatDoesNotReadIsReset guards against an answer that waits for its caller without
// end, and against one that ends early and looks whole.
func TestCallerThatDoesNotReadIsReset(t *testing.T) {
	s := newOffloadingServer(t)
	caller := s.dialSlow()
	_ = caller.conn.SetDeadline(time.Now().Add(3 * _answerWriteTimeout))
	if _, err := io.WriteString(caller.conn, post("/large", "", 1)); err != nil {
		t.Fatal(err)
	}
	s.awaitDelivery()
	time.Sleep(_answerWriteTimeout)
	for end := time.Now().Add(_answerWriteTimeout); s.offloader.Delivering() > 0 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	if got := s.offloader.Delivering(); got != 0 {
		t.Errorf("answers that wait: got %d, want none", got)
	}
	if got := caller.read(); strings.HasPrefix(got, "there 1") {
		t.Errorf("got an answer of %d bytes that looks whole", len(got))
	}
}

// TestAnswerGoesOnLongAfterItsCallerWasSlow guards against the time limit for a part that
// waited for its caller, which outlived it and broke off an answer that went on later.
func TestAnswerGoesOnLongAfterItsCallerWasSlow(t *testing.T) {
	s := newOffloadingServer(t)
	caller := s.dialSlow()
	if err := caller.conn.SetDeadline(time.Now().Add(3 * _answerWriteTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(caller.conn, post("/largeheld", "", 1)); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(2 * time.Second); s.offloader.Delivering() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no part of the answer waits for its caller within 2 s")
		}
	}
	time.AfterFunc(_answerWriteTimeout+200*time.Millisecond, func() { close(s.held) })
	if got, want := caller.read(), len("there 1")+_largeBytes; len(got) != want {
		t.Errorf("got %.40q of %d bytes, want %d", got, len(got), want)
	}
}
