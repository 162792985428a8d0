// Package qledge runs a router in front of a platform's upstreams.
//
// # Who owns what
//
// One control goroutine, that of the fleet, owns the documents and all
// decision code about engines. One goroutine calls the platform's store when
// this router has to and hands what it reads to control. Callers' requests have
// a goroutine each; they read an immutable view of configuration and
// upstreams, and ask control by a channel.
//
// # Usage
//
//	edge := qledge.New(qledge.Config{Settings: settings, Source: source, Dialect: dialect, Log: log})
//	err := edge.Run(ctx) // until the context ends; then a planned stop
package qledge

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qlbudget"
	"github.com/quetzallane/quetzallane/internal/qlcatalog"
	"github.com/quetzallane/quetzallane/internal/qlconn"
	"github.com/quetzallane/quetzallane/internal/qlfeed"
	"github.com/quetzallane/quetzallane/internal/qlfleet"
	"github.com/quetzallane/quetzallane/internal/qlforward"
	"github.com/quetzallane/quetzallane/internal/qlintake"
	"github.com/quetzallane/quetzallane/internal/qllog"
	"github.com/quetzallane/quetzallane/internal/qlowner"
	"github.com/quetzallane/quetzallane/internal/qlplace"
	"github.com/quetzallane/quetzallane/internal/qlroute"
	"github.com/quetzallane/quetzallane/internal/qlsetting"
	"github.com/quetzallane/quetzallane/internal/qlshed"
	"go.uber.org/zap"
)

const (
	// _pruneInterval is the time between searches for unused connections.
	_pruneInterval = time.Second
	// _firstView is how long callers' connections wait in the kernel for the
	// first configuration before they are answered that there is none.
	_firstView = 400 * time.Millisecond
	// _stopMargin is how much earlier than the platform's SIGKILL a stop ends.
	_stopMargin = 250 * time.Millisecond
	// _unreadMost bounds how long a stop waits for requests that have come and
	// were not read yet, looking each _unreadPoll; what comes is read soon while
	// the lag is below _unreadLag.
	_unreadMost = time.Second
	_unreadPoll = 20 * time.Millisecond
	_unreadLag  = 30 * time.Millisecond
	// _viewPoll is how often the first configuration is looked for.
	_viewPoll = 10 * time.Millisecond
	// _collectPercent is how much garbage the runtime gathers against what is in
	// use: the heap is small against the VM's memory, and collections cost
	// processor time.
	_collectPercent = 200
	// _memoryPart is the part of the VM's memory that the runtime may use
	// before it collects harder; _bodyPart is what requests may hold.
	_memoryPart = 0.7
	_bodyPart   = 0.25
	_megabyte   = 1 << 20
	// _milli is how many parts of a core a VM's capacity is told in.
	_milli = 1000
	// _defaultHeaderTimeout and _defaultIdleTimeout hold where no
	// configuration is known when callers are first accepted.
	_defaultHeaderTimeout = 5 * time.Second
	_defaultIdleTimeout   = 60 * time.Second
	// _idleSlack keeps connections a little longer than callers use them.
	_idleSlack = 500 * time.Millisecond
)

// Config configures an Edge.
type Config struct {
	Settings *qlsetting.Edge
	Source   Source
	Dialect  qlforward.Dialect
	Log      *zap.Logger
	// Lines is the logger's volume, for metrics; it may be nil.
	LogLines *qllog.Bounded
}

// Edge is one running router.
type Edge struct {
	config    Config
	settings  *qlsetting.Edge
	log       *zap.Logger
	started   time.Time
	fleet     *qlfleet.Fleet
	forwarder *qlforward.Forwarder
	callers   *callerConnections
	shedder   *qlshed.Shedder
	known     atomic.Bool
	// callNow ends a pause between calls to the store.
	callNow  chan struct{}
	stopping atomic.Bool

	// What follows belongs to the control goroutine.
	table    *qlroute.Table
	rawTable []byte
	catalog  *qlcatalog.Catalog
	feed     *qlfeed.Feed
	fetching bool
	pruneAt  time.Duration
	logged   logged

	randomMu sync.Mutex
	random   *rand.Rand
}

// New opens the sockets to other routers.
func New(config Config) (*Edge, error) {
	settings := config.Settings
	e := &Edge{
		config:   config,
		settings: settings,
		log:      config.Log.With(zap.String("router", settings.ID)),
		started:  time.Now(),
		catalog:  qlcatalog.New(),
		feed:     qlfeed.New(settings.ID, settings.Zone),
		callNow:  make(chan struct{}, 1),
		shedder:  qlshed.New(),
		random:   newRandom(),
		callers:  newCallerConnections(settings.Descriptors, settings.MemoryMB),
	}
	runtime.GOMAXPROCS(settings.Processors)
	debug.SetGCPercent(_collectPercent)
	debug.SetMemoryLimit(int64(_memoryPart * float64(settings.MemoryMB) * _megabyte))
	fleet, err := qlfleet.New(qlfleet.Config{
		Core: qlowner.Config{
			Self:             settings.ID,
			Zone:             settings.Zone,
			Address:          settings.PeerAddress,
			Incarnation:      uint64(e.started.UnixMilli()),
			Capacity:         uint32(_milli * settings.ProcessorFraction * float64(settings.Processors)),
			Random:           newRandom(),
			Seeds:            peerAddresses(settings, e.log),
			Revisions:        e.revisions,
			OnNewerDocuments: e.behind,
			OnUpdate:         e.takeUpdate,
			OnLiveChange:     e.setRouters,
			DecideLocally:    settings.Placement != qlsetting.PlacementOwner,
			Policy:           policyOf(settings.Placement),
		},
		AnswerFetch: e.answerFetch,
		OnTick:      e.tick,
		Clock:       e.clock,
		Log:         e.log,
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	e.fleet = fleet
	e.forwarder = qlforward.New(qlforward.Config{
		Dialect: config.Dialect,
		Placement: qlforward.Placement{
			Decide:      fleet.Ask,
			FirstEvent:  fleet.FirstEvent,
			End:         fleet.End,
			RouterCount: fleet.LiveCount,
		},
		Budget: qlbudget.Config{
			Ratio:     settings.RetryRatio,
			Window:    settings.RetryWindow.Std(),
			Allowance: settings.RetryAllowance,
		},
		Zone:             settings.Zone,
		CloseConnections: e.callers.isCrowded,
		Admit: func(ctx context.Context, customer string) bool {
			// The intake has asked for what it passed on.
			conn, ok := ctx.Value(connectionKey{}).(*qlintake.Conn)
			return ok && conn.AdmissionChecked() || e.shedder.Admit(e.clock(), customer, rand.Float64())
		},
		Backoff: func() (time.Duration, bool) {
			return e.shedder.Backoff(e.clock(), rand.Float64())
		},
		ReadDelay:      fleet.Lag,
		Lagging:        fleet.Lagging,
		CallerLeft:     e.callerLeft,
		MaxMemoryBytes: int64(_bodyPart * float64(settings.MemoryMB) * _megabyte),
		Clock:          e.clock,
		Random:         newRandom(),
		Log:            e.log,
	})
	return e, nil
}

// policyOf returns the policy of a placement setting.
func policyOf(placement string) qlplace.Policy {
	switch placement {
	case qlsetting.PlacementAffinity:
		return qlplace.Affinity
	case qlsetting.PlacementLoad:
		return qlplace.FewestActive
	}
	return qlplace.Predict
}

func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// peerAddresses are where the seeds' routers are reached: ports are the same
// on all VMs.
func peerAddresses(settings *qlsetting.Edge, log *zap.Logger) []string {
	_, port, err := net.SplitHostPort(settings.PeerAddress)
	if err != nil {
		log.Error("peer-address-invalid", zap.String("address", settings.PeerAddress), zap.Error(err))
		return nil
	}
	var addresses []string
	for _, seed := range settings.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			log.Warn("seed-invalid", zap.String("seed", seed), zap.Error(err))
			continue
		}
		addresses = append(addresses, net.JoinHostPort(host, port))
	}
	return addresses
}

func (e *Edge) clock() time.Duration {
	return time.Since(e.started)
}

// spread returns a time around the given one, so that routers that failed
// together do not return together.
func (e *Edge) spread(d time.Duration) time.Duration {
	e.randomMu.Lock()
	defer e.randomMu.Unlock()
	return d/2 + time.Duration(e.random.Int64N(int64(d)))
}

// tick runs in the control goroutine.
func (e *Edge) tick(now, lag time.Duration) {
	e.shedder.RecordLag(now, lag)
	e.checkStore(now)
	e.refresh(now)
	if now >= e.pruneAt {
		e.pruneAt = now + _pruneInterval
		e.forwarder.Prune()
		e.logPlacement(now)
		e.logLoad(now, lag)
	}
}

// Run serves until the context ends, then stops as planned: what runs is
// finished, as far as the stop's deadline allows.
func (e *Edge) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	// Callers that vanish are found by the limits on idle connections and on
	// requests; the kernel's probes would cost calls on each connection.
	config := net.ListenConfig{
		KeepAlive: -1,
	}
	callers, err := config.Listen(background, "tcp4", e.settings.CallerAddress)
	if err != nil {
		return errors.Annotate(err, "listen for callers")
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		e.fleet.Run(background)
	}()
	go e.follow(background)
	if err := e.serveOperations(); err != nil {
		return errors.Trace(err)
	}
	e.log.Info("started", zap.String("zone", e.settings.Zone), zap.String("callers", e.settings.CallerAddress),
		zap.String("peers", e.settings.PeerAddress), zap.Strings("seeds", e.settings.Seeds))
	server := e.callerServer(ctx)
	go func() {
		if err := server.Serve(&limitListener{
			Listener: callers,
			takes:    e.callers.takes,
			intake: qlintake.New(qlintake.Config{
				Overloaded:  func() bool { return e.shedder.RefusedFraction() > 0 },
				Refuse:      func(head qlintake.Head) ([]byte, bool) { return e.forwarder.RefuseHead(head.Get) },
				IdleTimeout: func() time.Duration { return server.IdleTimeout },
			}),
			log: e.log,
		}); !errors.Is(err, http.ErrServerClosed) {
			e.log.Error("callers-not-served", zap.Error(err))
		}
	}()
	<-ctx.Done()
	err = e.stop(server)
	cancel()
	<-ended
	return errors.Trace(err)
}

// connectionKey finds a request's connection in its context.
type connectionKey struct{}

// callerLeft looks whether a caller closed its connection. The server finds out
// by itself, but late when the processor is: requests that waited unread may be
// of callers that gave up meanwhile.
func (e *Edge) callerLeft(ctx context.Context) bool {
	conn, ok := ctx.Value(connectionKey{}).(net.Conn)
	return ok && e.shedder.RefusedFraction() > 0 && qlconn.ClosedByPeer(conn)
}

// callerServer returns the server for callers, with the limits of the first
// configuration if it comes soon.
func (e *Edge) callerServer(ctx context.Context) *http.Server {
	for waited := time.Duration(0); waited < _firstView && !e.known.Load(); waited += _viewPoll {
		sleep(ctx, _viewPoll)
	}
	server := &http.Server{
		Handler:           e.forwarder,
		ReadHeaderTimeout: _defaultHeaderTimeout,
		IdleTimeout:       _defaultIdleTimeout,
		ErrorLog:          zap.NewStdLog(e.log),
		ConnState:         e.callers.changed,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, conn)
		},
	}
	e.fleet.Call(func(time.Duration) {
		if e.table == nil {
			return
		}
		limits := e.table.Limits()
		if limits.HeaderTimeout > 0 {
			server.ReadHeaderTimeout = limits.HeaderTimeout
		}
		if limits.IdleTimeout > 0 {
			server.IdleTimeout = limits.IdleTimeout + _idleSlack
		}
		server.MaxHeaderBytes = limits.HeaderBytes
	})
	return server
}

// stop ends what runs: the balancer is told first and connections are taken
// until it has noticed; then the last requests are waited for.
func (e *Edge) stop(server *http.Server) error {
	began := time.Now()
	e.stopping.Store(true)
	e.forwarder.SetClosing()
	e.fleet.Call(func(time.Duration) { e.fleet.Core().Leave() })
	e.log.Info("stopping", zap.Int64("active", e.forwarder.Active()))
	deadline := began.Add(e.settings.StopDeadline.Std() - _stopMargin)
	time.Sleep(e.settings.BalancerNotice.Std())
	e.forwarder.SetRefusing()
	e.awaitUnread(time.Now().Add(min(_unreadMost, time.Until(deadline))))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	err := server.Shutdown(ctx)
	cut := e.forwarder.Active()
	e.log.Info("stopped", zap.Int64("cut", cut), zap.Duration("took", time.Since(began)))
	if cut > 0 {
		return errors.Errorf("stop cut %d requests", cut)
	}
	if err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return errors.Annotate(err, "stop")
	}
	return nil
}

// awaitUnread waits until callers' requests that have come are read, as far as
// can be seen: the server closes idle connections without a look.
func (e *Edge) awaitUnread(until time.Time) {
	for time.Now().Before(until) && (e.fleet.Lag() > _unreadLag || e.callers.anyUnread()) {
		time.Sleep(_unreadPoll)
	}
}

// Reload takes changed settings as far as they can change while the router
// runs: the seeds. All others hold from the next start on.
func (e *Edge) Reload(settings *qlsetting.Edge) {
	e.log.Info("settings-reloaded", zap.Strings("seeds", settings.Seeds))
	e.fleet.Post(func(time.Duration) { e.fleet.Core().SetSeeds(peerAddresses(settings, e.log)) })
}
