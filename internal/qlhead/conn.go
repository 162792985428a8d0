package qlhead

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"

	"github.com/juju/errors"
)

var errOldCoding = errors.NotValidf("Transfer-Encoding before HTTP/1.1")

// isOldVersion reports whether a status line is of a version before HTTP/1.1.
func isOldVersion(statusLine []byte) bool {
	version := statusLine[:min(len(statusLine), len("HTTP/1.1"))]
	major, minor, ok := http.ParseHTTPVersion(string(version))
	return ok && (major < 1 || major == 1 && minor < 1)
}

func isTransferEncoding(line []byte) bool {
	name, _, ok := bytes.Cut(line, []byte(":"))
	return ok && strings.EqualFold(string(name), "Transfer-Encoding")
}

func isEndOfHead(line []byte) bool {
	return len(bytes.TrimRight(line, "\r\n")) == 0
}

// headConn is a client's connection. Its Read fails within the head of a response that states a
// transfer coding before HTTP/1.1, since net/http removes that field before its callers see it.
type headConn struct {
	net.Conn
	head head
	// requested is set when the connection has been chosen for a request.
	requested atomic.Bool
}

// Read implements net.Conn.
func (c *headConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	// A response may have begun before its request.
	if c.requested.CompareAndSwap(true, false) && c.head.ended {
		c.head = head{}
	}
	if headErr := c.head.read(p[:n]); headErr != nil {
		return 0, headErr
	}
	return n, err
}

// _lineStart is how many bytes of a line are kept: more than those of a status code or of the name
// of Transfer-Encoding with its colon.
const _lineStart = 32

// head is what has been read of the head of a response, and of informational responses before it.
type head struct {
	// line is the start of the line that has not ended.
	line []byte
	// hasStatus, isOld and isInformational are of the status line, once it has ended.
	hasStatus, isOld, isInformational bool
	ended                             bool
}

// read takes bytes that follow those before, and returns errOldCoding if they are of a malformed head.
func (h *head) read(p []byte) error {
	for len(p) > 0 && !h.ended {
		part, rest, lineEnded := bytes.Cut(p, []byte("\n"))
		h.line = append(h.line, part[:min(len(part), _lineStart-len(h.line))]...)
		if !lineEnded {
			return nil
		}
		if h.isOld && isTransferEncoding(h.line) {
			return errOldCoding
		}
		h.endLine()
		p = rest
	}
	return nil
}

func (h *head) endLine() {
	switch {
	case !h.hasStatus:
		h.hasStatus = true
		h.isOld = isOldVersion(h.line)
		_, status, _ := bytes.Cut(h.line, []byte(" "))
		h.isInformational = bytes.HasPrefix(bytes.TrimLeft(status, " "), []byte("1"))
	case isEndOfHead(h.line) && h.isInformational:
		h.hasStatus = false
	case isEndOfHead(h.line):
		h.ended = true
	}
	h.line = h.line[:0]
}

// dialer returns a function that dials as the base does and returns a headConn.
func dialer(base *http.Transport) func(ctx context.Context, network, address string) (net.Conn, error) {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &headConn{
			Conn: conn,
		}, nil
	}
}

// expectHead tells a connection that the response to a request is next.
func expectHead(info httptrace.GotConnInfo) {
	if conn, ok := info.Conn.(*headConn); ok {
		conn.requested.Store(true)
	}
}
