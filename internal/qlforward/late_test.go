package qlforward

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlengine"
)

// TestLaggingRouterDoesNotPenalizeUpstreams has an engine time out. It counts
// as failed, but not while this router is lagging, since then the router may
// have caused the time-out itself.
func TestLaggingRouterDoesNotPenalizeUpstreams(t *testing.T) {
	const silence = 1300 * time.Millisecond
	silent := func(conn net.Conn, _ *http.Request) {
		time.Sleep(silence)
		_ = conn.Close()
	}
	for _, c := range []struct {
		lagging bool
		want    qlengine.Outcome
	}{
		{lagging: false, want: qlengine.Failed},
		{lagging: true, want: qlengine.Abandoned},
	} {
		h := newHarness(t, newFakeUpstream(t, "u1", silent), newFakeUpstream(t, "u2", silent))
		h.forwarder.config.Lagging = func() bool { return c.lagging }
		h.send(t, http.MethodPost, "/resume/x", map[string]string{"Prompt": "1"}, "body")
		h.mu.Lock()
		if len(h.outcomes) == 0 || h.outcomes[0] != c.want {
			t.Errorf("lagging %v: got outcomes %v, want the first %v", c.lagging, h.outcomes, c.want)
		}
		h.mu.Unlock()
	}
}

// TestLaggingRouterDoesNotPaceServices has answers exceed the latency objective
// while this router is lagging. The durations then say nothing about the
// service, so its pacer must not reduce the requests sent.
func TestLaggingRouterDoesNotPaceServices(t *testing.T) {
	h := newHarness(t, newFakeUpstream(t, "u1", func(conn net.Conn, request *http.Request) {
		time.Sleep(110 * time.Millisecond)
		respond(200, "Signature: s\r\nLoad: 6\r\n", "x")(conn, request)
	}))
	h.forwarder.config.Dialect.ReadAnswer = func(_ *http.Response) Answer {
		return Answer{
			Signed:  true,
			HasLoad: true,
			Waiting: 6,
		}
	}
	h.forwarder.config.Lagging = func() bool { return true }
	for range 5 {
		h.send(t, http.MethodGet, "/look/1", nil, "")
	}
	if got, want := h.forwarder.pacer("plain").SendFraction(), 1.0; got != want {
		t.Errorf("fraction of requests sent: got %.2f, want %.2f", got, want)
	}
}

// TestRequestThatRunsOutOfTimeBeforeItIsSentIsRefused guards against work whose caller has
// given up, by a lagging process whose timers fire late. The upstream is not blamed.
func TestRequestThatRunsOutOfTimeBeforeItIsSentIsRefused(t *testing.T) {
	for _, c := range []struct {
		path   string
		header map[string]string
	}{
		{path: "/order/x"},
		{path: "/look/x"},
		{path: "/chat/x", header: promptHeaders()},
	} {
		upstream := newFakeUpstream(t, "u1", respond(200, "Signature: s\r\n", "x"))
		h := newHarness(t, upstream)
		// The last check before the request is sent is late, but the timer is, too.
		h.forwarder.config.CallerLeft = func(context.Context) bool {
			time.Sleep(110 * time.Millisecond)
			return false
		}
		header := map[string]string{"Timeout": "100"}
		for name, value := range c.header {
			header[name] = value
		}
		got := h.send(t, http.MethodPost, c.path, header, "body")
		if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
			t.Errorf("%s: got status %d, Retry-After %q, want 503 with a time", c.path, got.status, got.header.Get("Retry-After"))
		}
		if got := upstream.count(); got != 0 {
			t.Errorf("%s: requests sent: got %d, want none", c.path, got)
		}
		h.mu.Lock()
		for _, outcome := range h.outcomes {
			if outcome != qlengine.Abandoned {
				t.Errorf("%s: outcome at the engine: got %v, want %v", c.path, outcome, qlengine.Abandoned)
			}
		}
		h.mu.Unlock()
	}
}
