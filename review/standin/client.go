package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// _chunkBytes is the size of the chunks of a body.
const _chunkBytes = 16 << 10

// newID returns the id of a client attempt.
func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// call is one attempt of a client on a connection of its own.
type call struct {
	method  string
	host    string
	path    string
	id      string
	header  []string
	body    []byte
	chunked bool
	// sendTime is how long a body in chunks takes to send, since the client's link is slow.
	sendTime time.Duration
	wait     time.Duration
}

// result is what the client has seen.
type result struct {
	status    int
	signature string
	body      []byte
	err       error
	// connected is set once the router has accepted the connection.
	connected bool
}

func (c *call) head() string {
	var b strings.Builder
	fmt.Fprintf(&b, wire("%s %s HTTP/1.1\r\nHost: %s\r\n{attempt-id}: %s\r\n{deadline}: %d\r\n"), c.method, c.path, c.host, c.id, c.wait.Milliseconds())
	for _, line := range c.header {
		b.WriteString(line + "\r\n")
	}
	switch {
	case c.chunked:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case len(c.body) > 0:
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(c.body))
	}
	b.WriteString("\r\n")
	return b.String()
}

// send makes the attempt. A client allows a connection one second to be established.
func (c *call) send(address string) result {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = conn.Close() }()
	return c.sendOn(conn, bufio.NewReader(conn))
}

func (c *call) sendOn(conn net.Conn, reader *bufio.Reader) result {
	_ = conn.SetDeadline(time.Now().Add(c.wait))
	written := make(chan struct{})
	go func() {
		defer close(written)
		if _, err := io.WriteString(conn, c.head()); err != nil {
			return
		}
		if !c.chunked && c.sendTime == 0 {
			_, _ = conn.Write(c.body)
			return
		}
		pause := c.sendTime * _chunkBytes / time.Duration(max(len(c.body), 1))
		for rest := c.body; len(rest) > 0; time.Sleep(pause) {
			part := rest[:min(len(rest), _chunkBytes)]
			rest = rest[len(part):]
			if !c.chunked {
				if _, err := conn.Write(part); err != nil {
					return
				}
				continue
			}
			if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(part), part); err != nil {
				return
			}
		}
		if c.chunked {
			_, _ = io.WriteString(conn, "0\r\n\r\n")
		}
	}()
	response, err := http.ReadResponse(reader, &http.Request{Method: c.method})
	if err != nil {
		return result{err: err, connected: true}
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	return result{
		status:    response.StatusCode,
		signature: response.Header.Get(wire("{signature}")),
		body:      body,
		err:       err,
		connected: true,
	}
}
