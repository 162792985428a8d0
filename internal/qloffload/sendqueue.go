package qloffload

import (
	"net"
	"sync"
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

// sendQueue collects frames that are written to a link together.
type sendQueue struct {
	mu sync.Mutex
	// pending is written next.
	pending []byte
	urgent  bool
	closed  bool
	// wake has room for one signal that there is something to write, urgent for one that
	// it should not wait for more.
	wake        chan struct{}
	wakeUrgent  chan struct{}
	onTake      func()
	spareBuffer []byte
}

// newSendQueue returns an empty queue. onTake is called, with the queue locked, before
// frames are written.
func newSendQueue(onTake func()) *sendQueue {
	return &sendQueue{
		wake:       make(chan struct{}, 1),
		wakeUrgent: make(chan struct{}, 1),
		onTake:     onTake,
	}
}

// add calls build to append a frame. Urgent frames are written at once.
func (q *sendQueue) add(urgent bool, build func(to []byte) []byte) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return net.ErrClosed
	}
	if len(q.pending) >= _maxQueueBytes {
		return errQueueFull
	}
	q.pending = build(q.pending)
	signal(q.wake)
	if urgent {
		signal(q.wakeUrgent)
	}
	return nil
}

func signal(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
		// A signal is queued already.
	}
}

// close ends run after what is queued was written.
func (q *sendQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	signal(q.wake)
	signal(q.wakeUrgent)
}

// take returns what is to be written.
func (q *sendQueue) take() (data []byte, closed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	data, q.pending, q.spareBuffer = q.pending, q.spareBuffer[:0], nil
	q.onTake()
	return data, q.closed
}

// release returns a buffer for further frames. A large one is left to the garbage
// collector.
func (q *sendQueue) release(buffer []byte) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if cap(buffer) <= _bufferSize {
		q.spareBuffer = buffer
	}
}

// run writes frames until the queue is closed or the connection fails.
func (q *sendQueue) run(conn net.Conn) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		<-q.wake
		timer.Reset(_batchDelay)
		select {
		case <-q.wakeUrgent:
		case <-timer.C:
		}
		data, closed := q.take()
		if len(data) > 0 {
			if err := conn.SetWriteDeadline(time.Now().Add(_sendTimeout)); err != nil {
				return errors.Trace(err)
			}
			if _, err := conn.Write(data); err != nil {
				return errors.Trace(err)
			}
		}
		q.release(data)
		if closed {
			return nil
		}
	}
}
