package qlconn

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
)

// cutAnswer is an answer of which an upstream sends only the first bytes.
type cutAnswer struct {
	name string
	// fields and body follow the status line and the id.
	fields string
	body   string
	// before precedes the answer.
	before string
	// reset is set if the connection is reset instead of closed.
	reset bool
	// reused is set if the connection has had another exchange before.
	reused bool
}

func (c *cutAnswer) text() (answer string, headBytes int) {
	head := c.before + "HTTP/1.1 200 OK\r\n" + _idHeader + ": 1\r\n" + c.fields + "\r\n"
	return head + c.body, len(head)
}

// serveCut sends the answer's first bytes to request 1 and ends the connection; it answers
// other requests.
func (c *cutAnswer) serveCut(conn net.Conn, reader *bufio.Reader, bytes int) {
	for {
		id, ok := readRequest(reader)
		if !ok {
			return
		}
		if id != "1" {
			_, _ = io.WriteString(conn, response(id, "ok"))
			continue
		}
		answer, _ := c.text()
		_, _ = io.WriteString(conn, answer[:bytes])
		if tcp, ok := conn.(*net.TCPConn); ok && c.reset {
			_ = tcp.SetLinger(0)
		}
		return
	}
}

func (c *cutAnswer) check(t *testing.T, bytes int) {
	t.Helper()
	u := newFakeUpstream(t, func(conn net.Conn, reader *bufio.Reader, _ int64) { c.serveCut(conn, reader, bytes) })
	defer func() { _ = u.listener.Close() }()
	p := newPool()
	if c.reused {
		if got, err := sendAndRead(t, p, u.request("0")); got != "ok" {
			t.Fatalf("first answer: got %q, %v, want ok", got, err)
		}
	}
	request := u.request("1")
	request.HeadTimeout = 2 * time.Second
	got, err := sendAndRead(t, p, request)
	answer, headBytes := c.text()
	endsWithConnection := !strings.Contains(c.fields, "Content-Length") && !strings.Contains(c.fields, "Transfer-Encoding")
	mayBeWhole := bytes == len(answer) || endsWithConnection && !c.reset && bytes >= headBytes
	if err == nil && !mayBeWhole {
		t.Errorf("%s, reset %v, reused %v, cut after %q: got %q and no error", c.name, c.reset, c.reused, answer[:bytes], got)
	}
	if bytes == len(answer) && !c.reset && (got != "whole answer" || err != nil) {
		t.Errorf("%s, reused %v: got %q, %v, want the whole answer", c.name, c.reused, got, err)
	}
	if errors.Is(err, ErrNotSent) {
		t.Errorf("%s, reset %v, reused %v, cut after %q: got %v, want it to count as sent", c.name, c.reset, c.reused, answer[:bytes], err)
	}
	if connections := u.connections.Load(); connections != 1 {
		t.Errorf("%s: got %d connections, want 1", c.name, connections)
	}
}

// TestAnswerCutAfterAnyByteIsAnError guards against a cut head or body that is taken for a
// whole answer, and against a request that is taken for unsent after its answer was cut.
func TestAnswerCutAfterAnyByteIsAnError(t *testing.T) {
	early := "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
	for _, c := range []cutAnswer{
		{name: "length", fields: "Content-Length: 12\r\nSignature: 3e.1\r\n", body: "whole answer"},
		{name: "length last", fields: "Signature: 3e.1\r\nContent-Length: 12\r\n", body: "whole answer"},
		{name: "after an informational response", before: early, fields: "Content-Length: 12\r\n", body: "whole answer"},
		{name: "chunks", fields: "Transfer-Encoding: chunked\r\nSignature: 3e.1\r\n", body: "c\r\nwhole answer\r\n0\r\n\r\n"},
		{name: "chunks last", fields: "Signature: 3e.1\r\nTransfer-Encoding: chunked\r\n", body: "c\r\nwhole answer\r\n0\r\n\r\n"},
		{name: "no length", fields: "Signature: 3e.1\r\n", body: "whole answer"},
		{name: "folded field", fields: "Signature: 3e.1\r\n more\r\nContent-Length: 12\r\n", body: "whole answer"},
	} {
		for ending := range 4 {
			ended := c
			ended.reset, ended.reused = ending&1 != 0, ending&2 != 0
			answer, _ := ended.text()
			for bytes := range len(answer) + 1 {
				ended.check(t, bytes)
			}
		}
	}
}

// TestCutHeadWithBareLineEndsIsAnError has upstreams end the lines of a head by LF alone.
func TestCutHeadWithBareLineEndsIsAnError(t *testing.T) {
	head := fmt.Sprintf("HTTP/1.1 200 OK\n%s: 1\nContent-Length: 2\n\n", _idHeader)
	for bytes := range len(head) + 2 {
		u := newFakeUpstream(t, func(conn net.Conn, reader *bufio.Reader, _ int64) {
			if _, ok := readRequest(reader); ok {
				_, _ = io.WriteString(conn, (head + "ok")[:bytes])
			}
		})
		if got, err := sendAndRead(t, newPool(), u.request("1")); err == nil || errors.Is(err, ErrNotSent) {
			t.Errorf("cut after %d bytes: got %q, %v, want an error that is not ErrNotSent", bytes, got, err)
		}
	}
}
