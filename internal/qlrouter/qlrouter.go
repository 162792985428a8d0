// Package qlrouter runs one router process: a control goroutine that owns the
// state machine of package qlcore, and the goroutines around it that do I/O.
//
// # Goroutines
//
// Only the control goroutine calls the core. Traffic goroutines (one for each
// caller's request), peers' streams, readers of the platform's configuration
// service and load pollers send it events over a channel and never wait for
// each other. Each request has a buffered channel for the core's decisions, so
// a slow caller cannot block the control goroutine. Traffic goroutines read
// the configuration from an immutable snapshot; a request uses the snapshot
// with which it began until it ends.
//
// # Usage
//
//	router := qlrouter.New(qlrouter.Config{Settings: settings, Log: log})
//	// Serves until the context ends, then stops as planned. Closing force
//	// aborts the requests that a planned stop still waits for.
//	err := router.Run(ctx, force)
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
	"github.com/quetzallane/quetzallane/internal/qlaccept"
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
	_eventQueueLength = 8192
	// _tickPeriod is the resolution of time in the core. Each tick wakes the
	// process, even when it is idle.
	_tickPeriod = 20 * time.Millisecond
	// _publishPeriod is how often the core's state is copied to the fields that
	// other goroutines read.
	_publishPeriod = 100 * time.Millisecond
	// _flushDelay is the time between the first change of a burst and the
	// message that carries the whole burst to the peers.
	_flushDelay = 2 * time.Millisecond
	// _shutdownGrace is the time that a planned stop gives the HTTP server to
	// close its connections once no request is active.
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

	// The fields from here to mu may be used by all goroutines.

	// snapshot is the configuration in force.
	snapshot atomic.Pointer[qlconfig.Configuration]
	vmList   atomic.Pointer[vmListSnapshot]
	ready    atomic.Bool
	// leaving is set when a planned stop begins.
	leaving atomic.Bool
	// isWatcher is set while this router is one of the few in its availability
	// zone that watch the platform's service.
	isWatcher     atomic.Bool
	history       *history
	lastRequestID atomic.Uint64
	// fetching is set while a fetch from a peer runs.
	fetching               atomic.Bool
	refusedRequests        atomic.Int64
	answeredRequests       atomic.Int64
	unknownOutcomes        atomic.Int64
	adoptions              atomic.Int64
	rejectedConfigurations atomic.Int64
	// refusedRevision is the last configuration revision that failed its check.
	// It is not read from the platform again.
	refusedRevision     atomic.Uint64
	configurationSource atomic.Value

	// mu guards waiters and activeRequests, whose keys are request ids.
	mu sync.Mutex
	// waiters holds the channels on which requests receive their decisions.
	waiters map[uint64]chan decision
	// activeRequests holds the external ids of the requests that have not ended.
	activeRequests map[uint64]string
	httpServer     *http.Server
	// abortContext ends, by abortAll, when a stop aborts the active requests.
	abortContext context.Context
	abortAll     context.CancelFunc
	// loadPolls holds the functions that end the polls of upstreams, by the
	// upstream's id. Only the control goroutine uses it.
	loadPolls map[string]context.CancelFunc
}

// vmListSnapshot is the VM list in force.
type vmListSnapshot struct {
	revision uint64
	// text is the list as the platform serves it, for peers that fetch it.
	text []byte
	// addresses maps a router's id to its peer address.
	addresses map[string]string
}

// decision is what the core decided on a request: it is refused, or sent as
// assigned.
type decision struct {
	refused    bool
	refusal    qlcore.Refusal
	assignment qlentry.Assignment
	// claimValidUntil is the time by the router's clock until which the claim on
	// the request's idempotency key is valid, if hasClaim is set.
	claimValidUntil time.Duration
	hasClaim        bool
}

// New returns a router that does not listen until Run is called.
func New(config Config) *Router {
	r := &Router{
		config:         config,
		settings:       config.Settings,
		log:            config.Log.With(zap.String("router", config.Settings.ID)),
		started:        time.Now(),
		events:         make(chan func(time.Duration), _eventQueueLength),
		done:           make(chan struct{}),
		history:        &history{},
		waiters:        make(map[uint64]chan decision),
		activeRequests: make(map[uint64]string),
		loadPolls:      make(map[string]context.CancelFunc),
	}
	r.epoch = uint64(r.started.UnixMilli())
	r.abortContext, r.abortAll = context.WithCancel(context.Background())
	r.configurationSource.Store("none")
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
		Snapshot: r.snapshotFor,
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

// clock returns the monotonic time since the router was made.
func (r *Router) clock() time.Duration {
	return time.Since(r.started)
}

func (r *Router) addressOf(id string) string {
	if list := r.vmList.Load(); list != nil {
		return list.addresses[id]
	}
	return ""
}

// Run listens and serves until the context ends, then stops as planned: it
// waits for active requests until the stop deadline, or until force is closed. It
// returns an error when listening fails or the stop aborted requests.
func (r *Router) Run(ctx context.Context, force <-chan struct{}) error {
	listeners, err := r.listen()
	if err != nil {
		return errors.Trace(err)
	}
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	go r.control(background)
	go r.watchPlatform(background)
	go r.runServer("peers", func() error { return r.peers.Serve(background, listeners.peer) })
	operations := r.operationsServer()
	go r.runServer("operations", func() error { return operations.Serve(listeners.operations) })
	r.httpServer = r.callerServer()
	go r.runServer("callers", func() error { return r.httpServer.Serve(listeners.caller) })
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

// runServer runs a server until it ends, and logs an end that was not asked for.
func (r *Router) runServer(name string, serve func() error) {
	if err := serve(); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) && !errors.Is(err, context.Canceled) {
		r.log.Error("server-ended", zap.String("server", name), zap.Error(err))
	}
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
		target  *net.Listener
	}{
		{address: r.settings.CallerAddress, target: &set.caller},
		{address: r.settings.PeerAddress, target: &set.peer},
		{address: r.settings.OperationsAddress, target: &set.operations},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return nil, errors.Annotatef(err, "listen on %s", l.address)
		}
		*l.target = qlaccept.New(qlaccept.Config{
			Listener: listener,
			Log:      r.log,
		})
	}
	return set, nil
}

// control runs the control goroutine, the only one that calls the core.
func (r *Router) control(ctx context.Context) {
	defer close(r.done)
	ticker := time.NewTicker(_tickPeriod)
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

// post queues an event for the control goroutine. It blocks while the queue is
// full, and drops the event once the control goroutine has ended.
func (r *Router) post(event func(now time.Duration)) {
	select {
	case r.events <- event:
	case <-r.done:
	}
}

// runInControl runs the action in the control goroutine and waits for its end.
// It returns false when the context ends first.
func (r *Router) runInControl(ctx context.Context, action func(now time.Duration)) bool {
	done := make(chan struct{})
	select {
	case r.events <- func(now time.Duration) {
		action(now)
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

// publish copies the state of the core to the fields that other goroutines
// read, and starts and stops load polls.
func (r *Router) publish() {
	r.ready.Store(r.core.Ready())
	r.isWatcher.Store(r.core.IsWatcher())
	r.updateLoadPolls()
}

func (r *Router) receive(from string, epoch uint64, message *qlwire.Message) {
	r.post(func(now time.Duration) { r.core.Receive(now, from, epoch, message) })
}

func (r *Router) startRequest(id uint64, assignment qlentry.Assignment) {
	d := decision{
		assignment: assignment,
	}
	d.claimValidUntil, d.hasClaim = r.core.ClaimValidUntil(id)
	r.deliver(id, d)
}

func (r *Router) refuseRequest(id uint64, refusal qlcore.Refusal) {
	r.deliver(id, decision{
		refused: true,
		refusal: refusal,
	})
}

// deliver passes a decision to the request's traffic goroutine. It never
// blocks: each attempt of a request has at most one decision, and the
// request's channel has room for it.
func (r *Router) deliver(id uint64, d decision) {
	r.mu.Lock()
	waiter := r.waiters[id]
	r.mu.Unlock()
	if waiter == nil {
		return
	}
	select {
	case waiter <- d:
	default:
		r.monitor.Check(false, qlinvariant.DecisionTwice, r.settings.ID, "two earlier decisions were not read yet")
	}
}
