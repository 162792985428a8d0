package qlforward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// writeStream returns a function that writes a stream's head and bytes as they are, and
// then closes the connection, or resets it.
func writeStream(framing, bytes string, reset bool) func(net.Conn, *http.Request) {
	return func(conn net.Conn, request *http.Request) {
		writeHead(conn, request, framing)
		_, _ = io.WriteString(conn, bytes)
		if tcp, ok := conn.(*net.TCPConn); ok && reset {
			_ = tcp.SetLinger(0)
		}
	}
}

func chunk(text string) string {
	return fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
}

const (
	_event1    = "id: 1\ndata: x\n\n"
	_event2    = "id: 2\ndata: x\n\n"
	_halfEvent = "id: 3\nda"
	_lastChunk = "0\r\n\r\n"
)

// TestStreamThatEndsWithinAnEventIsBroken guards against streams that break off and look
// complete to the caller: without a length or chunks, the end of the connection is the
// only end, and a crash ends it, too. Streams that end between events are whole.
func TestStreamThatEndsWithinAnEventIsBroken(t *testing.T) {
	for _, c := range []struct {
		name    string
		framing string
		bytes   string
		reset   bool
		whole   bool
	}{
		{name: "unframed, whole", bytes: _event1 + _event2, whole: true},
		{name: "unframed, within an event", bytes: _event1 + _event2 + _halfEvent},
		{name: "unframed, no event", bytes: ""},
		{name: "unframed, within the first event", bytes: _halfEvent},
		{name: "unframed, reset", bytes: _event1 + _event2, reset: true},
		{name: "chunked, whole", framing: _chunked, bytes: chunk(_event1+_event2) + _lastChunk, whole: true},
		{name: "chunked, whole, an empty line more", framing: _chunked, bytes: chunk(_event1+_event2+"\n") + _lastChunk, whole: true},
		{name: "chunked, last chunk within an event", framing: _chunked, bytes: chunk(_event1+_halfEvent) + _lastChunk},
		{name: "chunked, no last chunk", framing: _chunked, bytes: chunk(_event1)},
		{name: "length, whole", framing: fmt.Sprintf("Content-Length: %d\r\n", len(_event1)), bytes: _event1, whole: true},
		{name: "length, within an event", framing: fmt.Sprintf("Content-Length: %d\r\n", len(_event1+_halfEvent)), bytes: _event1 + _halfEvent},
		{name: "length, too short", framing: fmt.Sprintf("Content-Length: %d\r\n", len(_event1)+1), bytes: _event1},
	} {
		h := newHarness(t, newFakeUpstream(t, "u1", writeStream(c.framing, c.bytes, c.reset)))
		got := h.send(t, "POST", "/chat/x", promptHeaders(), "body")
		if whole := got.status == http.StatusOK && got.err == nil; whole != c.whole {
			t.Errorf("%s: got status %d, body %q, error %v, want it to look complete: %v", c.name, got.status, got.body, got.err, c.whole)
		}
		if strings.Contains(got.body, "id: 3") {
			t.Errorf("%s: got body %q, want no part of an event", c.name, got.body)
		}
	}
}

// TestUnframedStreamIsResumed has an engine crash within an event of a stream without a
// length or chunks. The stream must go on at another engine, without a gap.
func TestUnframedStreamIsResumed(t *testing.T) {
	u1 := newFakeUpstream(t, "u1", writeStream("", _event1+"id: 2\nda", false))
	u2 := newFakeUpstream(t, "u2", writeStream("", _event2, false))
	got := newHarness(t, u1, u2).send(t, "POST", "/resume/x", promptHeaders(), "body")
	if want := _event1 + _event2; got.body != want || got.err != nil {
		t.Errorf("got %q, %v, want %q", got.body, got.err, want)
	}
}

// TestOldCallerSeesBrokenUnframedStream has a caller with HTTP/1.0, whose answer ends with
// its connection. A stream that breaks off must end by a reset.
func TestOldCallerSeesBrokenUnframedStream(t *testing.T) {
	for _, c := range []struct {
		name  string
		bytes string
		whole bool
	}{
		{name: "whole", bytes: _event1 + _event2, whole: true},
		{name: "within an event", bytes: _event1 + _halfEvent},
	} {
		h := newHarness(t, newFakeUpstream(t, "u1", writeStream("", c.bytes, false)))
		conn, err := net.Dial("tcp", h.server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = fmt.Fprintf(conn, "POST /chat/x HTTP/1.0\r\nHost: 127.0.0.1\r\nId: i1\r\nKey: k1\r\n%s: 1\r\nContent-Length: 4\r\n\r\nbody", _promptHeader)
		body, err := io.ReadAll(bufio.NewReader(conn))
		_ = conn.Close()
		if (err == nil) != c.whole {
			t.Errorf("%s: got %q, error %v, want the answer to look complete: %v", c.name, body, err, c.whole)
		}
	}
}
