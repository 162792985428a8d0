package qlforward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// dripBytes returns a function that writes one whole event and then a byte of the
// next one at each interval, without ever completing it.
func dripBytes(interval time.Duration) func(net.Conn, *http.Request) {
	return func(conn net.Conn, request *http.Request) {
		streamHead := "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
		_, _ = fmt.Fprintf(conn, streamHead, request.Header.Get("Id"))
		_, _ = io.WriteString(conn, "f\r\nid: 1\ndata: x\n\n\r\n")
		for range 10 * time.Second / interval {
			time.Sleep(interval)
			if _, err := io.WriteString(conn, "1\r\nx\r\n"); err != nil {
				return
			}
		}
	}
}

// slowEvents returns a function that writes whole events with pauses.
func slowEvents(events int, pause time.Duration) func(net.Conn, *http.Request) {
	return func(conn net.Conn, request *http.Request) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", request.Header.Get("Id"))
		for n := 1; n <= events; n++ {
			time.Sleep(pause)
			event := fmt.Sprintf("id: %d\ndata: x\n\n", n)
			_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
		}
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
}

// TestStreamThatDripsBytesIsResumed has an engine send a byte now and then, but no
// whole event. That is as good as silence, and the stream must be resumed elsewhere.
func TestStreamThatDripsBytesIsResumed(t *testing.T) {
	u1 := newFakeUpstream(t, "u1", dripBytes(300*time.Millisecond))
	u2 := newFakeUpstream(t, "u2", streamEvents(2, 3, true))
	header := promptHeaders()
	header["Timeout"] = "8000"
	began := time.Now()
	got := newHarness(t, u1, u2).send(t, "POST", "/resume/x", header, "prompt")
	if want := "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n"; got.body != want || got.err != nil {
		t.Errorf("got %q, %v after %v, want %q", got.body, got.err, time.Since(began), want)
	}
}

// TestSlowSoundStreamIsNotCut has an engine pause before each event, for less than
// the time after which an engine counts as silent, but longer than that in all.
func TestSlowSoundStreamIsNotCut(t *testing.T) {
	u1 := newFakeUpstream(t, "u1", slowEvents(3, 600*time.Millisecond))
	u2 := newFakeUpstream(t, "u2", streamEvents(1, 3, true))
	header := promptHeaders()
	header["Timeout"] = "8000"
	got := newHarness(t, u1, u2).send(t, "POST", "/resume/x", header, "prompt")
	if want := "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n"; got.body != want || got.err != nil {
		t.Errorf("got %q, %v, want %q", got.body, got.err, want)
	}
	if got := u2.count(); got != 0 {
		t.Errorf("requests to the second engine: got %d, want none", got)
	}
}

// TestBrokenStreamToOldCallerLooksBroken has a stream to a caller with HTTP/1.0 break
// off. Such an answer ends with its connection, so the caller must find it reset.
func TestBrokenStreamToOldCallerLooksBroken(t *testing.T) {
	for _, c := range []struct {
		name      string
		whole     bool
		wantReset bool
	}{
		{name: "broken", whole: false, wantReset: true},
		{name: "whole", whole: true, wantReset: false},
	} {
		h := newHarness(t, newFakeUpstream(t, "u1", streamEvents(1, 2, c.whole)))
		conn, err := net.Dial("tcp", h.server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		head := "POST /chat/x HTTP/1.0\r\nHost: 127.0.0.1\r\nId: i1\r\nKey: k1\r\nTimeout: 1500\r\nContent-Length: 6\r\n"
		for name, value := range promptHeaders() {
			head += name + ": " + value + "\r\n"
		}
		if _, err := io.WriteString(conn, head+"\r\nprompt"); err != nil {
			t.Fatal(err)
		}
		answer, err := io.ReadAll(conn)
		if got := err != nil; got != c.wantReset {
			t.Errorf("%s: got %q, %v, want a reset connection: %v", c.name, answer, err, c.wantReset)
		}
	}
}
