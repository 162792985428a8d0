package qlconn

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// _endlessMegabytes is how much an upstream sends at most that never ends a head.
const _endlessMegabytes = 64

// TestHeadWithoutEndIsCut has upstreams send a status line, one field, fields, or
// informational responses without end. The request must fail, and the connection be
// closed, after a bounded number of bytes: one such upstream must not take the
// memory of the process.
func TestHeadWithoutEndIsCut(t *testing.T) {
	for _, c := range []struct {
		name  string
		start string
		chunk string
	}{
		{name: "status line", start: "HTTP/1.1 200 ", chunk: strings.Repeat("x", 64<<10)},
		{name: "one field", start: "HTTP/1.1 200 OK\r\nA: ", chunk: strings.Repeat("x", 64<<10)},
		{name: "fields", start: "HTTP/1.1 200 OK\r\n", chunk: strings.Repeat("A: xxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\n", 2<<10)},
		{name: "informational responses", chunk: strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 2<<10)},
	} {
		sent := make(chan int, 1)
		u := newFakeUpstream(t, func(conn net.Conn, reader *bufio.Reader, _ int64) {
			total := 0
			defer func() { sent <- total }()
			if _, ok := readRequest(reader); !ok {
				return
			}
			if _, err := io.WriteString(conn, c.start); err != nil {
				return
			}
			for total < _endlessMegabytes<<20 {
				n, err := io.WriteString(conn, c.chunk)
				if total += n; err != nil {
					return
				}
			}
		})
		request := u.request("1")
		request.HeadTimeout = 5 * time.Second
		if got, err := sendAndRead(t, newPool(), request); err == nil {
			t.Errorf("%s: got %q, want an error", c.name, got)
		}
		// What the kernel buffers between the two ends is read by nobody.
		if total := <-sent; total > 16<<20 {
			t.Errorf("%s: the upstream could send %d bytes", c.name, total)
		}
	}
}

// TestInformationalResponsesAreSkipped checks that a few responses with status 1xx
// before the response don't fail the request.
func TestInformationalResponsesAreSkipped(t *testing.T) {
	u := newFakeUpstream(t, func(conn net.Conn, reader *bufio.Reader, _ int64) {
		if id, ok := readRequest(reader); ok {
			_, _ = io.WriteString(conn, strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", _maxInformationalResponses)+response(id, "ok"))
		}
	})
	if got, err := sendAndRead(t, newPool(), u.request("1")); got != "ok" {
		t.Errorf("got %q, %v, want ok", got, err)
	}
}
