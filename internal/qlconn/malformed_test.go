package qlconn

import (
	"bufio"
	"io"
	"net"
	"testing"
)

// TestMalformedHeadBeforeTheResponseIsAnError has an upstream send a malformed head where the pool
// skips responses: an informational one, or one to another request.
func TestMalformedHeadBeforeTheResponseIsAnError(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 103 Early Hints\r\nX Y: z\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nX-Y : z\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + _idHeader + ": 0\r\nX-Y : z\r\nContent-Length: 0\r\n\r\n",
	} {
		u := newFakeUpstream(t, func(conn net.Conn, reader *bufio.Reader, _ int64) {
			if id, ok := readRequest(reader); ok {
				_, _ = io.WriteString(conn, head+response(id, "ok"))
			}
		})
		if got, err := sendAndRead(t, newPool(), u.request("1")); err == nil {
			t.Errorf("%q: got %q and no error, want one", head, got)
		}
	}
}
