package qlforward

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// newPauseHarness is like newHarness with a clock and a dialect of two further headers.
func newPauseHarness(t *testing.T, clock *atomic.Int64, upstreams ...*fakeUpstream) *harness {
	t.Helper()
	h := newHarness(t, upstreams...)
	h.forwarder.config.Clock = func() time.Duration { return time.Duration(clock.Load()) }
	h.forwarder.config.Dialect.UpstreamOnly = []string{"Leaving", "Retry-After"}
	read := h.forwarder.config.Dialect.ReadAnswer
	h.forwarder.config.Dialect.ReadAnswer = func(response *http.Response) Answer {
		answer := read(response)
		answer.Leaving = response.Header.Get("Leaving") != ""
		if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil && response.StatusCode == http.StatusServiceUnavailable {
			answer.Pause = time.Duration(seconds) * time.Second
		}
		return answer
	}
	return h
}

func repeat(count int, run func()) {
	for range count {
		run()
	}
}

// TestLeavingUpstreamGetsNoFurtherRequest has an upstream say that it is leaving in one
// answer, and sends 200 more requests, ten at a time.
func TestLeavingUpstreamGetsNoFurtherRequest(t *testing.T) {
	for _, c := range []struct {
		path   string
		header map[string]string
		answer string
	}{
		{path: "/look/1", answer: "Signature: s\r\nLeaving: 1\r\n"},
		{path: "/chat/1", header: promptHeaders(), answer: "Signature: s\r\nLeaving: 1\r\nContent-Type: text/event-stream\r\n"},
	} {
		a := newFakeUpstream(t, "a", respond(200, c.answer, "id: 1\ndata: x\n\n"))
		b := newFakeUpstream(t, "b", respond(200, "Signature: s\r\nContent-Type: text/event-stream\r\n", "id: 1\ndata: x\n\n"))
		h := newPauseHarness(t, &atomic.Int64{}, a, b)
		send := func() {
			if got := h.send(t, http.MethodPost, c.path, c.header, ""); got.status != http.StatusOK || got.header.Get("Leaving") != "" {
				t.Errorf("%s: got status %d, header %v, want 200 without the upstream's own field", c.path, got.status, got.header)
			}
		}
		for end := time.Now().Add(2 * time.Second); a.count() == 0 && time.Now().Before(end); {
			send()
		}
		var running sync.WaitGroup
		for range 10 {
			running.Go(func() { repeat(20, send) })
		}
		running.Wait()
		if got, want := a.count(), 1; got != want {
			t.Errorf("%s: requests at the leaving upstream: got %d, want %d", c.path, got, want)
		}
	}
}

// TestPausedUpstreamsGetNoRequests has all upstreams of a service ask for a pause.
func TestPausedUpstreamsGetNoRequests(t *testing.T) {
	const pause = 20
	refuse := func(conn net.Conn, request *http.Request) {
		respond(503, fmt.Sprintf("Not-Run: 1\r\nRetry-After: %d\r\n", pause), "")(conn, request)
	}
	for _, c := range []struct {
		path   string
		header map[string]string
	}{
		{path: "/look/1"},
		{path: "/chat/1", header: promptHeaders()},
	} {
		clock := &atomic.Int64{}
		a, b := newFakeUpstream(t, "a", refuse), newFakeUpstream(t, "b", refuse)
		h := newPauseHarness(t, clock, a, b)
		for range 50 {
			got := h.send(t, http.MethodPost, c.path, c.header, "")
			if got.status != http.StatusServiceUnavailable && got.status != http.StatusTooManyRequests {
				t.Fatalf("%s: got status %d, want a refusal", c.path, got.status)
			}
		}
		if got, want := a.count()+b.count(), 2; got != want {
			t.Errorf("%s: requests at paused upstreams: got %d, want %d", c.path, got, want)
		}
		clock.Store(int64(5 * time.Second))
		got := h.send(t, http.MethodPost, c.path, c.header, "")
		after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		if err != nil || after < pause-5 || after > (pause-5)*(1+_pauseJitter) {
			t.Errorf("%s: Retry-After: got %q, want %d s, and up to a quarter more", c.path, got.header.Get("Retry-After"), pause-5)
		}
		clock.Store(int64(pause * time.Second))
		h.send(t, http.MethodPost, c.path, c.header, "")
		if got := a.count() + b.count(); got <= 2 {
			t.Errorf("%s: requests after the pause: got %d, want more than 2", c.path, got)
		}
	}
}
