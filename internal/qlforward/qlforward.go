// Package qlforward handles the requests of callers: it looks up the route,
// customer and service of a request, forwards the request to an upstream, and
// forwards the answer to the caller.
//
// Upstreams may refuse requests, fail, hang or break off an answer, and callers
// may send more requests than the VM or a service has capacity for. Only the
// router that accepted a request sends it to upstreams, so this router knows
// whether any byte of it has left. The status of an answer follows from that:
// 503 or 429 with Retry-After if the request has certainly not run, and 502 or
// 504 if its outcome is unknown. A request that must not run twice is sent
// again only if it has certainly not run. Other requests are retried within the
// route's maximum number of attempts and the fleet's retry budget.
//
// # Usage
//
//	forwarder := qlforward.New(qlforward.Config{Dialect: dialect, Placement: placement, Log: log})
//	forwarder.SetView(qlforward.NewView(table, entries, position))
//	server := &http.Server{Handler: forwarder}
package qlforward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qlbalance"
	"github.com/quetzallane/quetzallane/internal/qlbudget"
	"github.com/quetzallane/quetzallane/internal/qlcatalog"
	"github.com/quetzallane/quetzallane/internal/qlconn"
	"github.com/quetzallane/quetzallane/internal/qlmemory"
	"github.com/quetzallane/quetzallane/internal/qloffload"
	"github.com/quetzallane/quetzallane/internal/qloutcome"
	"github.com/quetzallane/quetzallane/internal/qlpace"
	"github.com/quetzallane/quetzallane/internal/qlpause"
	"github.com/quetzallane/quetzallane/pkg/qlcode"
	"go.uber.org/zap"
)

const (
	// _timeoutGrace is how much longer the router waits for an answer than the
	// time limit that it sends to the upstream, so that the upstream's own
	// timeout answer arrives first.
	_timeoutGrace = 100 * time.Millisecond
	// _offloadGrace is how much longer than its time limit a request that another router has
	// taken is waited for, so that the other router's own answer arrives first.
	_offloadGrace = 2 * _timeoutGrace
	// _defaultTimeout is the time limit of a request if neither the caller nor
	// the route sets one.
	_defaultTimeout = 30 * time.Second
	// _notReadyRetry is the Retry-After of a router that lacks a configuration,
	// a known service or memory for a request.
	_notReadyRetry = 500 * time.Millisecond
	// _shedRetry is the Retry-After of a request whose upstreams are absent,
	// full or unreachable.
	_shedRetry = 200 * time.Millisecond
	// _rejectedRetry is the Retry-After on a connection that the router
	// rejects.
	_rejectedRetry = 40 * time.Millisecond
	// _pacedRetry is the mean Retry-After of a request to a service that
	// answers later than its latency objective.
	_pacedRetry = 300 * time.Millisecond
	// _dialTimeout limits the time to open a connection; the longest network
	// path between zones of one region takes a tenth of it.
	_dialTimeout = 300 * time.Millisecond
	// _upstreamIdleTimeout is how long an idle connection is kept unless the
	// upstream states a shorter time.
	_upstreamIdleTimeout = 20 * time.Second
	// _requestMemoryBytes is the memory that a request needs in addition to its
	// body.
	_requestMemoryBytes = 16 << 10
	// _resultHeader carries the result code of an answer that the router itself
	// generated.
	_resultHeader = "Quetzallane-Result"
)

// Config configures a Forwarder.
type Config struct {
	Dialect    Dialect
	Placement  Placement
	Quarantine Quarantine
	// Budget configures the retry budget of each service.
	Budget qlbudget.Config
	// WarmUp configures the limits on requests to cold upstreams.
	WarmUp WarmUp
	// Zone is the availability zone of this router.
	Zone string
	// CloseConnections reports whether callers are to close their connections.
	CloseConnections func() bool
	// Admit reports whether this VM has processor time for a request of the
	// customer; the context is that of the request.
	Admit func(ctx context.Context, customer string) bool
	// Backoff returns the Retry-After of a request that Admit refused, and whether
	// its caller is to close the connection.
	Backoff func() (retryAfter time.Duration, closes bool)
	// OnOverShare is called when the owner of the service's engines has refused a request of
	// the customer since it is above its share; the context is that of the request.
	OnOverShare func(ctx context.Context, service, customer string)
	// ReadDelay returns how long requests currently wait at this VM before they
	// are read.
	ReadDelay func() time.Duration
	// CallerLeft reports whether the caller of a request has closed its
	// connection. It can detect this before the context of the request is
	// canceled.
	CallerLeft func(ctx context.Context) bool
	// Lagging reports whether this process handles its events with a delay. The
	// durations that it measures then say nothing about upstreams.
	Lagging func() bool
	// Outcomes counts how requests end; it may be nil.
	Outcomes *qloutcome.Counter
	// MaxConnections returns how many connections to upstreams may be open at present. It may
	// be nil.
	MaxConnections func() int
	// MinBodyRate is the rate at which a caller's body has to come, in bytes per second; 0 for
	// no limit.
	MinBodyRate float64
	// MaxMemoryBytes limits the memory of all active requests, and MaxAnswerBytes that of
	// upstreams' answers to them; 0 for no limit of the latter.
	MaxMemoryBytes int64
	MaxAnswerBytes int64
	// BodyIdleTimeout is how long nothing may come of a caller's body that has not arrived whole.
	BodyIdleTimeout time.Duration
	// Clock returns the time on a monotonic clock.
	Clock  func() time.Duration
	Random *rand.Rand
	Log    *zap.Logger
}

// Forwarder is the HTTP handler for the requests of callers. It is safe for
// concurrent use.
type Forwarder struct {
	config          Config
	pool            *qlconn.Pool
	view            atomic.Pointer[View]
	stop            *stopState
	lastPlacementID atomic.Uint64
	activeRequests  atomic.Int64
	// memory is that of active requests, answerMemory that of upstreams' answers to them.
	memory       *qlmemory.Account
	answerMemory *qlmemory.Account
	// bodies are those that are being read.
	bodies  bodyList
	metrics *Metrics

	// mu guards the state that all requests share, by service.
	mu        sync.Mutex
	balancers map[string]*qlbalance.Balancer
	pacers    map[string]*qlpace.Pacer
	budgets   map[string]*qlbudget.Budget
	// cold holds the upstreams of plain services that have been cold lately, by id.
	cold map[string]*coldUpstream

	beginning beginningAttempts
	// pauses holds the upstreams that get no requests at present.
	pauses *qlpause.Table
}

// New returns a forwarder without a view. Until SetView is called, it refuses
// all requests as not run.
func New(config Config) *Forwarder {
	f := &Forwarder{
		config:    config,
		metrics:   newMetrics(),
		balancers: make(map[string]*qlbalance.Balancer),
		pacers:    make(map[string]*qlpace.Pacer),
		budgets:   make(map[string]*qlbudget.Budget),
		cold:      make(map[string]*coldUpstream),
		pauses:    qlpause.New(),
		stop:      newStopState(),

		memory:       qlmemory.NewAccount(config.MaxMemoryBytes),
		answerMemory: qlmemory.NewAccount(config.MaxAnswerBytes),
	}
	f.lastPlacementID.Store(config.Random.Uint64() >> _placementIDShift)
	f.pool = qlconn.New(qlconn.Config{
		DialTimeout: _dialTimeout,
		IdleTimeout: _upstreamIdleTimeout,
		MaxOpen:     config.MaxConnections,
		Memory:      f.answerMemory,
		Matches: func(response *http.Response, id string) bool {
			return config.Dialect.ReadCaller(response.Header).ID == id
		},
	})
	return f
}

// _placementIDShift is how far the random first placement id is shifted right:
// ids then differ after each start, and there is room to count upwards without
// overflow.
const _placementIDShift = 16

// SetView sets the configuration and the list of upstreams for new requests.
func (f *Forwarder) SetView(view *View) {
	f.view.Store(view)
}

// Active returns the number of active requests.
func (f *Forwarder) Active() int64 {
	return f.activeRequests.Load()
}

// MemoryBytes returns the memory of all active requests, in bytes.
func (f *Forwarder) MemoryBytes() int64 {
	return f.memory.Used()
}

// AnswerBytes returns the memory of upstreams' answers beyond a small part of each, in bytes.
func (f *Forwarder) AnswerBytes() int64 {
	return f.answerMemory.Used()
}

// MemoryHalfUsed reports whether active requests use more than half of the memory that they
// may use.
func (f *Forwarder) MemoryHalfUsed() bool {
	return f.memory.Used() > f.config.MaxMemoryBytes/2
}

// Connections returns the number of open connections to upstreams.
func (f *Forwarder) Connections() int {
	return f.pool.Open()
}

// Prune closes idle connections that expired or whose upstream is not ready,
// and removes the load figures of upstreams that are not ready.
func (f *Forwarder) Prune() {
	view := f.view.Load()
	if view == nil {
		return
	}
	addresses := make(map[string]bool, len(view.readyByID))
	for _, entry := range view.readyByID {
		addresses[entry.Address] = true
	}
	f.pool.Prune(func(address string) bool { return addresses[address] })
	f.pauses.Prune(f.config.Clock())
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pruneCold(f.config.Clock())
	for _, balancer := range f.balancers {
		balancer.Prune(func(id string) bool { return view.readyByID[id].ID != "" })
	}
}

// ServeHTTP handles one request.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	f.activeRequests.Add(1)
	defer f.activeRequests.Add(-1)
	if f.closesConnections() {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{
		w:       w,
		request: request,
		start:   time.Now(),
		caller:  f.config.Dialect.ReadCaller(request.Header),
	}
	defer f.recoverPanic(x)
	if origin, ok := qloffload.OriginOf(request.Context()); ok {
		x.start, x.offloadedBy = x.start.Add(-origin.Waited()), origin.From()
	}
	if x.caller.HeaderError != nil {
		f.config.Log.Info("header-unreadable", zap.String("id", x.caller.ID), zap.String("from", "caller"),
			zap.Error(x.caller.HeaderError))
	}
	if f.refusesToStop(x) || !f.admit(x) {
		return
	}
	x.holding = f.memory.NewHolding(0)
	defer x.holding.Release()
	if err := f.reserve(x.holding, _requestMemoryBytes+int(max(request.ContentLength, 0))); err != nil {
		f.refuse(x, qlcode.QueueFull, _notReadyRetry, "memory for requests is used up")
		return
	}
	if !f.readBody(x) || !f.resolve(x) || f.refusesToStop(x) {
		return
	}
	cancel := f.setDeadline(x)
	defer cancel()
	if x.view.isServiceEvacuated(x.service.Name()) {
		f.refuse(x, qlcode.NoUpstream, _evacuatedRetry, "the service is only in evacuated zones")
		return
	}
	if x.service.Engine() != nil && x.caller.Prompt != nil {
		f.serveEngine(x)
		return
	}
	f.servePlain(x)
}

// admit looks up the customer by the key and refuses the request before its
// body is read if this VM has no processor time or connection for it. It reports
// whether the request is admitted.
func (f *Forwarder) admit(x *exchange) bool {
	view := f.view.Load()
	if view == nil {
		f.refuse(x, qlcode.NotReady, _notReadyRetry, "no configuration yet")
		return false
	}
	x.setCustomer(view)
	cause := _overloadedCause
	switch {
	case f.pool.Full():
		cause = "all connections to upstreams are in use"
	case f.config.Admit(x.request.Context(), x.customer):
		return true
	}
	retryAfter, closes := f.config.Backoff()
	if closes {
		x.w.Header().Set("Connection", "close")
	}
	f.refuse(x, qlcode.RouterOverloaded, retryAfter, cause)
	return false
}

// resolve looks up route, customer and service, and reports whether all were
// found. It uses the configuration that is in force once the request has been
// read completely.
func (f *Forwarder) resolve(x *exchange) bool {
	x.setCustomer(f.view.Load())
	path, _, _ := strings.Cut(x.request.RequestURI, "?")
	x.route = x.view.table.Match(x.request.Host, path)
	if x.route == nil {
		f.fail(x, qlcode.UnknownPool, "no route")
		return false
	}
	if x.customer == "" && x.view.table.RequiresKey() && !x.route.Public() {
		f.fail(x, qlcode.UnknownKey, "")
		return false
	}
	x.service = x.view.table.Service(x.route.Target(xxhash.Sum64String(x.caller.ID)))
	if x.service == nil {
		f.refuse(x, qlcode.NoUpstream, _notReadyRetry, "the route's service is unknown")
		return false
	}
	return true
}

// outgoing returns the headers of a request to the upstream with the id.
func (f *Forwarder) outgoing(x *exchange, upstream string) http.Header {
	header := make(http.Header, len(x.request.Header)+4)
	for name, values := range x.request.Header {
		if !hopByHop(name) {
			header[name] = values
		}
	}
	for _, name := range connectionHeaders(x.request.Header) {
		header.Del(name)
	}
	lastEventID := x.caller.LastEventID
	if x.hasLastEventID {
		lastEventID = x.lastEventID
	}
	f.config.Dialect.SetOutgoing(header, Outgoing{
		Timeout:     max(x.remaining(), time.Millisecond),
		Upstream:    upstream,
		Customer:    x.customer,
		LastEventID: lastEventID,
		HideKey:     x.view.table.RequiresKey(),
	})
	return header
}

// send sends the request to an upstream once and waits for the head of the
// response, for at most headTimeout unless that is 0. Canceling ctx breaks the answer off.
func (f *Forwarder) send(ctx context.Context, x *exchange, entry qlcatalog.Entry, headTimeout time.Duration) (*qlconn.Exchange, error) {
	x.upstream, x.upstreamStart, x.progress, x.sentAt = entry.ID, entry.StartMillis, progressNone, time.Now()
	routers := max(f.config.Placement.RouterCount(), 1)
	e, err := f.pool.Do(ctx, &qlconn.Request{
		Address:        entry.Address,
		ID:             x.caller.ID,
		Method:         x.request.Method,
		Target:         x.request.RequestURI,
		Host:           x.request.Host,
		Header:         f.outgoing(x, entry.ID),
		Body:           x.body,
		HeadTimeout:    headTimeout,
		MaxConnections: connectionShare(x.service.MaxConnections(), routers),
		Abandoned: func() bool {
			x.callerLeft = f.config.CallerLeft(x.request.Context())
			// The timer of the context may fire late.
			x.outOfTime = x.remaining() <= 0
			return x.callerLeft || x.outOfTime || f.isEvacuated(entry)
		},
	})
	if x.outOfTime {
		return nil, errors.WithType(errOutOfTime, qlconn.ErrNotSent)
	}
	if err != nil && errors.Is(err, qlconn.ErrNotSent) && f.isEvacuated(entry) {
		return nil, f.withhold(x)
	}
	if err == nil || !errors.Is(err, qlconn.ErrNotSent) {
		x.attempts++
		x.sentBeforeAttempt = x.sent
		x.sent = true
	}
	if err == nil {
		x.progress, x.answerBeganAt = progressHead, f.config.Clock()
	}
	return e, err
}

// errOutOfTime ends a request whose time limit has passed before it was sent.
var errOutOfTime = errors.New("the time limit has passed before the request was sent")

const (
	// _usableConnectionFraction is the fraction of an upstream's connection
	// limit that all routers together may use. The rest allows for the moments
	// in which routers disagree on the number of routers.
	_usableConnectionFraction = 0.9
	// _minConnectionsPerRouter is the number of connections that each router
	// may open to an upstream even if its share is smaller.
	_minConnectionsPerRouter = 4
)

// connectionShare returns how many connections this router may open to an
// upstream that accepts total connections from all routers; 0 means no limit.
func connectionShare(total, routers int) int {
	if total == 0 {
		return 0
	}
	return max(int(_usableConnectionFraction*float64(total))/routers, _minConnectionsPerRouter)
}

// takeRetry reports whether the request may be sent once more after an upstream
// may have run it or refused it. If so, it takes one retry from the service's
// retry budget.
func (f *Forwarder) takeRetry(x *exchange) bool {
	if x.attempts >= x.route.MaxAttempts() || x.remaining() <= 0 || x.ctx.Err() != nil || f.stopsTooSoon(x) {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.budget(x.service.Name()).Take(f.config.Clock(), f.config.Placement.RouterCount())
}

// countRequest adds a request to its service's retry budget.
func (f *Forwarder) countRequest(x *exchange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.budget(x.service.Name()).RecordRequest(f.config.Clock())
}

// budget returns the retry budget of a service. The caller holds mu.
func (f *Forwarder) budget(service string) *qlbudget.Budget {
	budget := f.budgets[service]
	if budget == nil {
		budget = qlbudget.New(f.config.Budget)
		f.budgets[service] = budget
	}
	return budget
}
