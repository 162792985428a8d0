package qledge

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestCallerThatEndsItsSideGetsNoFalseAnswer guards against a success, empty or in part, for
// a caller that ends its side of the connection and waits for the answer.
func TestCallerThatEndsItsSideGetsNoFalseAnswer(t *testing.T) {
	for name, offloads := range map[string]bool{"served here": false, "passed on to a router": true} {
		f := newKeptFront(t, keptFrontConfig{
			offloads:      offloads,
			descriptors:   _roomyDescriptors,
			idleTimeout:   time.Minute,
			headerTimeout: time.Minute,
		})
		for _, path := range []string{_orderPath, _lookupPath, _streamPath} {
			t.Run(name+" "+path, func(t *testing.T) {
				checkEndedSide(t, f, path)
			})
		}
	}
}

// checkEndedSide checks the answer for a caller that ends its side while its request runs.
func checkEndedSide(t *testing.T, f *keptFront, path string) {
	t.Helper()
	const work = 300 * time.Millisecond
	caller, err := dialRouter(f.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = caller.conn.Close() }()
	if _, err := io.WriteString(caller.conn, routerRequest(path, path, work)); err != nil {
		t.Fatal(err)
	}
	awaitTrue(func() bool { return f.upstream.runs(path) > 0 })
	tcp, _ := caller.conn.(*net.TCPConn)
	if err := tcp.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	answer := caller.read()
	t.Logf("got status %d, whole %v, %q, %v, %d runs", answer.status, answer.whole, answer.body, answer.err, f.upstream.runs(path))
	if answer.status == http.StatusOK && answer.whole && !strings.HasSuffix(strings.TrimSpace(answer.body), "whole") {
		t.Errorf("got a success %q that looks whole, want an error or the whole answer", answer.body)
	}
	if path != _streamPath && !answer.whole {
		t.Errorf("got no answer: %v", answer.err)
	}
}
