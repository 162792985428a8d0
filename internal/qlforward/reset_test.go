package qlforward

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestAnswersResetTogetherAreNotComplete has an upstream reset the connections of many answers
// without a length at once. Each request that fails counts the connections that its upstream has
// ended; none of the callers may get a part of an answer that looks complete.
func TestAnswersResetTogetherAreNotComplete(t *testing.T) {
	const requests = 24
	for _, c := range []struct {
		path   string
		header map[string]string
		body   string
	}{
		{path: "/order/x", body: "a part of the answer"},
		{path: "/look/x", body: "a part of the answer"},
		{path: "/find/x", body: "a part of the answer"},
		{path: "/chat/x", header: promptHeaders(), body: _event1 + _event2},
	} {
		var begun atomic.Int64
		crash := make(chan struct{})
		u := newFakeUpstream(t, "u1", func(conn net.Conn, request *http.Request) {
			writeHead(conn, request, "")
			_, _ = io.WriteString(conn, c.body)
			begun.Add(1)
			<-crash
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
		})
		h := newHarness(t, u)
		var ended sync.WaitGroup
		for range requests {
			ended.Go(func() {
				got := h.send(t, http.MethodPost, c.path, c.header, "body")
				if got.status == http.StatusOK && got.err == nil {
					t.Errorf("%s: got the whole answer %q, want none", c.path, got.body)
				}
			})
		}
		for end := time.Now().Add(2 * time.Second); begun.Load() < requests && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		if got := begun.Load(); got < requests {
			t.Errorf("%s: got %d answers begun within 2 s, want %d", c.path, got, requests)
		}
		// Connections that are younger when they end are not counted as lost.
		time.Sleep(150 * time.Millisecond)
		close(crash)
		ended.Wait()
	}
}
