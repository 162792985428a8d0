package qlintake

import (
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qlconn"
	"github.com/quetzallane/quetzallane/internal/qlmemory"
	"github.com/quetzallane/quetzallane/internal/qloffload"
)

const (
	// _answerWriteTimeout limits the time to write a part of another router's answer to a
	// caller that does not read it.
	_answerWriteTimeout = 5 * time.Second
	// _maxPendingBytes bounds the part of an answer that waits for that. What exceeds
	// _pendingAllowanceBytes counts for all answers together.
	_maxPendingBytes       = 1 << 20
	_pendingAllowanceBytes = 16 << 10
)

// offload passes the current request on to another router, and waits for the end of the
// answer and for the caller's next request. It reports false if the request is to be
// served here; it is then unchanged.
func (c *Conn) offload(head Head, service, customer string) (served bool, err error) {
	deadline := c.deadline(head)
	if err := c.readWhole(); err != nil {
		c.intake.config.recordLeft(service, customer)
		return false, err
	}
	if len(c.buffered) > c.remaining {
		// The caller does not wait for answers. The server keeps them in order.
		c.intake.config.Offloader.CountKept(qloffload.Pipelined)
		return false, nil
	}
	if qlconn.ClosedByPeer(c.TCPConn) {
		// The request has waited here until its caller gave up.
		c.intake.config.recordLeft(service, customer)
		return false, io.EOF
	}
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		return false, errors.Trace(err)
	}
	c.intake.config.pause()
	c.requests.set(_requestElsewhere)
	c.requests.clear(_requestHere)
	c.intake.config.pause()
	c.intake.config.OnState(c, http.StateActive)
	stamp := c.intake.config.Stamp()
	w := newCallerWriter(c, stamp.AskToClose)
	// The writer holds the request from here on: the answer may begin at once.
	request, buffered := c.buffer, c.buffered
	c.buffer, c.buffered, w.request = nil, nil, request
	exchange := c.intake.config.Offloader.Start(buffered, stamp, qloffload.Caller{
		Write:     w.write,
		Finish:    w.finish,
		OverShare: func() { c.intake.config.OnOverShare(service, customer) },
		Deadline:  deadline,
	})
	if exchange == nil {
		c.buffer, c.buffered = request, buffered
		c.requests.set(_requestHere)
		c.requests.clear(_requestElsewhere)
		return false, c.resetReadDeadline()
	}
	return c.awaitExchange(exchange, w, buffered)
}

// deadline returns until when the answer to a request is waited for, or zero.
func (c *Conn) deadline(head Head) time.Time {
	if c.intake.config.TimeLimit == nil {
		return time.Time{}
	}
	limit := c.intake.config.TimeLimit(head)
	if limit == 0 {
		return time.Time{}
	}
	return time.Now().Add(limit)
}

// canOffload reports whether a request of the length can be passed on at all. The answer to a
// HEAD request states a length, but has no body.
func (c *Conn) canOffload(head Head, length int) bool {
	return c.intake.config.Offloader != nil && length <= qloffload.MaxRequestBytes &&
		len(head) > len(_headMethod) && string(head[:len(_headMethod)]) != _headMethod
}

const _headMethod = "HEAD "

// readWhole reads the rest of the current request into the buffer.
func (c *Conn) readWhole() error {
	if len(c.buffered) >= c.remaining {
		return nil
	}
	if c.remaining > len(*c.buffer) || len(c.buffered) != len(*c.buffer) && &c.buffered[0] != &(*c.buffer)[0] {
		whole := make([]byte, max(c.remaining, c.intake.buffers.Size()+1))
		n := copy(whole, c.buffered)
		c.intake.buffers.Put(c.buffer)
		c.buffer, c.buffered = &whole, whole[:n]
	}
	n := len(c.buffered)
	for n < c.remaining {
		read, err := c.TCPConn.Read((*c.buffer)[n:])
		n += read
		c.buffered = (*c.buffer)[:n]
		if err != nil {
			return err
		}
	}
	return nil
}

// awaitExchange waits until the caller sends its next request or disconnects, or until the
// other router declines the request.
func (c *Conn) awaitExchange(exchange *qloffload.Exchange, w *callerWriter, buffered []byte) (served bool, err error) {
	fillErr := c.fill()
	woken := errors.Is(fillErr, os.ErrDeadlineExceeded)
	if fillErr != nil && !woken {
		exchange.Cancel()
	}
	<-exchange.Done()
	// A part of the answer may still wait for the caller. The next request is not begun before
	// its end: both would write to the connection and set its state.
	<-w.ended
	c.intake.config.pause()
	request := w.takeRequest()
	if w.closed && fillErr == nil {
		// The next request would get no answer.
		fillErr = net.ErrClosed
	}
	if exchange.Outcome() != qloffload.NotTaken || fillErr != nil && !woken {
		if request != nil {
			c.intake.buffers.Put(request)
		}
		c.remaining = 0
		return true, fillErr
	}
	if request == nil {
		// The other router has declined a request whose answer it had begun.
		return true, errors.Trace(io.ErrUnexpectedEOF)
	}
	if fillErr == nil {
		buffered = append(buffered, c.buffered...)
		c.intake.buffers.Put(c.buffer)
	}
	c.buffer, c.buffered = request, buffered
	c.requests.set(_requestHere)
	return false, c.resetReadDeadline()
}

// resetReadDeadline sets the deadline for the rest of the current request.
func (c *Conn) resetReadDeadline() error {
	return errors.Trace(c.SetReadDeadline(time.Now().Add(c.intake.config.IdleTimeout())))
}

// callerWriter writes another router's answer to a caller. Its functions do not block, since
// many answers come on one link.
type callerWriter struct {
	conn   *Conn
	closes bool

	mu sync.Mutex
	// request is needed until the answer begins: the other router may decline it.
	request *[]byte
	// pending is what the caller has not read yet. A goroutine writes it while writing is
	// set.
	pending []byte
	writing bool
	// holding is the memory of pending and of what is being written; it is released with the
	// end.
	holding  *qlmemory.Holding
	released bool
	// outcome is set once the answer has ended.
	outcome qloffload.Outcome

	endOnce sync.Once
	// ended is closed once the writer does nothing more with the connection. From then on,
	// closed says whether the writer has closed it.
	ended  chan struct{}
	closed bool
}

func newCallerWriter(conn *Conn, closes bool) *callerWriter {
	return &callerWriter{
		conn:    conn,
		closes:  closes,
		holding: conn.intake.pending.NewHolding(_pendingAllowanceBytes),
		ended:   make(chan struct{}),
	}
}

// takeRequest returns the buffer with the request, or nil if the answer has begun.
func (w *callerWriter) takeRequest() *[]byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	request := w.request
	w.request = nil
	return request
}

var errSlowCaller = errors.New("the caller does not read its answer")

// write writes what the caller's connection has room for, and leaves the rest to a
// goroutine.
func (w *callerWriter) write(data []byte) error {
	if request := w.takeRequest(); request != nil {
		w.conn.intake.buffers.Put(request)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.released {
		return net.ErrClosed
	}
	if w.writing {
		if len(w.pending)+len(data) > _maxPendingBytes || w.holding.Add(len(data)) != nil {
			return errSlowCaller
		}
		w.pending = append(w.pending, data...)
		return nil
	}
	n, err := w.conn.tryWrite(data)
	if err != nil || n == len(data) {
		return err
	}
	if w.holding.Set(len(data)-n) != nil {
		return errSlowCaller
	}
	w.pending, w.writing = append([]byte(nil), data[n:]...), true
	endDelivery := w.conn.intake.config.Offloader.BeginDelivery()
	go func() {
		defer endDelivery()
		w.writePending()
	}()
	return nil
}

// tryWrite writes without waiting.
func (c *Conn) tryWrite(data []byte) (int, error) {
	n, writeErr := 0, error(nil)
	err := c.raw.Write(func(descriptor uintptr) bool {
		for {
			n, writeErr = syscall.Write(int(descriptor), data)
			if writeErr != syscall.EINTR {
				return true
			}
		}
	})
	switch {
	case err != nil:
		return 0, errors.Trace(err)
	case writeErr == syscall.EAGAIN:
		return 0, nil
	case writeErr != nil:
		return 0, errors.Trace(writeErr)
	}
	return n, nil
}

func (w *callerWriter) writePending() {
	for {
		w.mu.Lock()
		data := w.pending
		w.pending = nil
		if len(data) == 0 {
			// What comes later is written without waiting, and has no time limit.
			err := w.conn.SetWriteDeadline(time.Time{})
			w.writing = false
			outcome := w.outcome
			w.mu.Unlock()
			switch {
			case err != nil:
				w.end(qloffload.Broken)
			case outcome != 0:
				w.end(outcome)
			}
			return
		}
		w.mu.Unlock()
		err := w.conn.SetWriteDeadline(time.Now().Add(_answerWriteTimeout))
		if err == nil {
			_, err = w.conn.Write(data)
		}
		w.releasePart(len(data))
		if err != nil {
			// The reader notices this and cancels.
			w.end(qloffload.Broken)
			return
		}
	}
}

// releasePart records that a part does not wait any more.
func (w *callerWriter) releasePart(size int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.released {
		// Giving back needs no room.
		_ = w.holding.Add(-size)
	}
}

// finish ends the answer once all of it was written.
func (w *callerWriter) finish(outcome qloffload.Outcome) {
	w.mu.Lock()
	w.outcome = outcome
	writing := w.writing
	w.mu.Unlock()
	if !writing || outcome == qloffload.Broken {
		w.end(outcome)
	}
}

// end ends the wait of the connection's reader for another router's answer. Only its first
// call has an effect.
func (w *callerWriter) end(outcome qloffload.Outcome) {
	w.conn.intake.config.pause()
	w.endOnce.Do(func() {
		defer close(w.ended)
		w.mu.Lock()
		w.released = true
		w.holding.Release()
		w.mu.Unlock()
		w.release(outcome)
	})
}

// release leaves the connection to its reader, or closes it.
func (w *callerWriter) release(outcome qloffload.Outcome) {
	c := w.conn
	if outcome == qloffload.NotTaken {
		c.requests.set(_requestHere)
	}
	c.requests.clear(_requestElsewhere)
	c.intake.config.pause()
	var err error
	switch {
	case outcome == qloffload.NotTaken:
		// The reader wakes up and serves the request.
		if err = c.SetReadDeadline(time.Unix(1, 0)); err == nil {
			return
		}
	case outcome == qloffload.Answered && !w.closes:
		if err = c.resetReadDeadline(); err == nil {
			err = c.SetWriteDeadline(time.Time{})
		}
		if err == nil {
			c.intake.config.OnState(c, http.StateIdle)
			return
		}
	case outcome == qloffload.Broken:
		// An answer that has broken off is reset, so that it does not look complete to a
		// caller that takes the connection's end for its end.
		_ = c.SetLinger(0)
	}
	// The reader returns the error of the closed connection to the server.
	w.closed = true
	_ = c.TCPConn.Close()
}
