package qlforward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlengine"
	"github.com/quetzallane/quetzallane/pkg/qlcode"
)

func TestRequestThatCannotEndBeforeStopIsNotSent(t *testing.T) {
	for _, path := range []string{"/look/x", "/order/x", "/chat/x"} {
		u := newFakeUpstream(t, "u1", respond(200, "Signature: s\r\n", "ok"))
		h := newHarness(t, u)
		h.forwarder.SetClosing()
		h.forwarder.SetCutoff(time.Now().Add(50 * time.Millisecond))
		got := h.send(t, http.MethodPost, path, map[string]string{"Prompt": "1"}, "body")
		if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || !got.closed {
			t.Errorf("%s: got %d, Retry-After %q, closed %v, want 503 with a time, closed", path, got.status, got.header.Get("Retry-After"), got.closed)
		}
		if code := got.header.Get(_resultHeader); code != qlcode.Stopping.String() || u.count() != 0 {
			t.Errorf("%s: got code %s after %d sends, want %s and none", path, code, u.count(), qlcode.Stopping)
		}
	}
}

func TestActiveRequestIsAnsweredBeforeStopEnds(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	for _, path := range []string{"/look/x", "/order/x", "/chat/x"} {
		h := newHarness(t, newFakeUpstream(t, "u1", func(net.Conn, *http.Request) { <-release }))
		stop := time.AfterFunc(100*time.Millisecond, func() { h.forwarder.SetCutoff(time.Now().Add(100 * time.Millisecond)) })
		defer stop.Stop()
		began := time.Now()
		got := h.send(t, http.MethodPost, path, map[string]string{"Prompt": "1"}, "body")
		if code := got.header.Get(_resultHeader); got.status != http.StatusGatewayTimeout || code != qlcode.StopCut.String() {
			t.Errorf("%s: got %d, code %s, %v, want 504 and %s", path, got.status, code, got.err, qlcode.StopCut)
		}
		if took := time.Since(began); took > time.Second {
			t.Errorf("%s: answered after %v, want at most 1s", path, took)
		}
		if got := h.forwarder.Cut(); got != 1 {
			t.Errorf("%s: got %d requests cut, want 1", path, got)
		}
		h.mu.Lock()
		if slices.Contains(h.outcomes, qlengine.Failed) {
			t.Errorf("%s: the engine counts as failed", path)
		}
		h.mu.Unlock()
	}
}

func TestUpstreamOfStoppingRouterIsToldTimeLeft(t *testing.T) {
	const left = 700 * time.Millisecond
	u := newFakeUpstream(t, "u1", respond(200, "Signature: s\r\n", "ok"))
	h := newHarness(t, u)
	h.forwarder.SetCutoff(time.Now().Add(left))
	if got := h.send(t, http.MethodPost, "/order/x", nil, "body"); got.status != http.StatusOK || u.count() != 1 {
		t.Fatalf("got %d after %d sends, want 200 after 1", got.status, u.count())
	}
	ms, err := strconv.Atoi(u.requests[0].Header.Get("Remaining-Timeout"))
	if limit := left - _timeoutGrace; err != nil || time.Duration(ms)*time.Millisecond > limit {
		t.Errorf("time limit of the upstream: got %d ms, %v, want at most %v", ms, err, limit)
	}
}

func TestRequestWhoseBodyEndsAfterStopBeganIsNotSent(t *testing.T) {
	for _, path := range []string{"/look/x", "/order/x", "/chat/x"} {
		u := newFakeUpstream(t, "u1", respond(200, "Signature: s\r\n", "ok"))
		h := newHarness(t, u)
		conn, err := net.Dial("tcp", strings.TrimPrefix(h.server.URL, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: 127.0.0.1\r\nId: i1\r\nKey: k1\r\nPrompt: 1\r\nContent-Length: 4\r\n\r\nbo", path); err != nil {
			t.Fatal(err)
		}
		for h.forwarder.Active() == 0 {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(20 * time.Millisecond)
		h.forwarder.SetClosing()
		h.forwarder.SetRefusing()
		if _, err := io.WriteString(conn, "dy"); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		if got := response.StatusCode; got != http.StatusServiceUnavailable || !response.Close || u.count() != 0 {
			t.Errorf("%s: got %d, closed %v after %d sends, want 503, closed and none", path, got, response.Close, u.count())
		}
		_ = response.Body.Close()
	}
}
