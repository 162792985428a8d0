// Package qlrouter runs one router: the control goroutine that owns the core,
// and the goroutines around it that do I/O.
//
// # Who owns what
//
// The control goroutine alone calls the core. Traffic goroutines (one for
// each caller's request), peers' streams, platform readers and load pollers
// hand it events by a channel and never wait for each other. Answers come
// back on a channel of the request, which has room for them, so a slow caller
// does not hold up control. What traffic needs of the configuration is a
// snapshot that never changes; a request keeps the one it began with.
//
// # Usage
//
//	router, err := qlrouter.New(qlrouter.Config{Settings: settings, Log: log})
//	err = router.Run(ctx) // until the context ends; then a planned stop
package qlrouter

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qlcore"
	"github.com/quetzallane/quetzallane/internal/qlentry"
	"github.com/quetzallane/quetzallane/internal/qlinvariant"
	"github.com/quetzallane/quetzallane/internal/qlpeer"
	"github.com/quetzallane/quetzallane/internal/qlplatform"
	"github.com/quetzallane/quetzallane/internal/qlsetting"
	"github.com/quetzallane/quetzallane/internal/qlupstream"
	"github.com/quetzallane/quetzallane/internal/qlwire"
	"github.com/quetzallane/quetzallane/pkg/qlconfig"
	"go.uber.org/zap"
)

const (
	_eventQueue = 8192
	// _tick is the resolution of time in the core. Each costs a wake-up of the
	// process, idle or not.
	_tick = 20 * time.Millisecond
	// _publishPeriod is how often what other goroutines read is made current.
	_publishPeriod = 100 * time.Millisecond
	// _flushDelay lets changes of a burst share a message.
	_flushDelay = 2 * time.Millisecond
	// _shutdownGrace is for connections that are already idle.
	_shutdownGrace = 500 * time.Millisecond
)

// Config configures a Router.
type Config struct {
	Settings *qlsetting.Router
	Log      *zap.Logger
}

// Router is one running router.
type Router struct {
	config   Config
	settings *qlsetting.Router
	log      *zap.Logger
	started  time.Time
	epoch    uint64
	events   chan func(now time.Duration)
	done     chan struct{}
	core     *qlcore.Core
	peers    *qlpeer.Peers
	platform *qlplatform.Client
	sender   *qlupstream.Sender
	monitor  *qlinvariant.Monitor

	// snapshot, list, ready and accepting are what goroutines other than
	// control read.
	snapshot  atomic.Pointer[qlconfig.Configuration]
	list      atomic.Pointer[listSnapshot]
	ready     atomic.Bool
	leaving   atomic.Bool
	watches   atomic.Bool
	history   *history
	requests  atomic.Uint64
	fetching  atomic.Bool
	refusals  atomic.Int64
	answered  atomic.Int64
	unknown   atomic.Int64
	adoptions atomic.Int64
	rejected  atomic.Int64
	// refused is the last revision that was refused: it is not read again.
	refused atomic.Uint64
	source  atomic.Value

	mu        sync.Mutex
	waiters   map[uint64]chan decision
	unended   map[uint64]string
	callers   *http.Server
	cut       context.Context
	cutAll    context.CancelFunc
	loadPolls map[string]context.CancelFunc
}

// listSnapshot is the VM list in use, as text for peers and as addresses.
type listSnapshot struct {
	revision  uint64
	text      []byte
	addresses map[string]string
}

// decision is the core's word on a request.
type decision struct {
	refused    bool
	refusal    qlcore.Refusal
	assignment qlentry.Assignment
	goodUntil  time.Duration
	claimed    bool
}

// New returns a router that does not listen yet.
func New(config Config) *Router {
	r := &Router{
		config:    config,
		settings:  config.Settings,
		log:       config.Log.With(zap.String("router", config.Settings.ID)),
		started:   time.Now(),
		events:    make(chan func(time.Duration), _eventQueue),
		done:      make(chan struct{}),
		history:   &history{},
		waiters:   make(map[uint64]chan decision),
		unended:   make(map[uint64]string),
		loadPolls: make(map[string]context.CancelFunc),
	}
	r.epoch = uint64(r.started.UnixMilli())
	r.cut, r.cutAll = context.WithCancel(context.Background())
	r.source.Store("none")
	r.monitor = &qlinvariant.Monitor{
		Report: func(v qlinvariant.Violation) {
			r.log.Error("invariant-violated", zap.String("invariant", v.Kind().String()), zap.String("detail", v.Detail()))
		},
	}
	r.peers = qlpeer.New(qlpeer.Config{
		Self:     r.settings.ID,
		Epoch:    r.epoch,
		Address:  r.addressOf,
		Receive:  r.receive,
		Snapshot: r.answerFetch,
	})
	r.platform = qlplatform.New(qlplatform.Config{
		URL: r.settings.Platform,
	})
	r.sender = qlupstream.New(qlupstream.Config{
		MaxAnswerBytes: r.settings.MaxAnswer,
	})
	r.core = qlcore.New(qlcore.Config{
		Self:             r.settings.ID,
		Zone:             r.settings.Zone,
		Epoch:            r.epoch,
		Random:           newRandom(r.settings.ID, r.epoch),
		ClaimWindow:      r.settings.ClaimWindow.Std(),
		Send:             r.peers.Send,
		Start:            r.startRequest,
		Refuse:           r.refuseRequest,
		OnNewerDocuments: r.fetchFrom,
		Monitor:          r.monitor,
	})
	return r
}

func newRandom(id string, epoch uint64) *rand.Rand {
	var seed [32]byte
	copy(seed[8:], id)
	binary.LittleEndian.PutUint64(seed[:8], epoch)
	return rand.New(rand.NewChaCha8(seed))
}

// clock reads the monotonic clock, which starts at 0 with the process.
func (r *Router) clock() time.Duration {
	return time.Since(r.started)
}

func (r *Router) addressOf(id string) string {
	if list := r.list.Load(); list != nil {
		return list.addresses[id]
	}
	return ""
}

// Run listens and serves until the context ends, then stops as planned. It
// returns an error when listening fails or the stop had to cut requests.
func (r *Router) Run(ctx context.Context, force <-chan struct{}) error {
	listeners, err := r.listen()
	if err != nil {
		return errors.Trace(err)
	}
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	go r.control(background)
	go r.watchPlatform(background)
	go func() {
		_ = r.peers.Serve(background, listeners.peer)
	}()
	operations := r.operationsServer()
	go func() { _ = operations.Serve(listeners.operations) }()
	r.callers = r.callerServer()
	go func() { _ = r.callers.Serve(listeners.caller) }()
	r.log.Info("started",
		zap.String("zone", r.settings.Zone),
		zap.String("callers", listeners.caller.Addr().String()),
		zap.String("peers", listeners.peer.Addr().String()),
		zap.String("operations", listeners.operations.Addr().String()))
	<-ctx.Done()
	err = r.stop(force)
	r.peers.Close()
	_ = operations.Close()
	return err
}

type listenerSet struct {
	caller     net.Listener
	peer       net.Listener
	operations net.Listener
}

func (r *Router) listen() (*listenerSet, error) {
	set := &listenerSet{}
	for _, l := range []struct {
		address string
		into    *net.Listener
	}{
		{address: r.settings.CallerAddress, into: &set.caller},
		{address: r.settings.PeerAddress, into: &set.peer},
		{address: r.settings.OperationsAddress, into: &set.operations},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return nil, errors.Annotatef(err, "listen on %s", l.address)
		}
		*l.into = listener
	}
	return set, nil
}

// control is the only goroutine that touches the core.
func (r *Router) control(ctx context.Context) {
	defer close(r.done)
	ticker := time.NewTicker(_tick)
	defer ticker.Stop()
	var flush <-chan time.Time
	publishAt := time.Duration(0)
	for {
		select {
		case event := <-r.events:
			event(r.clock())
		case <-ticker.C:
			r.core.Tick(r.clock())
			if now := r.clock(); now >= publishAt {
				publishAt = now + _publishPeriod
				r.publish()
			}
		case <-flush:
			flush = nil
			r.core.Flush(r.clock())
		case <-ctx.Done():
			return
		}
		if flush == nil && r.core.NeedsFlush() {
			flush = time.After(_flushDelay)
		}
	}
}

// post hands an event to the control goroutine.
func (r *Router) post(event func(now time.Duration)) {
	select {
	case r.events <- event:
	case <-r.done:
	}
}

// ask runs a question in the control goroutine and waits for it.
func (r *Router) ask(ctx context.Context, question func(now time.Duration)) bool {
	done := make(chan struct{})
	select {
	case r.events <- func(now time.Duration) {
		question(now)
		close(done)
	}:
	case <-ctx.Done():
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// publish makes what other goroutines read current.
func (r *Router) publish() {
	r.ready.Store(r.core.Ready())
	r.watches.Store(r.core.IsWatcher())
	r.pollOwned()
}

func (r *Router) receive(from string, epoch uint64, message *qlwire.Message) {
	r.post(func(now time.Duration) { r.core.Receive(now, from, epoch, message) })
}

func (r *Router) startRequest(id uint64, assignment qlentry.Assignment) {
	d := decision{
		assignment: assignment,
	}
	d.goodUntil, d.claimed = r.core.ClaimValidUntil(id)
	r.decide(id, d)
}

func (r *Router) refuseRequest(id uint64, refusal qlcore.Refusal) {
	r.decide(id, decision{
		refused: true,
		refusal: refusal,
	})
}

// decide never blocks: each try of a request has at most one decision, and
// its channel has room for it.
func (r *Router) decide(id uint64, d decision) {
	r.mu.Lock()
	waiter := r.waiters[id]
	r.mu.Unlock()
	if waiter == nil {
		return
	}
	select {
	case waiter <- d:
	default:
		r.monitor.Check(false, qlinvariant.DecisionTwice, r.settings.ID, "two decisions wait")
	}
}
