// Package qlforward serves callers: it finds a request's route, customer and
// upstream, forwards it, and passes the answer on.
//
// The router that a caller reached is the only one that sends its request, so
// it alone knows whether a byte of it has left. From that follow the answers:
// 503 with Retry-After where the request has certainly not run, 502 and 504
// where nothing can be promised. A request that may not be repeated is sent
// once. Others are sent again within the route's attempts and the fleet's
// budget of repeats.
//
// # Usage
//
//	forwarder := qlforward.New(qlforward.Config{Dialect: dialect, Placement: placement, Log: log})
//	forwarder.SetView(qlforward.NewView(table, entries, revision))
//	server := &http.Server{Handler: forwarder}
package qlforward

import (
	"context"
	"io"
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
	"github.com/quetzallane/quetzallane/internal/qlpace"
	"github.com/quetzallane/quetzallane/internal/qlroute"
	"github.com/quetzallane/quetzallane/pkg/qlcode"
	"go.uber.org/zap"
)

const (
	// _timeoutGrace is how much later than told to the upstream a request is
	// given up, so that the upstream's own answer comes first.
	_timeoutGrace = 100 * time.Millisecond
	// _defaultWait bounds requests that state no time and whose route has none.
	_defaultWait = 30 * time.Second
	// _notReadyRetry is when callers return to a router without configuration.
	_notReadyRetry = 500 * time.Millisecond
	// _shedRetry is when callers return to a service that is full.
	_shedRetry = 200 * time.Millisecond
	// _rejectedRetry is when callers whose connection was rejected return.
	_rejectedRetry = 40 * time.Millisecond
	// _pacedRetry is when callers return to a service that answers late.
	_pacedRetry = 300 * time.Millisecond
	// _dialTimeout bounds a connection's making; the longest path between
	// zones of one region takes a tenth of it.
	_dialTimeout = 300 * time.Millisecond
	// _upstreamIdle is how long unused connections are kept where the
	// upstream states no time.
	_upstreamIdle = 20 * time.Second
	// _requestMemory is the memory of a request beside its body, in bytes.
	_requestMemory = 16 << 10
	// _resultHeader carries the result code of answers of the router's own.
	_resultHeader = "Quetzallane-Result"
)

// Config configures a Forwarder.
type Config struct {
	Dialect   Dialect
	Placement Placement
	// Budget bounds repeated sends to a service.
	Budget qlbudget.Config
	Zone   string
	// Crowded reports whether callers should close their connections.
	CloseConnections func() bool
	// Admit reports whether this VM's processor has room for a customer's
	// request; the context is the request's.
	Admit func(ctx context.Context, customer string) bool
	// Backoff returns when callers that Admit refused should return, and whether
	// new connections reach other routers by now.
	Backoff func() (retryAfter time.Duration, elsewhere bool)
	// Waited returns for how long requests wait at this VM until they are read.
	ReadDelay func() time.Duration
	// Left reports whether a request's caller has closed its connection, as far
	// as the request's context does not tell yet.
	CallerLeft func(ctx context.Context) bool
	// Late reports whether this process handles its events late: the times that
	// it takes say nothing about upstreams then.
	Lagging func() bool
	// BodyMemory bounds the memory of all requests under way, in bytes.
	MaxMemoryBytes int64
	Clock          func() time.Duration
	Random         *rand.Rand
	Log            *zap.Logger
}

// Forwarder is the handler of callers' requests. It is safe for several
// goroutines.
type Forwarder struct {
	config   Config
	pool     *qlconn.Pool
	view     atomic.Pointer[View]
	closing  atomic.Bool
	refusing atomic.Bool
	next     atomic.Uint64
	active   atomic.Int64
	held     atomic.Int64
	metrics  *Metrics

	// mu guards what all requests decide by.
	mu        sync.Mutex
	balancers map[string]*qlbalance.Balancer
	pacers    map[string]*qlpace.Pacer
	budgets   map[string]*qlbudget.Budget
}

// New returns a forwarder without a view; it refuses all requests as not run.
func New(config Config) *Forwarder {
	f := &Forwarder{
		config:    config,
		metrics:   newMetrics(),
		balancers: make(map[string]*qlbalance.Balancer),
		pacers:    make(map[string]*qlpace.Pacer),
		budgets:   make(map[string]*qlbudget.Budget),
	}
	f.next.Store(config.Random.Uint64() >> _requestBits)
	f.pool = qlconn.New(qlconn.Config{
		DialTimeout: _dialTimeout,
		IdleTimeout: _upstreamIdle,
		Matches: func(response *http.Response, id string) bool {
			return config.Dialect.ReadCaller(response.Header).ID == id
		},
	})
	return f
}

// _requestBits keeps the first number of a request small enough to count up
// from, yet different after each start.
const _requestBits = 16

// SetView takes a new configuration or list of upstreams.
func (f *Forwarder) SetView(view *View) {
	f.view.Store(view)
}

// SetClosing makes answers ask their callers to close the connection.
func (f *Forwarder) SetClosing() {
	f.closing.Store(true)
}

// closesConnections reports whether callers should close theirs.
func (f *Forwarder) closesConnections() bool {
	return f.closing.Load() || f.config.CloseConnections()
}

// SetRefusing makes the router refuse all further requests: it stops, and
// could not finish them.
func (f *Forwarder) SetRefusing() {
	f.refusing.Store(true)
}

// Active returns how many requests are under way.
func (f *Forwarder) Active() int64 {
	return f.active.Load()
}

// MemoryBytes returns the memory of the requests under way, in bytes.
func (f *Forwarder) MemoryBytes() int64 {
	return f.held.Load()
}

// Prune closes connections that are not of use any more.
func (f *Forwarder) Prune() {
	view := f.view.Load()
	if view == nil {
		return
	}
	addresses := make(map[string]bool, len(view.byID))
	for _, entry := range view.byID {
		addresses[entry.Address] = true
	}
	f.pool.Prune(func(address string) bool { return addresses[address] })
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, balancer := range f.balancers {
		balancer.Prune(func(id string) bool { return view.byID[id].ID != "" })
	}
}

// exchange is one request under way.
type exchange struct {
	w        http.ResponseWriter
	request  *http.Request
	ctx      context.Context
	start    time.Time
	deadline time.Time
	view     *View
	caller   Caller
	route    *qlroute.Route
	service  *qlroute.Service
	customer string
	body     []byte
	// attempts counts the upstreams that the request was sent to.
	attempts int
	// sent is set once an upstream may have run the request.
	sent bool
	// sentBefore is what sent was before the last attempt.
	sentBefore bool
	excluded   []string
	upstream   string
	// head is the header of the first engine that answered.
	head    http.Header
	began   bool
	last    int64
	hasLast bool
	cause   string
	// gone is set when the caller was found to have left.
	gone bool
	// decider and predicted are those of the last placement; first is the
	// time to the first event that was passed on.
	decider   string
	predicted time.Duration
	first     time.Duration
}

// ServeHTTP serves one request.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	f.active.Add(1)
	defer f.active.Add(-1)
	if f.closesConnections() {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{
		w:       w,
		request: request,
		start:   time.Now(),
		caller:  f.config.Dialect.ReadCaller(request.Header),
	}
	defer f.endFault(x)
	if x.caller.HeaderError != nil {
		f.config.Log.Info("header-unreadable", zap.String("id", x.caller.ID), zap.String("from", "caller"),
			zap.Error(x.caller.HeaderError))
	}
	if f.refusing.Load() {
		f.refuse(x, qlcode.Stopping, 0, "the router stops")
		return
	}
	if !f.identify(x) {
		return
	}
	held := int64(_requestMemory) + max(request.ContentLength, 0)
	defer f.held.Add(-held)
	if f.held.Add(held) > f.config.MaxMemoryBytes {
		f.refuse(x, qlcode.QueueFull, _notReadyRetry, "memory for requests is used up")
		return
	}
	if !f.readBody(x) || !f.resolve(x) {
		return
	}
	cancel := f.bound(x)
	defer cancel()
	if x.service.Engine() != nil && x.caller.Prompt != nil {
		f.serveEngine(x)
		return
	}
	f.servePlain(x)
}

// readBody reads the whole body, which must not exceed the limit of the
// configuration in force.
func (f *Forwarder) readBody(x *exchange) bool {
	limit := x.view.table.Limits().BodyBytes
	if limit > 0 && x.request.ContentLength > limit {
		f.fail(x, qlcode.BodyTooLarge, "")
		return false
	}
	if x.request.ContentLength == 0 {
		return true
	}
	reader := io.Reader(x.request.Body)
	if limit > 0 {
		reader = io.LimitReader(reader, limit+1)
	}
	body, err := io.ReadAll(reader)
	switch {
	case err != nil:
		f.fail(x, qlcode.BadRequest, err.Error())
		return false
	case limit > 0 && int64(len(body)) > limit:
		f.fail(x, qlcode.BodyTooLarge, "")
		return false
	}
	x.body = body
	return true
}

// identify finds the customer by the key, and refuses the request if this VM
// has no room for it, before its body is read.
func (f *Forwarder) identify(x *exchange) bool {
	view := f.view.Load()
	if view == nil {
		f.refuse(x, qlcode.NotReady, _notReadyRetry, "no configuration yet")
		return false
	}
	x.setCustomer(view)
	if f.config.Admit(x.request.Context(), x.customer) {
		return true
	}
	retryAfter, elsewhere := f.config.Backoff()
	if elsewhere {
		x.w.Header().Set("Connection", "close")
	}
	f.refuse(x, qlcode.RouterOverloaded, retryAfter, _overloadedCause)
	return false
}

// setCustomer finds who holds the caller's key.
func (x *exchange) setCustomer(view *View) {
	x.view, x.customer = view, ""
	if customer := view.table.Customer(x.caller.Key); customer != nil {
		x.customer = customer.Name()
	}
}

// resolve finds route, customer and service in the configuration that is in
// force once the request is read whole.
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

// bound sets the request's deadline: the caller's or the route's, whichever
// is first.
func (f *Forwarder) bound(x *exchange) context.CancelFunc {
	wait := x.caller.Timeout
	if timeout := x.route.Timeout(); timeout > 0 && (wait == 0 || timeout < wait) {
		wait = timeout
	}
	if wait == 0 {
		wait = _defaultWait
	}
	// The caller counts from when it sent the request.
	x.deadline = x.start.Add(wait - f.config.ReadDelay())
	ctx, cancel := context.WithDeadline(x.request.Context(), x.deadline.Add(_timeoutGrace))
	x.ctx = ctx
	return cancel
}

// left is the time until the deadline.
func (x *exchange) left() time.Duration {
	return time.Until(x.deadline)
}

// callerGone reports whether the caller has closed its connection.
func (x *exchange) callerGone() bool {
	return x.gone || x.request.Context().Err() != nil
}

// outgoing returns the headers for one send.
func (f *Forwarder) outgoing(x *exchange, upstream string) http.Header {
	header := make(http.Header, len(x.request.Header)+4)
	for name, values := range x.request.Header {
		if !hopByHop(name) {
			header[name] = values
		}
	}
	for _, name := range connectionNames(x.request.Header) {
		header.Del(name)
	}
	after := x.caller.LastEventID
	if x.hasLast {
		after = x.last
	}
	f.config.Dialect.SetOutgoing(header, Outgoing{
		Timeout:     max(x.left(), time.Millisecond),
		Upstream:    upstream,
		Customer:    x.customer,
		LastEventID: after,
		HideKey:     x.view.table.RequiresKey(),
	})
	return header
}

// send makes one attempt at an upstream.
func (f *Forwarder) send(x *exchange, entry qlcatalog.Entry, headTimeout time.Duration) (*qlconn.Exchange, error) {
	x.upstream = entry.ID
	routers := max(f.config.Placement.RouterCount(), 1)
	e, err := f.pool.Do(x.ctx, &qlconn.Request{
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
			x.gone = f.config.CallerLeft(x.request.Context())
			return x.gone
		},
	})
	if err == nil || !errors.Is(err, qlconn.ErrNotSent) {
		x.attempts++
		x.sentBefore = x.sent
		x.sent = true
	}
	return e, err
}

const (
	// _connectionPart is the part of an upstream's connections that routers
	// use together, since their counts of routers differ for moments.
	_connectionPart = 0.9
	// _minConnections is what each router may have at least.
	_minConnections = 4
)

// connectionShare is this router's part of an upstream's connections.
func connectionShare(total, routers int) int {
	if total == 0 {
		return 0
	}
	return max(int(_connectionPart*float64(total))/routers, _minConnections)
}

// mayRepeat reports whether the request may be sent once more after a send
// that may have run it, or that was turned away.
func (f *Forwarder) mayRepeat(x *exchange) bool {
	if x.attempts >= x.route.MaxAttempts() || x.left() <= 0 || x.ctx.Err() != nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.budget(x.service.Name()).Take(f.config.Clock(), f.config.Placement.RouterCount())
}

func (f *Forwarder) countRequest(x *exchange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.budget(x.service.Name()).Request(f.config.Clock())
}

func (f *Forwarder) budget(service string) *qlbudget.Budget {
	budget := f.budgets[service]
	if budget == nil {
		budget = qlbudget.New(f.config.Budget)
		f.budgets[service] = budget
	}
	return budget
}
