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
	// _sendTimeout limits the time to write what is queued. It is longer than a lagging
	// router needs to read it.
	_sendTimeout = 10 * time.Second
	// _batchDelay is how long parts of answers after the first wait for others to share a
	// packet with. The offloading router, whose processor is busy, reads once for all.
	_batchDelay = 5 * time.Millisecond
)

var errQueueFull = errors.New("the link's queue is full")

// sendQueue collects frames that are written to a link together. Urgent ones are written by
// the goroutine that adds them, so that on a lagging router they don't wait for another one
// to run.
type sendQueue struct {
	conn   *net.TCPConn
	raw    syscall.RawConn
	onTake func()
	// wake has room for one signal that there is something left to write.
	wake chan struct{}

	mu      sync.Mutex
	pending []byte
	// blocked is set while run writes what the connection had no room for.
	blocked bool
	closed  bool
}

// newSendQueue returns an empty queue for a connection. onTake is called, with the queue
// locked, before frames are written.
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
	q.pending = build(q.pending)
	if urgent && !q.blocked {
		q.tryWrite()
	}
	if len(q.pending) > 0 {
		q.signal()
	}
	return nil
}

func (q *sendQueue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
		// A signal is queued already.
	}
}

// tryWrite writes what the connection has room for. The caller holds the lock.
func (q *sendQueue) tryWrite() {
	q.onTake()
	n, writeErr := 0, error(nil)
	err := q.raw.Write(func(descriptor uintptr) bool {
		for {
			n, writeErr = syscall.Write(int(descriptor), q.pending)
			if writeErr != syscall.EINTR {
				return true
			}
		}
	})
	if err != nil || writeErr != nil && writeErr != syscall.EAGAIN {
		// The reader of the connection notices this, and ends all requests.
		q.closed = true
		q.pending = nil
		_ = q.conn.Close()
		q.signal()
		return
	}
	rest := copy(q.pending, q.pending[max(n, 0):])
	q.pending = q.pending[:rest]
	if rest == 0 && cap(q.pending) > _bufferSize {
		q.pending = nil
	}
}

// close ends run after what is queued was written.
func (q *sendQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.signal()
}

// take returns what is to be written.
func (q *sendQueue) take() (data []byte, closed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	data, q.pending = q.pending, nil
	q.blocked = len(data) > 0
	q.onTake()
	return data, q.closed
}

func (q *sendQueue) unblock() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.blocked = false
	if len(q.pending) > 0 {
		q.signal()
	}
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
		data, closed := q.take()
		if len(data) > 0 {
			if err := q.conn.SetWriteDeadline(time.Now().Add(_sendTimeout)); err != nil {
				return errors.Trace(err)
			}
			if _, err := q.conn.Write(data); err != nil {
				return errors.Trace(err)
			}
			if err := q.conn.SetWriteDeadline(time.Time{}); err != nil {
				return errors.Trace(err)
			}
		}
		q.unblock()
		if closed {
			return nil
		}
	}
}
