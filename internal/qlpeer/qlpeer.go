// Package qlpeer carries control messages between routers over drpc.
//
// Two routers share one connection, whichever of them dialled it: each sends
// its messages on the stream and reads the other's. When both dial at the same
// moment, the stream that the router with the lower id dialled is kept.
// Messages may be lost: a queue that is full drops, and a broken connection
// loses what was under way. The decision code expects that. Connections that
// are idle are closed, so a router in a large fleet holds only those in use.
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
	// _redialWait keeps a peer that refuses from being dialled in a loop. What
	// is queued is kept for _keepQueued meanwhile, since a peer that just
	// starts refuses too.
	_redialWait = 100 * time.Millisecond
	_keepQueued = time.Second
	// _idleClose closes a connection on which nothing goes either way.
	_idleClose = 60 * time.Second
	// _writeBuffer is small since messages are: a router of a large fleet has
	// hundreds of connections.
	_writeBuffer = 512
	// _keepBuffer is the size up to which a stream's buffers are kept.
	_keepBuffer = 1 << 10
	// _maxMessage bounds a received message; snapshots are the largest.
	_maxMessage = 64 << 20
)

// Config configures Peers. Its functions may be called from several goroutines
// at once.
type Config struct {
	Self  string
	Epoch uint64
	// Address returns a router's peer address, or "".
	Address func(id string) string
	// Receive takes each message from a peer; nil drops them.
	Receive func(from string, epoch uint64, message *qlwire.Message)
	// Snapshot answers what a peer lacks of the configuration.
	Snapshot func(request *qlwire.FetchRequest) *qlwire.Snapshot
}

// Peers sends to and serves other routers.
type Peers struct {
	config   Config
	counters Counters
	mu       sync.Mutex
	outlets  map[string]*outlet
	closed   chan struct{}
	once     sync.Once
	wait     sync.WaitGroup
}

// New returns peers without connections.
func New(config Config) *Peers {
	return &Peers{
		config:  config,
		outlets: make(map[string]*outlet),
		closed:  make(chan struct{}),
	}
}

// Counters returns the counters; they go on counting.
func (p *Peers) Counters() *Counters {
	return &p.counters
}

// Send queues a message and returns at once. The message may be lost.
func (p *Peers) Send(to string, message *qlwire.Message) {
	select {
	case p.outlet(to).queue <- message:
		p.counters.Messages.Add(1)
	default:
		p.counters.Dropped.Add(1)
	}
}

// outlet returns the one to a peer; there is one from the first use on.
func (p *Peers) outlet(to string) *outlet {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.outlets[to]
	if o == nil {
		o = &outlet{
			peers:   p,
			to:      to,
			queue:   make(chan *qlwire.Message, _queueLength),
			offered: make(chan struct{}, 1),
		}
		p.outlets[to] = o
		p.wait.Add(1)
		go o.run()
	}
	return o
}

// Close ends all dialled connections after what is queued was sent.
func (p *Peers) Close() {
	p.once.Do(func() { close(p.closed) })
	p.wait.Wait()
}

// Fetch asks a peer for what this router lacks of the configuration.
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
		WriterBufferSize: _writeBuffer,
		Reader: drpcwire.ReaderOptions{
			MaximumBufferSize: _maxMessage,
		},
		Stream: drpcstream.Options{
			MaximumBufferSize: _keepBuffer,
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

// Converse offers the stream to the outlet to its dialler and reads it until
// it ends.
func (s *service) Converse(raw qlwire.DRPCPeer_ConverseStream) error {
	w := newWire(raw, s.peers)
	defer w.end()
	if err := w.readHello(); err != nil {
		return errors.Trace(err)
	}
	o := s.peers.outlet(w.from)
	o.offer(w)
	defer o.withdraw(w)
	return errors.Trace(w.read())
}

// Fetch answers what the caller lacks.
func (s *service) Fetch(_ context.Context, request *qlwire.FetchRequest) (*qlwire.Snapshot, error) {
	return s.peers.config.Snapshot(request), nil
}
