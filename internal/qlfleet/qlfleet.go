// Package qlfleet connects a router to the other routers in front of a
// platform's upstreams: it runs the control goroutine that owns the decision
// code, and sends and receives that code's packets.
//
// Packets are datagrams rather than messages on drpc streams: an answer that
// comes late is useless, and a lost packet or a connection that no longer
// responds must not delay the packets after it. Documents are fetched over
// drpc.
//
// # Usage
//
//	fleet, err := qlfleet.New(qlfleet.Config{Core: core, AnswerFetch: answer, OnTick: tick, Clock: clock, Log: log})
//	go fleet.Run(ctx)
//	decision := fleet.Ask(ctx, request)
//	fleet.FirstEvent(request.Key.Request, pace)
//	fleet.End(request.Key.Request, qlengine.Completed)
package qlfleet

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qlaccept"
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
	// _eventQueueLength bounds the events that wait for the control goroutine.
	_eventQueueLength = 4096
	// _tickInterval is the resolution of membership's timers. Each tick costs a
	// wake-up.
	_tickInterval = 50 * time.Millisecond
	// _maxPacketBytes is the largest size of a datagram.
	_maxPacketBytes = 64 << 10
	// _fetchTimeout bounds a fetch of documents from another router.
	_fetchTimeout = 1500 * time.Millisecond
	// _echoInterval is the time between datagrams that this router sends to
	// itself, and _echoTimeout how long it waits for one before it sends the
	// next.
	_echoInterval = 100 * time.Millisecond
	_echoTimeout  = time.Second
	// _maxEventBatch bounds the queued events that are handled before packets
	// are sent.
	_maxEventBatch = 64
)

// Config configures a Fleet.
type Config struct {
	// Core configures the decision code. New sets its Send, OnDecision,
	// OnOwnerChange and OnMessageError, and calls its OnLiveChange after
	// logging the change.
	Core qlowner.Config
	// AnswerFetch returns the documents that another router lacks. It is called
	// in the control goroutine.
	AnswerFetch func(request *qlfleetwire.FetchRequest) *qlfleetwire.FetchReply
	// OnTick is called regularly in the control goroutine. The lag is how late
	// this process handles due timers or reads received datagrams, whichever is
	// longer.
	OnTick func(now, lag time.Duration)
	Clock  func() time.Duration
	Log    *zap.Logger
}

// Fleet connects this router to the others. Its methods are safe for concurrent
// use, but the result of Core is not.
type Fleet struct {
	config       Config
	core         *qlowner.Core
	events       chan func(now time.Duration)
	controlEnded chan struct{}
	socket       *net.UDPConn
	listener     net.Listener
	liveCount    atomic.Int64
	packetsSent  atomic.Int64
	bytesSent    atomic.Int64
	echo         echo
	answers      answerCounter
	waits        packetWaits
	// lastTickAt is when the control goroutine has ticked last, in nanoseconds of
	// Config.Clock.
	lastTickAt atomic.Int64
	lagging    atomic.Bool
	// ownerStrained is that of the core after the last events.
	ownerStrained atomic.Bool
	// waiters holds, by request, the channels that decisions are sent on. Only
	// the control goroutine uses it.
	waiters map[uint64]chan qlplace.Decision
}

// New returns a Fleet with open sockets for packets and fetches.
func New(config Config) (*Fleet, error) {
	f := &Fleet{
		config:       config,
		events:       make(chan func(time.Duration), _eventQueueLength),
		controlEnded: make(chan struct{}),
		waiters:      make(map[uint64]chan qlplace.Decision),
	}
	address, err := net.ResolveUDPAddr("udp4", config.Core.Address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if f.socket, err = net.ListenUDP("udp4", address); err != nil {
		return nil, errors.Annotate(err, "listen for packets")
	}
	listener, err := net.Listen("tcp4", config.Core.Address)
	if err != nil {
		_ = f.socket.Close()
		return nil, errors.Annotate(err, "listen for fetches")
	}
	f.listener = qlaccept.New(qlaccept.Config{
		Listener: listener,
		Log:      config.Log,
	})
	core := config.Core
	core.Send = f.send
	core.OnDecision = f.deliverDecision
	core.OnLiveChange = func(live []qlring.Node) {
		if previous := f.liveCount.Swap(int64(len(live))); previous != int64(len(live)) {
			f.config.Log.Info("routers-changed", zap.Int("live", len(live)), zap.Int64("before", previous))
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

// LiveCount returns how many routers are live, this one included.
func (f *Fleet) LiveCount() int {
	return int(f.liveCount.Load())
}

// Lag returns how long received datagrams wait until this process reads them, or how
// late its next tick is, whichever is longer. The latter shows a stall that has lasted
// until now.
func (f *Fleet) Lag() time.Duration {
	now := f.config.Clock()
	sinceTick := now - time.Duration(f.lastTickAt.Load())
	return max(f.echo.lag(now), sinceTick-_tickInterval)
}

// Lagging reports whether this process handles its events late, or did so
// recently.
func (f *Fleet) Lagging() bool {
	return f.lagging.Load()
}

// OwnerStrained reports whether an owner that this router asks gets more questions than it
// decides in time.
func (f *Fleet) OwnerStrained() bool {
	return f.ownerStrained.Load()
}

// Traffic returns the number of datagrams sent and their size in total.
func (f *Fleet) Traffic() (packets, bytes int64) {
	return f.packetsSent.Load(), f.bytesSent.Load()
}

// Run runs the control goroutine and serves the other routers until the context
// ends.
func (f *Fleet) Run(ctx context.Context) {
	go f.receivePackets()
	go f.serveFetch(ctx)
	f.runControl(ctx)
	_ = f.socket.Close()
	_ = f.listener.Close()
}

func (f *Fleet) runControl(ctx context.Context) {
	defer close(f.controlEnded)
	ticker := time.NewTicker(_tickInterval)
	defer ticker.Stop()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	due := f.config.Clock() + _tickInterval
	for {
		select {
		case event := <-f.events:
			f.handle(event)
			f.drainEvents()
		case <-ticker.C:
			lateBy := f.config.Clock() - due
			due += lateBy + _tickInterval
			f.handle(func(now time.Duration) { f.tick(now, lateBy) })
		case <-timer.C:
		case <-ctx.Done():
			f.drainEvents()
			f.core.Flush(f.config.Clock() + time.Second)
			return
		}
		now := f.config.Clock()
		f.core.Expire(now)
		f.core.Flush(now)
		f.ownerStrained.Store(f.core.OwnerStrained(now))
		f.resetTimer(timer, now)
	}
}

// tick performs the periodic work. lateBy is how late the timer for it was handled.
func (f *Fleet) tick(now, lateBy time.Duration) {
	f.lastTickAt.Store(int64(now))
	lag := max(lateBy, f.echo.lag(now))
	if f.echo.startIfDue(now) {
		f.send(f.config.Core.Address, &qlfleetwire.Packet{
			From: f.config.Core.Self,
			Echo: int64(now),
		})
	}
	f.core.SetLag(lag)
	f.lagging.Store(f.core.IsLagging())
	f.core.Tick(now)
	f.logAnswers(now, lag)
	f.logWaits(now)
	f.config.OnTick(now, lag)
}

// handle runs an event. A panic ends the event only: a packet or document that meets
// a fault must not end the requests of the whole process.
func (f *Fleet) handle(event func(now time.Duration)) {
	defer func() {
		if cause := recover(); cause != nil {
			f.config.Log.Error("event-panicked", zap.Any("cause", cause), zap.Stack("stack"))
		}
	}()
	event(f.config.Clock())
}

// drainEvents handles events that are queued already, so that their messages
// share packets.
func (f *Fleet) drainEvents() {
	for range _maxEventBatch {
		select {
		case event := <-f.events:
			f.handle(event)
		default:
			return
		}
	}
}

func (f *Fleet) resetTimer(timer *time.Timer, now time.Duration) {
	next := time.Hour
	if at, ok := f.core.NextExpiry(); ok {
		next = min(next, at-now)
	}
	if at, ok := f.core.NextFlush(); ok {
		next = min(next, at-now)
	}
	timer.Reset(max(next, 0))
}

// Post queues an event to run in the control goroutine. It blocks while the
// queue is full, and drops the event once the control goroutine has ended.
func (f *Fleet) Post(event func(now time.Duration)) {
	select {
	case f.events <- event:
	case <-f.controlEnded:
	}
}

// Call runs an event in the control goroutine and waits until the event, or the
// control goroutine, has ended.
func (f *Fleet) Call(event func(now time.Duration)) {
	ended := make(chan struct{})
	f.Post(func(now time.Duration) {
		defer close(ended)
		event(now)
	})
	select {
	case <-ended:
	case <-f.controlEnded:
	}
}

// Ask returns the decision on a request. If the context or the control
// goroutine ends first, it returns one without an engine, for the reason
// NoEngine.
func (f *Fleet) Ask(ctx context.Context, request *qlplace.Request) qlplace.Decision {
	id := request.Key.Request
	waiter := make(chan qlplace.Decision, 1)
	f.Post(func(now time.Duration) {
		f.waiters[id] = waiter
		f.core.Ask(now, request)
	})
	select {
	case decision := <-waiter:
		return decision
	case <-ctx.Done():
	case <-f.controlEnded:
	}
	return qlplace.Decision{
		Reason: qlplace.NoEngine,
	}
}

func (f *Fleet) deliverDecision(request uint64, decision qlplace.Decision) {
	waiter := f.waiters[request]
	delete(f.waiters, request)
	if waiter != nil {
		waiter <- decision
	}
}

// FirstEvent reports that the first event of an active request has arrived, and the pace
// that its engine reported, or 0.
func (f *Fleet) FirstEvent(request uint64, pace float64) {
	f.Post(func(now time.Duration) { f.core.FirstEvent(now, request, pace) })
}

// End reports that an active request has ended, or that its caller waits no
// longer for a decision.
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
	f.packetsSent.Add(1)
	f.bytesSent.Add(int64(len(body)))
	if _, err := f.socket.WriteToUDP(body, to); err != nil {
		// A datagram that is lost here is no different from one lost later.
		f.config.Log.Debug("packet-not-sent", zap.String("address", address), zap.Error(err))
	}
}

func (f *Fleet) receivePackets() {
	buffer := make([]byte, _maxPacketBytes)
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
				f.echo.finish(f.config.Clock(), time.Duration(packet.GetEcho()))
			}
			continue
		}
		receivedAt := f.config.Clock()
		f.Post(func(now time.Duration) {
			f.waits.observe(now-receivedAt, len(packet.GetAsks()))
			f.core.Receive(now, receivedAt, source.String(), packet)
		})
	}
}

type fetchService struct {
	fleet *Fleet
}

// Fetch returns the documents that another router lacks.
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

// Fetch requests newer documents from the router at the address.
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
