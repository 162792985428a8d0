// Package qledge runs a router in front of a platform's upstreams.
//
// It reads the platform's documents (the configuration and the list of
// upstreams) from the platform's store or from other routers, and forwards
// callers' requests according to them. Callers' connections are bounded, and
// requests are refused when the processor is overloaded, so that a retry storm
// exhausts neither descriptors nor memory nor processor time. Readiness checks,
// metrics and state dumps are served on addresses of their own.
//
// # Ownership of state
//
// One control goroutine, run by qlfleet, owns the documents and all decision
// code about engines. Another goroutine calls the platform's store when this
// router has to and passes what it reads to the control goroutine. Each
// caller's request has a goroutine of its own, which reads an immutable view of
// the configuration and the upstreams and asks the control goroutine for
// decisions through a channel.
//
// # Usage
//
//	edge, err := qledge.New(qledge.Config{Settings: settings, Source: source, Dialect: dialect, Log: log})
//	err = edge.Run(ctx) // until the context ends; then a planned stop
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
	"github.com/quetzallane/quetzallane/internal/qlaccept"
	"github.com/quetzallane/quetzallane/internal/qladmission"
	"github.com/quetzallane/quetzallane/internal/qlbudget"
	"github.com/quetzallane/quetzallane/internal/qlcatalog"
	"github.com/quetzallane/quetzallane/internal/qlconn"
	"github.com/quetzallane/quetzallane/internal/qlfeed"
	"github.com/quetzallane/quetzallane/internal/qlfleet"
	"github.com/quetzallane/quetzallane/internal/qlforward"
	"github.com/quetzallane/quetzallane/internal/qllog"
	"github.com/quetzallane/quetzallane/internal/qlmeter"
	"github.com/quetzallane/quetzallane/internal/qloffload"
	"github.com/quetzallane/quetzallane/internal/qloutcome"
	"github.com/quetzallane/quetzallane/internal/qlowner"
	"github.com/quetzallane/quetzallane/internal/qlquarantine"
	"github.com/quetzallane/quetzallane/internal/qlroute"
	"github.com/quetzallane/quetzallane/internal/qlsetting"
	"github.com/quetzallane/quetzallane/internal/qlshed"
	"github.com/quetzallane/quetzallane/internal/qlwarmup"
	"go.uber.org/zap"
)

const (
	// _pruneInterval is the time between searches for unused connections to
	// upstreams, and between log lines about load.
	_pruneInterval = time.Second
	// _firstConfigurationWait is how long callers' connections wait in the
	// kernel for the first configuration. After that, requests are refused
	// until there is one.
	_firstConfigurationWait = 400 * time.Millisecond
	// _configurationPollInterval is the time between checks for the first
	// configuration.
	_configurationPollInterval = 10 * time.Millisecond
	// _gcPercent is how much garbage may accumulate, relative to the memory in
	// use, before the runtime collects it. It is above the default of 100 since
	// the heap is small compared to the VM's memory, and collections cost
	// processor time.
	_gcPercent = 200
	// _memoryLimitFraction is the fraction of the VM's memory that the runtime
	// may use before it collects garbage more often: requests that were not read yet
	// count as the process's memory, too. _requestMemoryFraction is
	// the fraction that active requests, including their bodies, may use.
	_memoryLimitFraction   = 0.5
	_requestMemoryFraction = 0.25
	// _answerMemoryFraction is the fraction for what is held of upstreams' answers.
	_answerMemoryFraction = 0.125
	// _pendingMemoryFraction is the fraction for other routers' answers that callers have not
	// read.
	_pendingMemoryFraction = 0.125
	_megabyte              = 1 << 20
	// _millicoresPerCore converts the VM's capacity, which routers announce in
	// thousandths of a core.
	_millicoresPerCore = 1000
	// _defaultHeaderTimeout and _defaultIdleTimeout apply to callers if no
	// configuration is known when they are first accepted, and always to the
	// servers for readiness checks and operators.
	_defaultHeaderTimeout = 5 * time.Second
	_defaultIdleTimeout   = 60 * time.Second
	// _idleSlack is added to the configured idle timeout, so that connections
	// stay open a little longer than callers reuse them.
	_idleSlack = 500 * time.Millisecond
)

// Config configures an Edge.
type Config struct {
	Settings *qlsetting.Edge
	Source   Source
	Dialect  qlforward.Dialect
	Log      *zap.Logger
	// LogLines counts the lines that the logger dropped or sampled out, for
	// metrics; it may be nil.
	LogLines *qllog.Bounded
}

// Edge is one router.
type Edge struct {
	config     Config
	settings   *qlsetting.Edge
	log        *zap.Logger
	started    time.Time
	fleet      *qlfleet.Fleet
	forwarder  *qlforward.Forwarder
	acceptPace *qladmission.AcceptPace
	callers    *callerConnections
	outcomes   *qloutcome.Counter
	shedder    *qlshed.Shedder
	// admission decides what becomes of callers' requests.
	admission *qladmission.Controller
	// meter bounds what callers' connections use before a request is known.
	meter     *qlmeter.Meter
	budget    *qloffload.Budget
	offloader *qloffload.Offloader
	// offloadServer takes requests of other routers.
	offloadServer *qloffload.Server
	// revision is that of the configuration in force.
	revision        atomic.Uint64
	documentsLoaded atomic.Bool
	// erasBegun counts the store's eras after the first one that this router has known.
	erasBegun atomic.Int64
	// quarantines are those in force.
	quarantines        atomic.Pointer[qlquarantine.List]
	quarantinesStarted atomic.Int64
	// knownFleet is what this router knew of the others at the last tick.
	knownFleet atomic.Pointer[qlwarmup.Fleet]
	prefixes   prefixCounters
	// informed is closed once this router knows which crashes the others know.
	informed chan struct{}
	// callNow ends a pause between calls to the store.
	callNow chan struct{}
	// failed has room for the error of the first server that has ended by itself.
	failed   chan error
	stopping atomic.Bool

	// Only the control goroutine uses the following fields, up to lastLogged.
	table            *qlroute.Table
	rawConfiguration []byte
	catalog          *qlcatalog.Catalog
	feed             *qlfeed.Feed
	fetching         bool
	// liveChanged is set if the live routers have changed since the last tick.
	liveChanged bool
	nextPruneAt time.Duration
	lastLogged  loggedCounters

	randomMu sync.Mutex
	random   *rand.Rand
}

// New returns a router with open sockets for other routers. It also sets the
// runtime's limits on processors and memory for the whole process.
func New(config Config) (*Edge, error) {
	settings := config.Settings
	config.Source = config.Source.withoutPanics()
	cores := settings.ProcessorFraction * float64(settings.Processors)
	e := &Edge{
		config:   config,
		settings: settings,
		log:      config.Log.With(zap.String("router", settings.ID)),
		started:  time.Now(),
		catalog:  qlcatalog.New(),
		feed:     qlfeed.New(settings.ID, settings.Zone),
		callNow:  make(chan struct{}, 1),
		failed:   make(chan error, 1),
		informed: make(chan struct{}),
		shedder:  qlshed.New(),
		random:   newRandom(),
		callers:  newCallerConnections(settings.Descriptors, settings.MemoryMB),
		budget:   qloffload.NewBudget(cores),
		outcomes: qloutcome.New(),

		acceptPace: qladmission.NewAcceptPace(cores),
	}
	e.callers.outcomes = e.outcomes
	e.meter = newMeter(settings, e.clock)
	e.offloader = qloffload.New(qloffload.Config{
		Lag:            func() time.Duration { return e.fleet.Lag() },
		MemoryMB:       settings.MemoryMB,
		UnknownOutcome: func() []byte { return e.forwarder.RawUnknownOutcome() },
		TimedOut:       func() []byte { return e.forwarder.RawTimedOut() },
		Clock:          e.clock,
		Log:            e.log,

		CustomerOf: e.customerOf,
		Outcomes:   e.outcomes,
	})
	e.admission = qladmission.New(qladmission.Config{
		Budget:     e.budget,
		Shedder:    e.shedder,
		CanOffload: e.offloader.Ready,
		CountKept:  e.offloader.CountKept,
		Strained:   e.isStrained,
		Clock:      e.clock,
		Chance:     rand.Float64,
	})
	runtime.GOMAXPROCS(settings.Processors)
	debug.SetGCPercent(_gcPercent)
	debug.SetMemoryLimit(int64(_memoryLimitFraction * float64(settings.MemoryMB) * _megabyte))
	answers := &qlquarantine.Answers{}
	fleet, err := qlfleet.New(qlfleet.Config{
		Core: qlowner.Config{
			Self:             settings.ID,
			Zone:             settings.Zone,
			Address:          settings.PeerAddress,
			Incarnation:      uint64(e.started.UnixMilli()),
			Capacity:         uint32(_millicoresPerCore * cores),
			Random:           newRandom(),
			Seeds:            peerAddresses(settings, e.log),
			Revisions:        e.revisions,
			OnNewerDocuments: e.fetchNewerDocuments,
			OnUpdate:         e.receiveUpdate,
			OnLiveChange:     e.setLiveRouters,
			OnInformed:       sync.OnceFunc(func() { close(e.informed) }),
			Quarantine: qlquarantine.Config{
				OnChange: e.applyQuarantines,
				OnStart:  e.logQuarantine,
				OnEnd:    e.logQuarantineEnd,
			},
			Answers:       answers,
			DecideLocally: settings.Placement != qlsetting.PlacementOwner,
			Policy:        placementPolicy(settings.Placement),
			WeighPrefixes: settings.WeighPrefixes,
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
		Quarantine: qlforward.Quarantine{
			Await:        e.awaitInformed,
			List:         e.quarantines.Load,
			ReportCrash:  e.reportCrash,
			ReportAnswer: e.reportAnswer,
			Answers:      answers,
		},
		Budget: qlbudget.Config{
			Ratio:     settings.RetryRatio,
			Window:    settings.RetryWindow.Std(),
			Allowance: settings.RetryAllowance,
		},
		WarmUp: qlforward.WarmUp{
			Overage:   settings.WarmUpOverage,
			Tolerance: settings.WarmUpTolerance,
			Fleet:     e.warmUpFleet,
		},
		Zone:             settings.Zone,
		CloseConnections: e.callers.isCrowded,
		Admit:            e.admit,
		Backoff:          e.backoff,
		OnOverShare:      e.recordOverShare,
		ReadDelay:        fleet.Lag,
		Lagging:          fleet.Lagging,
		Outcomes:         e.outcomes,
		CallerLeft:       e.callerLeft,
		MaxConnections:   e.callers.forUpstreams,
		MaxMemoryBytes:   int64(_requestMemoryFraction * float64(settings.MemoryMB) * _megabyte),
		BodyIdleTimeout:  settings.BodyIdleTimeout(),
		MinBodyRate:      settings.BodyRate(),
		MaxAnswerBytes:   int64(_answerMemoryFraction * float64(settings.MemoryMB) * _megabyte),
		Clock:            e.clock,
		Random:           newRandom(),
		Log:              e.log,
	})
	e.callers.upstreams = e.forwarder.Connections
	e.offloadServer = qloffload.NewServer(qloffload.ServerConfig{
		Handler:  e.forwarder,
		Declines: e.declinesOffload,
		Log:      e.log,
	})
	return e, nil
}

func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// isStrained reports whether this router, or an owner of engines that it asks, does not keep
// up with what callers send.
func (e *Edge) isStrained() bool {
	return e.acceptPace.IsStrained(e.clock()) || e.fleet.OwnerStrained()
}

func (e *Edge) clock() time.Duration {
	return time.Since(e.started)
}

// jitter returns a random time between half and one and a half times the given
// one, so that routers that failed together do not retry together.
func (e *Edge) jitter(d time.Duration) time.Duration {
	e.randomMu.Lock()
	defer e.randomMu.Unlock()
	return d/2 + time.Duration(e.random.Int64N(int64(d)))
}

// tick is called regularly in the control goroutine. The lag is how late this
// process handles its events.
func (e *Edge) tick(now, lag time.Duration) {
	e.acceptPace.RecordLag(now, lag)
	crowding := e.callers.crowding()
	if e.acceptPace.IsPaced(now) {
		crowding = qlshed.Crowded
	}
	e.shedder.RecordCrowding(crowding)
	e.shedder.RecordLag(now, lag)
	e.budget.RecordLag(lag)
	e.offloadServer.SetRoom(now, e.offloadRoom(lag))
	e.offloader.CheckLinks()
	e.checkStoreLoss(now)
	e.publishIfChanged(now)
	fleetView := e.fleet.Core().Fleet()
	e.knownFleet.Store(&fleetView)
	if e.liveChanged {
		e.liveChanged = false
		e.offloader.Peers().Set(now, e.offloadPeers())
	}
	if now >= e.nextPruneAt {
		e.nextPruneAt = now + _pruneInterval
		e.forwarder.Prune()
		e.offloader.Prune()
		e.logLoad(now, lag)
	}
}

// Run serves until the context ends, then makes a planned stop: active requests
// are finished unless the stop's deadline passes first. It does so, too, and returns an error,
// if one of its servers fails for good.
func (e *Edge) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	// Connections of callers that have vanished are closed by the limits on
	// idle connections and on requests. TCP keep-alive probes would cost system
	// calls on each connection.
	config := net.ListenConfig{
		KeepAlive: -1,
	}
	listener, err := config.Listen(background, "tcp4", e.settings.CallerAddress)
	if err != nil {
		return errors.Annotate(err, "listen for callers")
	}
	if err := limitAcceptQueue(listener, e.settings.ProcessorFraction*float64(e.settings.Processors)); err != nil {
		return errors.Annotate(err, "limit the accept queue")
	}
	offloadListener, err := config.Listen(background, "tcp4", e.settings.OffloadAddress)
	if err != nil {
		return errors.Annotate(err, "listen for offloaded requests")
	}
	fleetEnded := make(chan struct{})
	go func() {
		defer close(fleetEnded)
		e.fleet.Run(background)
	}()
	go e.followStore(background)
	if err := e.serveOperations(); err != nil {
		return errors.Trace(err)
	}
	e.log.Info("started", zap.String("zone", e.settings.Zone), zap.String("callers", e.settings.CallerAddress),
		zap.String("peers", e.settings.PeerAddress), zap.Strings("seeds", e.settings.Seeds))
	server := e.newCallerServer(ctx)
	callers := e.newCallerListener(e.acceptor(listener), server)
	go func() {
		if err := server.Serve(callers); !errors.Is(err, http.ErrServerClosed) {
			e.fail(errors.Annotate(err, "serve callers"))
		}
	}()
	go func() {
		if err := e.offloadServer.Serve(e.acceptor(offloadListener)); !errors.Is(err, net.ErrClosed) {
			e.fail(errors.Annotate(err, "serve offloaded requests"))
		}
	}()
	failure := e.awaitEnd(ctx)
	err = e.stop(server, callers, offloadListener)
	cancel()
	<-fleetEnded
	if failure != nil {
		return errors.Trace(failure)
	}
	return errors.Trace(err)
}

// acceptor returns a listener that accepts again after errors that pass.
func (e *Edge) acceptor(listener net.Listener) net.Listener {
	return qlaccept.New(qlaccept.Config{
		Listener: listener,
		Log:      e.log,
	})
}

// connectionKey is the key of a request's connection in the request's context.
type connectionKey struct{}

// backoff returns the Retry-After of a request that is refused for this VM's load, and
// whether its caller is to close the connection. Requests on kept connections alone can
// make a router lag: while it lags too much for callers that leave to be noticed in time,
// it keeps fewer of them, and limits new ones.
func (e *Edge) backoff() (retryAfter time.Duration, closes bool) {
	now := e.clock()
	retryAfter, elsewhere := e.shedder.Backoff(now, rand.Float64())
	return retryAfter, elsewhere || e.acceptPace.IsPaced(now)
}

// callerLeft reports whether a caller has closed its connection. The server notices by
// itself, but after requests that are ready to be sent, and no lag shows how long a
// connection has waited to be accepted.
func (e *Edge) callerLeft(ctx context.Context) bool {
	conn, ok := ctx.Value(connectionKey{}).(net.Conn)
	return ok && qlconn.ClosedByPeer(conn)
}

// newCallerServer returns the server for callers. It has the limits of the
// first configuration if that arrives within _firstConfigurationWait.
func (e *Edge) newCallerServer(ctx context.Context) *http.Server {
	for waited := time.Duration(0); waited < _firstConfigurationWait && !e.documentsLoaded.Load(); waited += _configurationPollInterval {
		sleep(ctx, _configurationPollInterval)
	}
	server := &http.Server{
		Handler:           e.meteredHandler(),
		ReadHeaderTimeout: _defaultHeaderTimeout,
		IdleTimeout:       _defaultIdleTimeout,
		ErrorLog:          zap.NewStdLog(e.log),
		ConnState: func(conn net.Conn, state http.ConnState) {
			recordHeads(conn, state)
			// The listener has counted the connection.
			if state != http.StateNew {
				e.callers.onStateChange(conn, state)
			}
		},
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

// Reload applies the one changed setting that can change while the router runs:
// the seeds. All others apply from the next start on.
func (e *Edge) Reload(settings *qlsetting.Edge) {
	e.log.Info("settings-reloaded", zap.Strings("seeds", settings.Seeds))
	e.fleet.Post(func(time.Duration) { e.fleet.Core().SetSeeds(peerAddresses(settings, e.log)) })
}
