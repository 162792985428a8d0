package qlforward

import (
	"io"
	"net"
	"net/http"
	"sync"
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
		var begun sync.WaitGroup
		begun.Add(requests)
		crash := make(chan struct{})
		u := newFakeUpstream(t, "u1", func(conn net.Conn, request *http.Request) {
			writeHead(conn, request, "")
			_, _ = io.WriteString(conn, c.body)
			begun.Done()
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
		begun.Wait()
		// Connections that are younger when they end are not counted as lost.
		time.Sleep(150 * time.Millisecond)
		close(crash)
		ended.Wait()
	}
}
