package qloffload

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
)

const (
	// _maxQueueBytes bounds what waits to be sent on a link.
	_maxQueueBytes = 1 << 20
	// _sendTimeout limits the time in which nothing of what is queued is written. It is longer
	// than a lagging router needs to read some.
	_sendTimeout = 10 * time.Second
	// _batchDelay is how long parts of answers after the first wait for others to share a
	// packet with. The offloading router, whose processor is busy, reads once for all.
	_batchDelay = 5 * time.Millisecond
)

var errQueueFull = errors.New("the link's queue is full")

// sendQueue collects frames that are written to a link together. Urgent ones, and all before
// them, are written by the goroutine that adds them as far as the connection has room. On a
// lagging router the goroutine that waits for room runs late, and socket buffers hold little:
// without the others, it would write one buffer each time that it gets to run.
type sendQueue struct {
	conn   *net.TCPConn
	raw    syscall.RawConn
	onTake func()
	// wake has room for one signal that there is something left to write.
	wake chan struct{}

	mu sync.Mutex
	// pending is what is not written yet, and spare the memory for it once that is nothing.
	pending []byte
	spare   []byte
	// written counts all bytes that were written.
	written uint64
	closed  bool
}

// newSendQueue returns an empty queue for a connection. onTake is called, with the queue
// locked, once frames that were queued may have been written.
func newSendQueue(conn *net.TCPConn, onTake func()) (*sendQueue, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &sendQueue{
		conn:   conn,
		raw:    raw,
		onTake: onTake,
		wake:   make(chan struct{}, 1),
	}, nil
}

// add calls build to append a frame. Urgent frames, and those before them, are written at
// once if the connection has room for them.
func (q *sendQueue) add(urgent bool, build func(to []byte) []byte) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.closed && len(q.pending) >= _maxQueueBytes {
		q.tryWrite()
	}
	if !q.closed && len(q.pending) >= _maxQueueBytes {
		return errQueueFull
	}
	return q.addLocked(urgent, build)
}

// addControl queues an urgent frame with a short payload, or none. It has room in a full
// queue: without it, the other router would wait for ever.
func (q *sendQueue) addControl(kind frameKind, id uint32, payload []byte) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.addLocked(true, func(to []byte) []byte { return appendFrame(to, kind, id, payload) })
}

// addLocked queues a frame. The caller holds the lock.
func (q *sendQueue) addLocked(urgent bool, build func(to []byte) []byte) error {
	if q.closed {
		return net.ErrClosed
	}
	wasEmpty := len(q.pending) == 0
	if wasEmpty {
		q.pending = q.spare[:0]
	}
	q.pending = build(q.pending)
	if wasEmpty && cap(q.pending) <= _bufferSize {
		q.spare = q.pending[:0]
	}
	if urgent {
		q.tryWrite()
	}
	if len(q.pending) > 0 {
		q.signal()
	}
	return nil
}

// size returns how many bytes wait to be sent.
func (q *sendQueue) size() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.pending)
}

func (q *sendQueue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
		// A signal is queued already.
	}
}

// tryWrite writes what the connection has room for, also while run waits for room. The
// caller holds the lock.
func (q *sendQueue) tryWrite() {
	var writeErr error
	err := q.raw.Control(func(descriptor uintptr) { writeErr = q.writeTo(int(descriptor)) })
	if err == nil {
		err = writeErr
	}
	if err != nil {
		q.closed = true
		q.pending = nil
		// This wakes the reader of the connection, which ends all requests, and run, which
		// closes it. To close it here would wait for run, which may wait for the lock. It
		// fails on a connection that is closed already.
		_ = q.conn.SetDeadline(time.Unix(1, 0))
		q.signal()
	}
}

// writeTo writes what the connection has room for. The caller holds the lock.
func (q *sendQueue) writeTo(descriptor int) error {
	for len(q.pending) > 0 {
		n, err := syscall.Write(descriptor, q.pending)
		switch {
		case err == syscall.EINTR:
			continue
		case err == syscall.EAGAIN:
			return nil
		case err != nil:
			return errors.Trace(err)
		}
		q.onTake()
		q.pending = q.pending[n:]
		q.written += uint64(n)
	}
	return nil
}

// close ends run after what is queued was written.
func (q *sendQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.signal()
}

// state returns how many bytes were written in all, whether that is all of them, and whether
// the queue is closed.
func (q *sendQueue) state() (written uint64, empty, closed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.written, len(q.pending) == 0, q.closed
}

// run writes frames that were not written at once, until the queue is closed or the
// connection fails.
func (q *sendQueue) run() error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		<-q.wake
		timer.Reset(_batchDelay)
		<-timer.C
		for {
			_, empty, closed := q.state()
			if empty && closed {
				return nil
			}
			if empty {
				break
			}
			if err := q.awaitProgress(); err != nil {
				return errors.Trace(err)
			}
		}
	}
}

// awaitProgress waits until some of what is queued was written, by whichever goroutine.
func (q *sendQueue) awaitProgress() error {
	before, _, _ := q.state()
	if err := q.conn.SetWriteDeadline(time.Now().Add(_sendTimeout)); err != nil {
		return errors.Trace(err)
	}
	var writeErr error
	err := q.raw.Write(func(descriptor uintptr) bool {
		q.mu.Lock()
		defer q.mu.Unlock()
		writeErr = q.writeTo(int(descriptor))
		return writeErr != nil || q.written > before || len(q.pending) == 0
	})
	if err == nil {
		err = writeErr
	}
	if after, _, _ := q.state(); after > before {
		// What the connection does next shows whether it has failed.
		return nil
	}
	return errors.Trace(err)
}
