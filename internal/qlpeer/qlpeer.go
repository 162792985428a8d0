// Package qlpeer carries control messages between routers over drpc.
//
// Each router opens one stream to each peer it talks to and sends frames on
// it, one way. Messages may be lost: a queue that is full drops, and a broken
// connection loses what was under way. The decision code expects that.
// Connections that are idle are closed, so a router in a large fleet holds
// only those in use.
//
// # Usage
//
//	peers := qlpeer.New(qlpeer.Config{Self: "r1", Epoch: epoch, Address: lookup})
//	go peers.Serve(ctx, listener, qlpeer.Handler{Receive: receive, Snapshot: snapshot})
//	peers.Send("r2", message)
//	snapshot, err := peers.Fetch(ctx, "r2", request)
package qlpeer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qlwire"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
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
	// _idleClose closes a connection on which nothing is sent.
	_idleClose = 60 * time.Second
	// _writeBuffer is small since frames are: a router of a large fleet has
	// hundreds of connections.
	_writeBuffer = 512
	// _maxBatch bounds the messages in a frame.
	_maxBatch = 256
	// _maxMessage bounds a received message; snapshots are the largest.
	_maxMessage = 64 << 20
)

// Config configures Peers.
type Config struct {
	Self  string
	Epoch uint64
	// Address returns a router's peer address, or "".
	Address func(id string) string
}

// Handler receives what peers send. Its functions may be called from several
// goroutines at once.
type Handler struct {
	Receive  func(from string, epoch uint64, messages []*qlwire.Message)
	Snapshot func(request *qlwire.FetchRequest) *qlwire.Snapshot
}

// Counters count what went over all connections, payload and framing.
type Counters struct {
	BytesSent     atomic.Int64
	BytesReceived atomic.Int64
	Messages      atomic.Int64
	Dropped       atomic.Int64
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
	p.mu.Lock()
	o := p.outlets[to]
	if o == nil {
		o = &outlet{
			peers: p,
			to:    to,
			queue: make(chan *qlwire.Message, _queueLength),
		}
		p.outlets[to] = o
		p.wait.Add(1)
		go o.run()
	}
	p.mu.Unlock()
	select {
	case o.queue <- message:
		p.counters.Messages.Add(1)
	default:
		p.counters.Dropped.Add(1)
	}
}

// Close ends all outgoing connections after what is queued was sent.
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
	}
}

// Serve serves peers until the context ends.
func (p *Peers) Serve(ctx context.Context, listener net.Listener, handler Handler) error {
	mux := drpcmux.New()
	err := qlwire.DRPCRegisterPeer(mux, &service{
		handler: handler,
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
	handler Handler
}

// Deliver receives frames until the stream ends.
func (s *service) Deliver(stream qlwire.DRPCPeer_DeliverStream) error {
	from := ""
	epoch := uint64(0)
	names := &qlwire.NameReader{}
	for {
		frame, err := stream.Recv()
		if err != nil {
			return nil //nolint:nilerr // a broken stream is an ordinary end.
		}
		if from == "" {
			from = frame.GetFrom()
			epoch = frame.GetIncarnation()
		}
		for _, message := range frame.GetMessages() {
			if err := names.Restore(message); err != nil {
				return errors.Annotatef(err, "stream of router %s", from)
			}
		}
		s.handler.Receive(from, epoch, frame.GetMessages())
	}
}

// Fetch answers what the caller lacks.
func (s *service) Fetch(_ context.Context, request *qlwire.FetchRequest) (*qlwire.Snapshot, error) {
	return s.handler.Snapshot(request), nil
}

// outlet sends to one peer.
type outlet struct {
	peers *Peers
	to    string
	queue chan *qlwire.Message
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

// session dials, sends until the connection breaks or is idle, and closes.
func (o *outlet) session(first *qlwire.Message) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	conn, err := o.connect(ctx)
	if err != nil {
		o.lose()
		return
	}
	defer func() { _ = conn.Close() }()
	stream, err := qlwire.NewDRPCPeerClient(conn).Deliver(ctx)
	if err != nil {
		o.lose()
		return
	}
	o.pump(stream, first)
}

// connect dials for a while before it gives up.
func (o *outlet) connect(ctx context.Context) (*drpcconn.Conn, error) {
	deadline := time.Now().Add(_keepQueued)
	for {
		conn, err := o.peers.dial(ctx, o.to)
		if err == nil || time.Now().After(deadline) {
			return conn, err
		}
		wait := time.NewTimer(_redialWait)
		select {
		case <-wait.C:
		case <-o.peers.closed:
			wait.Stop()
			return nil, err
		}
	}
}

func (o *outlet) pump(stream qlwire.DRPCPeer_DeliverClient, first *qlwire.Message) {
	names := qlwire.NewNameWriter()
	frame := &qlwire.Frame{
		From:        o.peers.config.Self,
		Incarnation: o.peers.config.Epoch,
		Messages:    []*qlwire.Message{names.Shorten(first)},
	}
	idle := time.NewTimer(_idleClose)
	defer idle.Stop()
	for {
		o.fill(frame, names)
		watchdog := time.AfterFunc(_sendTimeout, func() { _ = stream.Close() })
		err := stream.Send(frame)
		watchdog.Stop()
		if err != nil {
			return
		}
		frame = &qlwire.Frame{}
		idle.Reset(_idleClose)
		select {
		case next := <-o.queue:
			frame.Messages = append(frame.Messages, names.Shorten(next))
		case <-idle.C:
			return
		case <-o.peers.closed:
			return
		case <-stream.Context().Done():
			return
		}
	}
}

// fill adds what else is queued, so that a burst shares a frame.
func (o *outlet) fill(frame *qlwire.Frame, names *qlwire.NameWriter) {
	for len(frame.Messages) < _maxBatch {
		select {
		case next := <-o.queue:
			frame.Messages = append(frame.Messages, names.Shorten(next))
		default:
			return
		}
	}
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

type countedListener struct {
	net.Listener
	counters *Counters
}

// Accept wraps each connection so that its bytes count.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{
		Conn:     conn,
		counters: l.counters,
	}, nil
}

type countedConn struct {
	net.Conn
	counters *Counters
}

// Read counts what was read.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counters.BytesReceived.Add(int64(n))
	return n, err
}

// Write counts what was written.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counters.BytesSent.Add(int64(n))
	return n, err
}
