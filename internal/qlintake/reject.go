package qlintake

import (
	"io"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qladmission"
	"github.com/quetzallane/quetzallane/internal/qlconn"
)

// _rejectTimeout limits the time to read a request that is rejected and to answer it.
const _rejectTimeout = 20 * time.Millisecond

var errNoData = errors.New("no data has arrived")

// ReadFirst reads the first data of a connection that the server has not read from, within
// the time, or only what has arrived if that is 0. The data is valid until the connection is
// read from or rejected.
func (c *Conn) ReadFirst(within time.Duration) (data []byte, err error) {
	if within <= 0 && !qlconn.HasUnreadBytes(c.TCPConn) {
		return nil, errNoData
	}
	if within > 0 {
		if err := c.SetReadDeadline(time.Now().Add(within)); err != nil {
			return nil, errors.Trace(err)
		}
	}
	if err := c.fill(); err != nil {
		return nil, err
	}
	return c.buffered, errors.Trace(c.SetReadDeadline(time.Time{}))
}

// RefuseFirst decides on the request of a connection that was just accepted, if all of it has
// arrived, and reports whether the request was refused. The connection is closed then. It
// never waits: a flood of connections costs least if those that are refused need no goroutine
// and no wait for data.
func (c *Conn) RefuseFirst() (refused bool, err error) {
	buffer, n, err := c.intake.buffers.TryRead(c.raw)
	if err != nil || buffer == nil {
		return false, err
	}
	c.buffer, c.buffered = buffer, (*buffer)[:n]
	c.requests.set(_requestHere)
	head, length, ok := parse(c.buffered)
	if !ok || length > n {
		return false, nil
	}
	service, customer := c.intake.config.Customer(head)
	c.decided = c.intake.config.Decide(service, customer, c.canOffload(head, length))
	if c.decided != qladmission.Refuse && c.decided != qladmission.RefuseShare {
		return false, nil
	}
	answer, _ := c.intake.config.Refusal(head, c.decided, true)
	c.consume(n)
	err = c.writeAtOnce(answer)
	if closeErr := c.TCPConn.Close(); err == nil {
		err = closeErr
	}
	return true, err
}

// AwaitRequest waits for a request that the server is to serve, and refuses or offloads
// those before it. The first one has to come within the time.
func (c *Conn) AwaitRequest(within time.Duration) error {
	if err := c.SetReadDeadline(time.Now().Add(within)); err != nil {
		return errors.Trace(err)
	}
	return c.nextRequest()
}

// Reject answers the request of which ReadFirst has read the first data, if any, and closes
// the connection. A request that does not arrive whole in time is answered, too.
func (c *Conn) Reject(answer func() []byte) error {
	if len(c.buffered) == 0 {
		return errors.Trace(c.TCPConn.Close())
	}
	_, length, ok := parse(c.buffered)
	if c.remaining = length; !ok {
		c.remaining = len(c.buffered)
	}
	err := c.SetReadDeadline(time.Now().Add(_rejectTimeout))
	if err == nil {
		err = c.readRest()
	}
	whole := ok && err == nil
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		err = c.writeAtOnce(answer())
	}
	if err == nil && !whole {
		err = c.discardRest()
	}
	if closeErr := c.TCPConn.Close(); err == nil {
		err = closeErr
	}
	return errors.Trace(err)
}

// writeAtOnce writes an answer for which the connection has room. It needs no deadline,
// which might have passed when a lagging process gets to write.
func (c *Conn) writeAtOnce(answer []byte) error {
	n, err := c.tryWrite(answer)
	if err == nil && n < len(answer) {
		err = errSlowCaller
	}
	return errors.Trace(err)
}

// discardRest reads what still arrives of a request that was answered before its end. If the
// connection were closed before that, the caller might not see the answer.
func (c *Conn) discardRest() error {
	if err := c.CloseWrite(); err != nil {
		return errors.Trace(err)
	}
	if err := c.SetReadDeadline(time.Now().Add(_rejectTimeout)); err != nil {
		return errors.Trace(err)
	}
	for {
		c.consume(len(c.buffered))
		switch err := c.fill(); {
		case err == io.EOF, errors.Is(err, os.ErrDeadlineExceeded):
			return nil
		case err != nil:
			return err
		}
	}
}
