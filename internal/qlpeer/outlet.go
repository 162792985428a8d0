package qlpeer

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qlwire"
	"storj.io/drpc/drpcconn"
)

// outlet sends to one peer, on a stream that the peer has dialled or else on
// one that it dials itself.
type outlet struct {
	peers *Peers
	to    string
	queue chan *qlwire.Message

	mu sync.Mutex
	// accepted is the stream that the peer has dialled, or nil; offered wakes
	// the sender when there is a new one.
	accepted *wire
	offered  chan struct{}
}

// offer makes a stream that the peer has dialled the one to send on, unless it
// is one of an earlier start.
func (o *outlet) offer(w *wire) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.accepted != nil && w.epoch.Load() < o.accepted.epoch.Load() {
		return
	}
	o.accepted = w
	select {
	case o.offered <- struct{}{}:
	default:
	}
}

// withdraw takes a stream back that has ended.
func (o *outlet) withdraw(w *wire) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.accepted == w {
		o.accepted = nil
	}
}

func (o *outlet) offeredWire() *wire {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.accepted
}

func (o *outlet) run() {
	defer o.peers.wait.Done()
	for {
		select {
		case first := <-o.queue:
			o.session(first)
		case <-o.peers.closed:
			return
		}
	}
}

// session sends on one stream until it ends, is idle or another is better.
func (o *outlet) session(first *qlwire.Message) {
	if w := o.offeredWire(); w != nil {
		o.pump(w, first)
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	conn, err := o.connect(ctx)
	if err != nil {
		o.lose()
		return
	}
	defer func() { _ = conn.Close() }()
	stream, err := qlwire.NewDRPCPeerClient(conn).Converse(ctx)
	if err != nil {
		o.lose()
		return
	}
	w := newWire(stream, o.peers)
	w.dialled = true
	defer w.end()
	go o.listen(w)
	o.pump(w, first)
}

// listen reads a stream that this router has dialled.
func (o *outlet) listen(w *wire) {
	defer w.end()
	if w.readHello() != nil || w.from != o.to {
		return
	}
	_ = w.read()
}

// connect dials for a while before it gives up.
func (o *outlet) connect(ctx context.Context) (*drpcconn.Conn, error) {
	deadline := time.Now().Add(_keepQueued)
	for {
		conn, err := o.peers.dial(ctx, o.to)
		if err == nil || time.Now().After(deadline) {
			return conn, errors.Trace(err)
		}
		wait := time.NewTimer(_redialWait)
		select {
		case <-wait.C:
		case <-o.peers.closed:
			wait.Stop()
			return nil, errors.Trace(err)
		}
	}
}

func (o *outlet) pump(w *wire, next *qlwire.Message) {
	idle := time.NewTimer(_idleClose)
	defer idle.Stop()
	for {
		if w.write(next) != nil {
			w.end()
			return
		}
		idle.Reset(_idleClose)
		if next = o.next(w, idle); next == nil {
			return
		}
	}
}

// next waits for the next message to send on the stream; nil means to leave
// the stream.
func (o *outlet) next(w *wire, idle *time.Timer) *qlwire.Message {
	for {
		select {
		case next := <-o.queue:
			return next
		case <-idle.C:
			quiet := w.quietFor()
			if w.dialled && quiet >= _idleClose {
				return nil
			}
			idle.Reset(max(_idleClose-quiet, time.Second))
		case <-o.offered:
			if o.better(w) {
				return nil
			}
		case <-w.ended:
			return nil
		case <-o.peers.closed:
			return nil
		}
	}
}

// better reports whether the stream that the peer has dialled is to be used
// instead of the one in use. Of two that were dialled at the same moment both
// sides choose the same; a stream of a later start replaces any other.
func (o *outlet) better(w *wire) bool {
	offered := o.offeredWire()
	if offered == nil || offered == w {
		return false
	}
	if !w.dialled {
		return true
	}
	// Of the stream dialled here it may not be known yet who answered.
	answered := w.epoch.Load()
	later := answered != 0 && offered.epoch.Load() > answered
	return o.to < o.peers.config.Self || later
}

// lose drops what is queued for a peer that cannot be reached: by the time
// it can, the messages would be stale.
func (o *outlet) lose() {
	for {
		select {
		case <-o.queue:
			o.peers.counters.Dropped.Add(1)
		default:
			return
		}
	}
}
