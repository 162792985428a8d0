// Package qlfleet joins a router to the others in front of a platform's
// upstreams: it runs the control goroutine that owns the decision code, and
// carries its packets.
//
// Packets are datagrams, not drpc streams: an answer that is late is of no
// use, and a lost or silent connection must not hold up those that follow.
// Documents are fetched over drpc.
//
// # Usage
//
//	fleet, err := qlfleet.New(qlfleet.Config{Core: core, Address: "10.0.0.1:7400", Fetch: serve, Log: log})
//	go fleet.Run(ctx)
//	verdict := fleet.Ask(ctx, request)
//	fleet.First(request); fleet.End(request, qlengine.Completed)
package qlfleet

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qlengine"
	"github.com/quetzallane/quetzallane/internal/qlfleetwire"
	"github.com/quetzallane/quetzallane/internal/qlowner"
	"github.com/quetzallane/quetzallane/internal/qlplace"
	"github.com/quetzallane/quetzallane/internal/qlring"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

const (
	_eventQueue = 4096
	// _tick is the resolution of membership; each costs a wake-up.
	_tick = 50 * time.Millisecond
	// _maxPacket is the most that a datagram can hold.
	_maxPacket = 64 << 10
	// _fetchTimeout bounds a fetch of documents from another router.
	_fetchTimeout = 1500 * time.Millisecond
	// _echoInterval is the time between datagrams to itself, and _echoLost how
	// long one is waited for.
	_echoInterval = 100 * time.Millisecond
	_echoLost     = time.Second
	// _eventBatch is how many events are taken before packets are sent.
	_eventBatch = 64
)

// Config configures a Fleet.
type Config struct {
	// Core configures the decision code; Send, Decide, OwnerChanged and Faulty
	// are set here.
	Core qlowner.Config
	// Fetch answers another router's request for documents. It is called in
	// the control goroutine.
	AnswerFetch func(request *qlfleetwire.FetchRequest) *qlfleetwire.FetchReply
	// Tick is called regularly in the control goroutine, with how late this
	// process runs what is due or reads what has come.
	OnTick func(now, lag time.Duration)
	Clock  func() time.Duration
	Log    *zap.Logger
}

// Fleet is this router's place among the others. It is safe for several
// goroutines, but for Core.
type Fleet struct {
	config   Config
	core     *qlowner.Core
	events   chan func(now time.Duration)
	done     chan struct{}
	socket   *net.UDPConn
	listener net.Listener
	live     atomic.Int64
	sent     atomic.Int64
	bytes    atomic.Int64
	echo     echo
	late     atomic.Bool
	// waiters belongs to the control goroutine.
	waiters map[uint64]chan qlplace.Decision
}

// New opens the sockets.
func New(config Config) (*Fleet, error) {
	f := &Fleet{
		config:  config,
		events:  make(chan func(time.Duration), _eventQueue),
		done:    make(chan struct{}),
		waiters: make(map[uint64]chan qlplace.Decision),
	}
	address, err := net.ResolveUDPAddr("udp4", config.Core.Address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if f.socket, err = net.ListenUDP("udp4", address); err != nil {
		return nil, errors.Annotate(err, "listen for packets")
	}
	if f.listener, err = net.Listen("tcp4", config.Core.Address); err != nil {
		return nil, errors.Annotate(err, "listen for fetches")
	}
	core := config.Core
	core.Send = f.send
	core.OnDecision = f.decide
	core.OnLiveChange = func(live []qlring.Node) {
		if before := f.live.Swap(int64(len(live))); before != int64(len(live)) {
			f.config.Log.Info("routers-changed", zap.Int("live", len(live)), zap.Int64("before", before))
		}
		if config.Core.OnLiveChange != nil {
			config.Core.OnLiveChange(live)
		}
	}
	core.OnOwnerChange = func(from, to string) {
		f.config.Log.Info("owner-changed", zap.String("from", from), zap.String("to", to), zap.Int("live", f.LiveCount()))
	}
	core.OnMessageError = func(router string, err error) {
		f.config.Log.Warn("message-faulty", zap.String("other", router), zap.Error(err))
	}
	f.core = qlowner.New(core)
	return f, nil
}

// Core returns the decision code. Only the control goroutine may use it.
func (f *Fleet) Core() *qlowner.Core {
	return f.core
}

// LiveCount returns how many routers answer, this one included.
func (f *Fleet) LiveCount() int {
	return int(f.live.Load())
}

// Lag returns how late this process reads what has come.
func (f *Fleet) Lag() time.Duration {
	return f.echo.lag(f.config.Clock())
}

// Lagging reports whether this process handles its events late, or did a moment
// ago.
func (f *Fleet) Lagging() bool {
	return f.late.Load()
}

// Traffic returns the datagrams and bytes sent.
func (f *Fleet) Traffic() (packets, bytes int64) {
	return f.sent.Load(), f.bytes.Load()
}

// Run runs until the context ends.
func (f *Fleet) Run(ctx context.Context) {
	go f.receive()
	go f.serveFetch(ctx)
	f.control(ctx)
	_ = f.socket.Close()
	_ = f.listener.Close()
}

func (f *Fleet) control(ctx context.Context) {
	defer close(f.done)
	ticker := time.NewTicker(_tick)
	defer ticker.Stop()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	due := f.config.Clock() + _tick
	for {
		select {
		case event := <-f.events:
			event(f.config.Clock())
			f.drain()
		case <-ticker.C:
			now := f.config.Clock()
			lag := max(now-due, f.echo.lag(now))
			due = now + _tick
			if f.echo.begin(now) {
				f.send(f.config.Core.Address, &qlfleetwire.Packet{
					From: f.config.Core.Self,
					Echo: int64(now),
				})
			}
			f.core.SetLag(lag)
			f.late.Store(f.core.IsLagging())
			f.core.Tick(now)
			f.config.OnTick(now, lag)
		case <-timer.C:
		case <-ctx.Done():
			f.drain()
			f.core.Flush(f.config.Clock() + time.Second)
			return
		}
		now := f.config.Clock()
		f.core.Expire(now)
		f.core.Flush(now)
		f.rearm(timer, now)
	}
}

// drain takes events that wait already, so that they share packets.
func (f *Fleet) drain() {
	for range _eventBatch {
		select {
		case event := <-f.events:
			event(f.config.Clock())
		default:
			return
		}
	}
}

func (f *Fleet) rearm(timer *time.Timer, now time.Duration) {
	next := time.Hour
	if at, ok := f.core.NextExpiry(); ok {
		next = min(next, at-now)
	}
	if at, ok := f.core.NextFlush(); ok {
		next = min(next, at-now)
	}
	timer.Reset(max(next, 0))
}

// Post runs an event in the control goroutine.
func (f *Fleet) Post(event func(now time.Duration)) {
	select {
	case f.events <- event:
	case <-f.done:
	}
}

// Call runs an event in the control goroutine and waits for its end.
func (f *Fleet) Call(event func(now time.Duration)) {
	ended := make(chan struct{})
	f.Post(func(now time.Duration) {
		event(now)
		close(ended)
	})
	select {
	case <-ended:
	case <-f.done:
	}
}

// Ask returns the decision on a request, or none when the context ends first.
func (f *Fleet) Ask(ctx context.Context, request *qlplace.Request) qlplace.Decision {
	id := request.Key.Request
	waiter := make(chan qlplace.Decision, 1)
	f.Post(func(now time.Duration) {
		f.waiters[id] = waiter
		f.core.Ask(now, request)
	})
	select {
	case verdict := <-waiter:
		return verdict
	case <-ctx.Done():
	case <-f.done:
	}
	return qlplace.Decision{
		Reason: qlplace.NoEngine,
	}
}

func (f *Fleet) decide(request uint64, verdict qlplace.Decision) {
	waiter := f.waiters[request]
	delete(f.waiters, request)
	if waiter != nil {
		waiter <- verdict
	}
}

// FirstEvent tells that a run's first event came.
func (f *Fleet) FirstEvent(request uint64) {
	f.Post(func(now time.Duration) { f.core.FirstEvent(now, request) })
}

// End tells that a run ended, or that its request was given up.
func (f *Fleet) End(request uint64, outcome qlengine.Outcome) {
	f.Post(func(now time.Duration) {
		delete(f.waiters, request)
		f.core.End(now, request, outcome)
	})
}

func (f *Fleet) send(address string, packet *qlfleetwire.Packet) {
	to, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		f.config.Log.Warn("router-address-invalid", zap.String("address", address), zap.Error(err))
		return
	}
	body, err := proto.Marshal(packet)
	if err != nil {
		f.config.Log.Warn("packet-not-encoded", zap.Error(err))
		return
	}
	f.sent.Add(1)
	f.bytes.Add(int64(len(body)))
	if _, err := f.socket.WriteToUDP(body, to); err != nil {
		// A datagram that is lost here is no different from one lost later.
		f.config.Log.Debug("packet-not-sent", zap.String("address", address), zap.Error(err))
	}
}

func (f *Fleet) receive() {
	buffer := make([]byte, _maxPacket)
	for {
		n, source, err := f.socket.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			f.config.Log.Debug("packet-not-read", zap.Error(err))
			continue
		}
		packet := &qlfleetwire.Packet{}
		if err := proto.Unmarshal(buffer[:n], packet); err != nil {
			f.config.Log.Info("packet-not-decoded", zap.Stringer("source", source), zap.Error(err))
			continue
		}
		if packet.GetEcho() != 0 {
			if packet.GetFrom() == f.config.Core.Self {
				f.echo.end(f.config.Clock(), time.Duration(packet.GetEcho()))
			}
			continue
		}
		f.Post(func(now time.Duration) { f.core.Receive(now, source.String(), packet) })
	}
}

type fetchService struct {
	fleet *Fleet
}

// Fetch answers another router.
func (s *fetchService) Fetch(_ context.Context, request *qlfleetwire.FetchRequest) (*qlfleetwire.FetchReply, error) {
	reply := &qlfleetwire.FetchReply{}
	s.fleet.Call(func(time.Duration) { reply = s.fleet.config.AnswerFetch(request) })
	return reply, nil
}

func (f *Fleet) serveFetch(ctx context.Context) {
	mux := drpcmux.New()
	err := qlfleetwire.DRPCRegisterFleet(mux, &fetchService{
		fleet: f,
	})
	if err == nil {
		err = drpcserver.New(mux).Serve(ctx, f.listener)
	}
	if err != nil && ctx.Err() == nil {
		f.config.Log.Error("fetch-server-ended", zap.Error(err))
	}
}

// Fetch asks the router at the address for newer documents.
func (f *Fleet) Fetch(ctx context.Context, address string, request *qlfleetwire.FetchRequest) (*qlfleetwire.FetchReply, error) {
	ctx, cancel := context.WithTimeout(ctx, _fetchTimeout)
	defer cancel()
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	conn := drpcconn.New(raw)
	defer func() { _ = conn.Close() }()
	reply, err := qlfleetwire.NewDRPCFleetClient(conn).Fetch(ctx, request)
	return reply, errors.Annotatef(err, "fetch from %s", address)
}
