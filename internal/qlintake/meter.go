package qlintake

import (
	"net"
	"time"

	"github.com/juju/errors"
)

// Read reads data of the requests that the server is to serve.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.readRequests(p)
	if err != nil || c.reading == nil {
		return n, err
	}
	if err := c.reading.Record(p[:n]); err != nil {
		// The server closes a connection without an answer after such an error.
		return 0, &net.OpError{
			Op:  "read",
			Net: "tcp",
			Err: err,
		}
	}
	return n, nil
}

// _writeStepBytes is how much of an answer a caller has to read within the time, so that one that
// reads slowly, but goes on, gets long answers whole.
const _writeStepBytes = 32 << 10

// Write writes data. The caller has to make room for each step of it within the configured time.
func (c *Conn) Write(p []byte) (written int, err error) {
	timeout := c.intake.config.ReaderTimeout
	if timeout <= 0 {
		return c.TCPConn.Write(p)
	}
	// Most answers find room at once, and need no timer. The steps report an error again.
	if written, err = c.tryWrite(p); err == nil && written == len(p) {
		return written, nil
	}
	for {
		step := p[written:min(written+_writeStepBytes, len(p))]
		n, err := c.writeStep(step, time.Now().Add(timeout))
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// writeStep writes data until the deadline, or the one that was set if that is earlier.
func (c *Conn) writeStep(p []byte, deadline time.Time) (int, error) {
	if own := c.writeDeadline.Load(); own != nil && !own.IsZero() && own.Before(deadline) {
		deadline = *own
	}
	if err := c.TCPConn.SetWriteDeadline(deadline); err != nil {
		return 0, errors.Trace(err)
	}
	return c.TCPConn.Write(p)
}

// SetWriteDeadline sets a time limit in addition to the one of Write.
func (c *Conn) SetWriteDeadline(deadline time.Time) error {
	c.writeDeadline.Store(&deadline)
	return c.TCPConn.SetWriteDeadline(deadline)
}

// EndHead is called when the server has read a request's head. chunked is set if a body without a
// stated length follows.
func (c *Conn) EndHead(chunked bool) {
	if c.reading != nil {
		c.reading.EndHead(chunked)
	}
}

// BeginHead is called when the server awaits the next request.
func (c *Conn) BeginHead() {
	if c.reading != nil {
		c.reading.BeginHead()
	}
}

// Release is called when the server has closed the connection.
func (c *Conn) Release() {
	if c.reading != nil {
		c.reading.Release()
	}
}
