package qlpeer

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qlwire"
	"storj.io/drpc/drpcconn"
)

// sendQueue holds the messages to one peer and sends them, on a stream that the
// peer has dialed or else on one that it dials itself.
type sendQueue struct {
	peers    *Peers
	to       string
	messages chan *qlwire.Message

	mu sync.Mutex
	// accepted is the stream that the peer has dialed, or nil; acceptedChanged
	// wakes the sending goroutine when there is a new one.
	accepted        *peerStream
	acceptedChanged chan struct{}
}

// setAccepted makes a stream that the peer has dialed the one to send on,
// unless it is of an earlier start of the peer than the present one.
func (q *sendQueue) setAccepted(stream *peerStream) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.accepted != nil && stream.epoch.Load() < q.accepted.epoch.Load() {
		return
	}
	q.accepted = stream
	select {
	case q.acceptedChanged <- struct{}{}:
	default:
	}
}

// clearAccepted removes a stream that has ended.
func (q *sendQueue) clearAccepted(stream *peerStream) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.accepted == stream {
		q.accepted = nil
	}
}

func (q *sendQueue) acceptedStream() *peerStream {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.accepted
}

func (q *sendQueue) run() {
	defer q.peers.queuesRunning.Done()
	for {
		select {
		case first := <-q.messages:
			q.runSession(first)
		case <-q.peers.closed:
			return
		}
	}
}

// runSession sends on one stream until it ends, is idle or is replaced by
// another stream.
func (q *sendQueue) runSession(first *qlwire.Message) {
	if stream := q.acceptedStream(); stream != nil {
		q.sendMessages(stream, first)
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	conn, err := q.dialWithRetry(ctx)
	if err != nil {
		q.dropQueued()
		return
	}
	defer func() { _ = conn.Close() }()
	raw, err := qlwire.NewDRPCPeerClient(conn).Converse(ctx)
	if err != nil {
		q.dropQueued()
		return
	}
	stream := newPeerStream(raw, q.peers)
	stream.dialed = true
	defer stream.end()
	go q.readDialed(stream)
	q.sendMessages(stream, first)
}

// readDialed reads a stream that this router has dialed. It ends the stream
// if another router than the intended one answers.
func (q *sendQueue) readDialed(stream *peerStream) {
	defer stream.end()
	if stream.readHello() != nil || stream.from != q.to {
		return
	}
	_ = stream.read()
}

// dialWithRetry dials the peer. It repeats failed attempts until _maxDialPeriod
// has passed or the queues are closed.
func (q *sendQueue) dialWithRetry(ctx context.Context) (*drpcconn.Conn, error) {
	deadline := time.Now().Add(_maxDialPeriod)
	for {
		conn, err := q.peers.dial(ctx, q.to)
		if err == nil || time.Now().After(deadline) {
			return conn, errors.Trace(err)
		}
		wait := time.NewTimer(_redialDelay)
		select {
		case <-wait.C:
		case <-q.peers.closed:
			wait.Stop()
			return nil, errors.Trace(err)
		}
	}
}

// sendMessages sends the next message and those after it until the stream is no
// longer to be used.
func (q *sendQueue) sendMessages(stream *peerStream, next *qlwire.Message) {
	idle := time.NewTimer(_idleTimeout)
	defer idle.Stop()
	for {
		if stream.write(next) != nil {
			stream.end()
			return
		}
		idle.Reset(_idleTimeout)
		if next = q.nextMessage(stream, idle); next == nil {
			return
		}
	}
}

// nextMessage waits for the next message to send on the stream. It returns nil
// when the stream is no longer to be used: it has ended, is idle or is
// replaced, or the queues are closed.
func (q *sendQueue) nextMessage(stream *peerStream, idle *time.Timer) *qlwire.Message {
	for {
		select {
		case next := <-q.messages:
			return next
		case <-idle.C:
			quiet := stream.sinceReceived()
			if stream.dialed && quiet >= _idleTimeout {
				return nil
			}
			idle.Reset(max(_idleTimeout-quiet, time.Second))
		case <-q.acceptedChanged:
			if q.prefersAccepted(stream) {
				return nil
			}
		case <-stream.ended:
			return nil
		case <-q.peers.closed:
			return nil
		}
	}
}

// prefersAccepted reports whether to send on the stream that the peer has
// dialed instead of the one in use. Of two streams that were dialed at the
// same moment, both sides choose the same one. A stream of a later start of the
// peer replaces any other.
func (q *sendQueue) prefersAccepted(stream *peerStream) bool {
	accepted := q.acceptedStream()
	if accepted == nil || accepted == stream {
		return false
	}
	if !stream.dialed {
		return true
	}
	// The epoch is 0 until the peer's hello has arrived on the stream dialed
	// here.
	dialedEpoch := stream.epoch.Load()
	later := dialedEpoch != 0 && accepted.epoch.Load() > dialedEpoch
	return q.to < q.peers.config.Self || later
}

// dropQueued drops the messages queued for a peer that cannot be reached: they
// would be stale by the time it can.
func (q *sendQueue) dropQueued() {
	for {
		select {
		case <-q.messages:
			q.peers.counters.Dropped.Add(1)
		default:
			return
		}
	}
}
