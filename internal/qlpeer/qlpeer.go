// Package qlpeer carries control messages between routers over drpc.
//
// Two routers share one connection, whichever of them dialed it: each sends
// its messages on the stream and reads the other's. When both dial at the same
// moment, the stream that the router with the lower id dialed is kept.
// Messages may be lost: a full queue drops them, and a broken connection loses
// those in flight. The decision code expects that. Idle connections are closed,
// so a router in a large fleet holds only those in use.
//
// # Usage
//
//	peers := qlpeer.New(qlpeer.Config{Self: "r1", Epoch: epoch, Address: lookup, Receive: receive, Snapshot: snapshot})
//	go peers.Serve(ctx, listener)
//	peers.Send("r2", message)
//	snapshot, err := peers.Fetch(ctx, "r2", request)
package qlpeer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qlwire"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"
)

const (
	_queueLength = 256
	_dialTimeout = 2 * time.Second
	_sendTimeout = 5 * time.Second
	// _redialDelay is the pause before a peer that refuses connections is
	// dialed again. Attempts go on for _maxDialPeriod, while messages stay
	// queued, since a peer that is just starting refuses too.
	_redialDelay   = 100 * time.Millisecond
	_maxDialPeriod = time.Second
	// _idleTimeout is how long a connection may carry no message in either
	// direction before it is closed.
	_idleTimeout = 60 * time.Second
	// _writeBufferBytes is small since messages are small and a router of a
	// large fleet has hundreds of connections.
	_writeBufferBytes = 512
	// _maxKeptBufferBytes is the size up to which a stream keeps its buffers
	// for reuse.
	_maxKeptBufferBytes = 1 << 10
	// _maxMessageBytes bounds a received message; snapshots are the largest.
	_maxMessageBytes = 64 << 20
)

// Config configures Peers. Its functions may be called from several goroutines
// at once.
type Config struct {
	Self string
	// Epoch is higher than at any earlier start of this router.
	Epoch uint64
	// Address returns the address at which a router serves its peers, or "" if
	// it is not known.
	Address func(id string) string
	// Receive is called with each message from a peer and the epoch of that
	// peer's start. If it is nil, messages are dropped.
	Receive func(from string, epoch uint64, message *qlwire.Message)
	// Snapshot returns the part of the configuration that a peer lacks.
	Snapshot func(request *qlwire.FetchRequest) *qlwire.Snapshot
}

// Peers sends messages to other routers and serves theirs.
type Peers struct {
	config        Config
	counters      Counters
	mu            sync.Mutex
	queues        map[string]*sendQueue
	closed        chan struct{}
	closeOnce     sync.Once
	queuesRunning sync.WaitGroup
}

// New returns peers without connections.
func New(config Config) *Peers {
	return &Peers{
		config: config,
		queues: make(map[string]*sendQueue),
		closed: make(chan struct{}),
	}
}

// Counters returns the counters, which continue to count.
func (p *Peers) Counters() *Counters {
	return &p.counters
}

// Send queues a message and returns at once. The message may be lost.
func (p *Peers) Send(to string, message *qlwire.Message) {
	select {
	case p.queueTo(to).messages <- message:
		p.counters.Messages.Add(1)
	default:
		p.counters.Dropped.Add(1)
	}
}

// queueTo returns the queue to a peer, which it creates at the first use.
func (p *Peers) queueTo(to string) *sendQueue {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.queues[to]
	if q == nil {
		q = &sendQueue{
			peers:           p,
			to:              to,
			messages:        make(chan *qlwire.Message, _queueLength),
			acceptedChanged: make(chan struct{}, 1),
		}
		p.queues[to] = q
		p.queuesRunning.Add(1)
		go q.run()
	}
	return q
}

// Close ends all dialed connections and returns once no queue sends any more.
// Messages that are still queued may be lost.
func (p *Peers) Close() {
	p.closeOnce.Do(func() { close(p.closed) })
	p.queuesRunning.Wait()
}

// Fetch requests the part of the configuration that this router lacks from a
// peer.
func (p *Peers) Fetch(ctx context.Context, from string, request *qlwire.FetchRequest) (*qlwire.Snapshot, error) {
	conn, err := p.dial(ctx, from)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = conn.Close() }()
	snapshot, err := qlwire.NewDRPCPeerClient(conn).Fetch(ctx, request)
	return snapshot, errors.Annotatef(err, "fetch from %s", from)
}

func (p *Peers) dial(ctx context.Context, to string) (*drpcconn.Conn, error) {
	address := p.config.Address(to)
	if address == "" {
		return nil, errors.NotFoundf("address of router %q", to)
	}
	dialer := net.Dialer{
		Timeout: _dialTimeout,
	}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return drpcconn.NewWithOptions(&countedConn{
		Conn:     raw,
		counters: &p.counters,
	}, drpcconn.Options{
		Manager: managerOptions(),
	}), nil
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		WriterBufferSize: _writeBufferBytes,
		Reader: drpcwire.ReaderOptions{
			MaximumBufferSize: _maxMessageBytes,
		},
		Stream: drpcstream.Options{
			MaximumBufferSize: _maxKeptBufferBytes,
		},
	}
}

// Serve serves peers until the context ends.
func (p *Peers) Serve(ctx context.Context, listener net.Listener) error {
	mux := drpcmux.New()
	err := qlwire.DRPCRegisterPeer(mux, &service{
		peers: p,
	})
	if err != nil {
		return errors.Trace(err)
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{
		Manager: managerOptions(),
	})
	return errors.Trace(server.Serve(ctx, &countedListener{
		Listener: listener,
		counters: &p.counters,
	}))
}

type service struct {
	peers *Peers
}

// Converse lets the queue to the stream's dialler send on it, and reads the
// stream until it ends.
func (s *service) Converse(raw qlwire.DRPCPeer_ConverseStream) error {
	stream := newPeerStream(raw, s.peers)
	defer stream.end()
	if err := stream.readHello(); err != nil {
		return errors.Trace(err)
	}
	queue := s.peers.queueTo(stream.from)
	queue.setAccepted(stream)
	defer queue.clearAccepted(stream)
	return errors.Trace(stream.read())
}

// Fetch returns the part of the configuration that the caller lacks.
func (s *service) Fetch(_ context.Context, request *qlwire.FetchRequest) (*qlwire.Snapshot, error) {
	return s.peers.config.Snapshot(request), nil
}
