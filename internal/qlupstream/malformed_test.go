package qlupstream_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/quetzallane/quetzallane/internal/qlupstream"
	"github.com/quetzallane/quetzallane/pkg/qlcode"
)

// TestMalformedHeadIsNoAnswer has upstreams send heads that HTTP does not allow, before a body and
// before a stream with its end event.
func TestMalformedHeadIsNoAnswer(t *testing.T) {
	const stream = "data: {\"id\":\"q1\"}\n\ndata: [DONE]\n\n"
	for _, c := range []struct {
		name   string
		status string
		fields string
	}{
		{name: "status 000", status: "000 OK"},
		{name: "status 099", status: "099 OK"},
		{name: "status with a sign", status: "+20 OK"},
		{name: "status of four digits", status: "0200 OK"},
		{name: "status 600", status: "600 OK"},
		{name: "status 101", status: "101 Switching Protocols"},
		{name: "space in a name", status: "200 OK", fields: "X Y: z\r\n"},
		{name: "space before a colon", status: "200 OK", fields: "X-Y : z\r\n"},
		{name: "space after Transfer-Encoding", status: "200 OK", fields: "Transfer-Encoding : chunked\r\n"},
		{name: "space after Content-Length", status: "200 OK", fields: "Content-Length : 3\r\n"},
		{name: "control byte in a name", status: "200 OK", fields: "X\x01Y: z\r\n"},
		{name: "control byte in a value", status: "200 OK", fields: "X-Y: \x01\r\n"},
	} {
		for _, contentType := range []string{"text/plain", "text/event-stream"} {
			for _, repeatable := range []bool{false, true} {
				u := newRawUpstream(t, func(conn net.Conn, _ *http.Request, _ int) bool {
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\nX-Request-Id: q1\r\n%sContent-Type: %s\r\nContent-Length: %d\r\n\r\n", c.status, c.fields, contentType, len(stream))
					_, _ = io.WriteString(conn, stream)
					return false
				})
				call := u.call(repeatable)
				events := 0
				call.OnEvent = func(qlupstream.Event) error {
					events++
					return nil
				}
				answer := newSender().Do(context.Background(), call)
				if got, want := answer.Code(), qlcode.UpstreamCut; got != want || !answer.Sent() || events > 0 {
					t.Errorf("%s, %s, repeatable %v: got code %d, %d events, sent %v, want code %d and no event", c.name, contentType, repeatable, got, events, answer.Sent(), want)
				}
			}
		}
	}
}

// TestOldResponseInChunksIsNoAnswer guards against answers that hold the framing of chunks.
func TestOldResponseInChunksIsNoAnswer(t *testing.T) {
	for _, repeatable := range []bool{false, true} {
		u := newRawUpstream(t, func(conn net.Conn, _ *http.Request, _ int) bool {
			_, _ = io.WriteString(conn, "HTTP/1.0 200 OK\r\nX-Request-Id: q1\r\nContent-Length: 12\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n")
			return false
		})
		answer := newSender().Do(context.Background(), u.call(repeatable))
		if got, want := answer.Code(), qlcode.UpstreamCut; got != want || !answer.Sent() {
			t.Errorf("repeatable %v: got code %d, body %q, sent %v, want code %d", repeatable, got, answer.Body(), answer.Sent(), want)
		}
	}
}
