package qlforward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestErrorOfNextEngineStaysOutOfBegunStream guards against the text of an error in the
// middle of a stream, and against a stream that ends as if it were complete.
func TestErrorOfNextEngineStaysOutOfBegunStream(t *testing.T) {
	for _, c := range []struct {
		name  string
		reply func(net.Conn, *http.Request)
	}{
		{name: "failure", reply: respond(500, "Signature: s\r\n", "an error text")},
		{name: "failure with events", reply: respond(500, "Signature: s\r\nContent-Type: text/event-stream\r\n", "id: 3\ndata: an error text\n\n")},
		{name: "refusal", reply: respond(503, "Not-Run: 1\r\n", "an error text")},
		{name: "unsigned failure", reply: respond(502, "", "an error text")},
		{name: "unsigned success", reply: respond(200, "Content-Type: text/event-stream\r\n", "id: 3\ndata: an error text\n\n")},
		{name: "success without events", reply: respond(200, "Signature: s\r\n", "an error text")},
		{name: "success with another event", reply: respond(200, "Signature: s\r\nContent-Type: text/event-stream\r\n", "data: an error text\n\n")},
		{name: "answer to another request", reply: func(conn net.Conn, _ *http.Request) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: other\r\nSignature: s\r\nContent-Length: 13\r\n\r\nan error text")
		}},
		{name: "no HTTP", reply: func(conn net.Conn, _ *http.Request) { _, _ = io.WriteString(conn, "an error text\r\n\r\n") }},
	} {
		h := newHarness(t, newFakeUpstream(t, "a", streamEvents(1, 2, false)), newFakeUpstream(t, "b", c.reply))
		got := h.send(t, http.MethodPost, "/resume/1", promptHeaders(), "x")
		if got.status != http.StatusOK || got.err == nil {
			t.Errorf("%s: got status %d, error %v, want a stream that breaks off", c.name, got.status, got.err)
		}
		if want := "id: 1\ndata: x\n\nid: 2\ndata: x\n\n"; got.body != want {
			t.Errorf("%s: got %q, want %q", c.name, got.body, want)
		}
	}
}

// newKeptUpstream returns an upstream that answers all requests of a connection by the
// function.
func newKeptUpstream(t *testing.T, id string, answer func(conn net.Conn, number int, id string)) *fakeUpstream {
	t.Helper()
	var s *fakeUpstream
	s = newFakeUpstream(t, id, func(conn net.Conn, request *http.Request) {
		reader := bufio.NewReader(conn)
		for number := 1; ; number++ {
			answer(conn, number, request.Header.Get("Id"))
			next, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, next.Body)
			s.mu.Lock()
			s.requests = append(s.requests, next)
			s.mu.Unlock()
			request = next
		}
	})
	return s
}

// TestEarlierRefusalOnceMoreRefusesNothing guards against an upstream's refusal of one
// request that is taken for that of the next one on its connection: the caller would be
// told that a request has not run which runs, or it would run at a second upstream.
func TestEarlierRefusalOnceMoreRefusesNothing(t *testing.T) {
	refusal := func(id string) string {
		return "HTTP/1.1 503 Full\r\n" + id + "Not-Run: 1\r\nContent-Length: 4\r\n\r\nfull"
	}
	for _, c := range []struct {
		name string
		// early is written after the first refusal, late before the second answer.
		early string
		late  string
	}{
		{name: "with the next request", late: refusal("Id: i1\r\n")},
		{name: "twice", late: refusal("Id: i1\r\n") + refusal("Id: i1\r\n")},
		{name: "before the next request", early: refusal("Id: i1\r\n")},
	} {
		a := newKeptUpstream(t, "a", func(conn net.Conn, number int, id string) {
			if number == 1 && id == "i1" {
				_, _ = io.WriteString(conn, refusal("Id: i1\r\n")+c.early)
				return
			}
			_, _ = io.WriteString(conn, c.late)
			time.Sleep(20 * time.Millisecond)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\nContent-Length: 4\r\n\r\ndone", id)
		})
		h := newHarness(t, a)
		if got := h.send(t, http.MethodPost, "/order/1", nil, "x"); got.status != http.StatusServiceUnavailable && got.status != http.StatusTooManyRequests {
			t.Errorf("%s: first: got status %d, want a refusal", c.name, got.status)
		}
		got := h.send(t, http.MethodPost, "/order/1", map[string]string{"Id": "i2"}, "x")
		if got.status != http.StatusOK || !strings.Contains(got.body, "done") {
			t.Errorf("%s: second: got status %d, body %q, want the upstream's answer", c.name, got.status, got.body)
		}
		if got, want := a.count(), 2; got != want {
			t.Errorf("%s: requests at the upstream: got %d, want %d", c.name, got, want)
		}
	}
}

// TestRefusalWithoutIDIsNoPromise sends a refusal that may be that of another request.
func TestRefusalWithoutIDIsNoPromise(t *testing.T) {
	a := newFakeUpstream(t, "a", func(conn net.Conn, _ *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
	})
	b := newFakeUpstream(t, "b", respond(200, "Signature: s\r\n", "done"))
	h := newHarness(t, a, b)
	got := h.send(t, http.MethodPost, "/order/1", nil, "x")
	if a.count() == 1 && got.status != http.StatusBadGateway && got.status != http.StatusGatewayTimeout {
		t.Errorf("got status %d, want 502 or 504: the request may have run", got.status)
	}
	if a.count() == 1 && b.count() != 0 {
		t.Errorf("requests at the second upstream: got %d, want 0", b.count())
	}
}
