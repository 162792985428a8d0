package qlrouter

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qlupstream"
	"github.com/quetzallane/quetzallane/pkg/qlcode"
	"github.com/quetzallane/quetzallane/pkg/qlconfig"
	"go.uber.org/zap"
)

const (
	_headerTimeout     = 10 * time.Second
	_callerIdleTimeout = 120 * time.Second
	_bodyTimeout       = 60 * time.Second
	_maxHeaderBytes    = 1 << 16
	_maxKeyLength      = 256
	// _writeTimeout is the longest that one write to a slow caller may block.
	_writeTimeout      = 30 * time.Second
	_completionsPath   = "/v1/completions"
	_servicesPrefix    = "/services/"
	_idempotencyHeader = "Idempotency-Key"
	_routerHeader      = "Quetzallane-Router"
	_upstreamHeader    = "Quetzallane-Upstream"
	_originalHeader    = "Quetzallane-Original-Request"
	// _charactersPerToken estimates a prompt's tokens from its length in bytes.
	_charactersPerToken = 4
	_streamContentType  = "text/event-stream"
)

// exchange is one caller's request from its arrival to its answer.
type exchange struct {
	id uint64
	// externalID is the request id that callers and upstreams see. It is unique
	// over all routers and their restarts.
	externalID string
	customer   *qlconfig.Customer
	pool       *qlconfig.Pool
	method     string
	path       string
	header     http.Header
	body       []byte
	// costHint estimates the cost before the request is sent, in the pool's
	// unit.
	costHint       float64
	streamed       bool
	repeatable     bool
	idempotencyKey string
	started        time.Time
	// lastEventID is the number of the last stream event passed to the caller.
	lastEventID int
	upstream    string
	// streamBegan is set once the answer's headers went to the caller.
	streamBegan bool
	// maybeSent is set when a byte of the request may have reached an upstream.
	maybeSent bool
}

func (r *Router) callerServer() *http.Server {
	routes := mux.NewRouter().SkipClean(true).UseEncodedPath()
	routes.HandleFunc("/healthz", r.serveHealth)
	routes.HandleFunc("/readyz", r.serveReady)
	routes.HandleFunc(_completionsPath, r.serveCompletion).Methods(http.MethodPost)
	routes.PathPrefix(_servicesPrefix + "{service}").HandlerFunc(r.serveService)
	return &http.Server{
		Handler:           routes,
		ReadHeaderTimeout: _headerTimeout,
		IdleTimeout:       _callerIdleTimeout,
		MaxHeaderBytes:    _maxHeaderBytes,
		ErrorLog:          zap.NewStdLog(r.log),
	}
}

func (r *Router) serveHealth(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "ok\n")
}

func (r *Router) serveReady(w http.ResponseWriter, _ *http.Request) {
	if r.leaving.Load() || !r.ready.Load() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// serveCompletion serves POST /v1/completions. The model named in the body is
// the pool.
func (r *Router) serveCompletion(w http.ResponseWriter, request *http.Request) {
	x := r.newExchange(request)
	defer r.recoverRequest(w, x)
	snapshot, ok := r.admit(w, request, x)
	if !ok {
		return
	}
	var call struct {
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens"`
		Stream    bool   `json:"stream"`
	}
	if err := json.Unmarshal(x.body, &call); err != nil {
		r.refuse(w, x, qlcode.BadRequest, 0, "the body is not a completion in JSON: "+err.Error())
		return
	}
	x.path = _completionsPath
	x.streamed = call.Stream
	x.costHint = float64(call.MaxTokens) + float64(len(call.Prompt))/_charactersPerToken
	r.route(w, request, snapshot, x, call.Model)
}

// serveService serves /services/NAME/...: NAME is the pool, and the rest of
// the path is the path that is called at the upstream.
func (r *Router) serveService(w http.ResponseWriter, request *http.Request) {
	x := r.newExchange(request)
	defer r.recoverRequest(w, x)
	snapshot, ok := r.admit(w, request, x)
	if !ok {
		return
	}
	name := mux.Vars(request)["service"]
	x.path = strings.TrimPrefix(request.URL.EscapedPath(), _servicesPrefix+name)
	if x.path == "" {
		x.path = "/"
	}
	if request.URL.RawQuery != "" {
		x.path += "?" + request.URL.RawQuery
	}
	x.costHint = 1
	r.route(w, request, snapshot, x, name)
}

func (r *Router) newExchange(request *http.Request) *exchange {
	id := r.lastRequestID.Add(1)
	return &exchange{
		id:         id,
		externalID: fmt.Sprintf("%s-%s-%d", r.settings.ID, strconv.FormatUint(r.epoch, 36), id),
		method:     request.Method,
		started:    time.Now(),
	}
}

// admit checks the caller's key and reads the body, up to the setting
// max-body. It returns the configuration in force, or answers the caller and
// returns false.
func (r *Router) admit(w http.ResponseWriter, request *http.Request, x *exchange) (*qlconfig.Configuration, bool) {
	snapshot := r.snapshot.Load()
	if snapshot == nil || !r.ready.Load() {
		r.refuse(w, x, qlcode.NotReady, time.Second, "this router is not ready")
		return nil, false
	}
	key, isBearer := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
	customer, known := snapshot.CustomerByKey(key)
	if !isBearer || !known {
		r.refuse(w, x, qlcode.UnknownKey, 0, "the bearer key belongs to no customer")
		return nil, false
	}
	x.customer = customer
	x.idempotencyKey = request.Header.Get(_idempotencyHeader)
	if len(x.idempotencyKey) > _maxKeyLength {
		r.refuse(w, x, qlcode.BadRequest, 0, "the idempotency key exceeds "+strconv.Itoa(_maxKeyLength)+" bytes")
		return nil, false
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(_bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, request.Body, r.settings.MaxBody))
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	if err != nil {
		r.refuseBody(w, x, err)
		return nil, false
	}
	x.body = body
	x.header = forwardedHeader(request.Header)
	return snapshot, true
}

func (r *Router) refuseBody(w http.ResponseWriter, x *exchange, err error) {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		r.refuse(w, x, qlcode.BodyTooLarge, 0, fmt.Sprintf("the body exceeds %d bytes", tooLarge.Limit))
		return
	}
	r.refuse(w, x, qlcode.BadRequest, 0, "the body could not be read")
}

// forwardedHeader returns the caller's headers that are sent to the upstream.
// The bearer key is not among them.
func forwardedHeader(from http.Header) http.Header {
	forwarded := make(http.Header)
	for _, name := range []string{"Content-Type", "Accept", "Accept-Language", _idempotencyHeader} {
		if values := from.Values(name); len(values) > 0 {
			forwarded[name] = values
		}
	}
	return forwarded
}

// route finds the pool, checks that the customer may use it, and serves the
// request.
func (r *Router) route(w http.ResponseWriter, request *http.Request, snapshot *qlconfig.Configuration, x *exchange, poolName string) {
	x.pool = snapshot.Pool(poolName)
	if x.pool == nil {
		r.refuse(w, x, qlcode.UnknownPool, 0, fmt.Sprintf("no model or service %q", poolName))
		return
	}
	if !x.customer.Permits(poolName) {
		r.refuse(w, x, qlcode.NotPermitted, 0, fmt.Sprintf("this customer is not served by %q", poolName))
		return
	}
	x.repeatable = x.pool.Repeatable(x.method, x.path)
	r.serve(w, request, x)
}

// _bodyHashSize is the length in bytes of the hash that tells two requests with
// the same idempotency key apart. A collision does no harm: the second request
// is refused as a duplicate instead of for its different body.
const _bodyHashSize = 8

// bodyHash returns a hash of the method, pool, path and body, which differs
// between different requests that use the same idempotency key.
func (x *exchange) bodyHash() []byte {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%s %s %s\n", x.method, x.pool.Name(), x.path)
	_, _ = h.Write(x.body)
	return h.Sum(nil)[:_bodyHashSize]
}

// refuse ends a request that was certainly not sent to an upstream.
func (r *Router) refuse(w http.ResponseWriter, x *exchange, code qlcode.Code, retryAfter time.Duration, detail string) {
	r.refusedRequests.Add(1)
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int((retryAfter+time.Second-1)/time.Second)))
	}
	r.writeError(w, x, code, detail)
}

func (r *Router) writeError(w http.ResponseWriter, x *exchange, code qlcode.Code, detail string) {
	if code.Run() == qlcode.RunUnknown {
		r.unknownOutcomes.Add(1)
	}
	r.logEnd(x, code, 0, detail)
	if detail == "" {
		detail = code.Title()
	}
	body, _ := json.Marshal(struct {
		Code    int    `json:"code"`
		Name    string `json:"name"`
		Run     string `json:"run"`
		Request string `json:"request"`
		Detail  string `json:"detail"`
		Remedy  string `json:"remedy"`
	}{
		Code:    int(code),
		Name:    code.Name(),
		Run:     code.Run().String(),
		Request: x.externalID,
		Detail:  detail,
		Remedy:  code.Remedy(),
	})
	r.setHeaders(w, x)
	w.Header().Set(qlcode.HeaderName, code.String())
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code.HTTPStatus())
	_, _ = w.Write(append(body, '\n'))
}

func (r *Router) setHeaders(w http.ResponseWriter, x *exchange) {
	w.Header().Set(qlupstream.RequestIDHeader, x.externalID)
	w.Header().Set(_routerHeader, r.settings.ID)
	if x.upstream != "" {
		w.Header().Set(_upstreamHeader, x.upstream)
	}
}

func (r *Router) logEnd(x *exchange, code qlcode.Code, cost float64, detail string) {
	fields := []zap.Field{
		zap.String("request", x.externalID),
		zap.Int("code", int(code)),
		zap.String("result", code.Name()),
		zap.Duration("took", time.Since(x.started)),
	}
	if x.customer != nil {
		fields = append(fields, zap.String("customer", x.customer.ID()))
	}
	if x.upstream != "" {
		fields = append(fields, zap.String("upstream", x.upstream), zap.Float64("cost", cost))
	}
	if detail != "" {
		fields = append(fields, zap.String("detail", detail))
	}
	r.log.Info("request-ended", fields...)
}

// recoverRequest ends a request whose handling panicked, so that the panic does
// not end the process. The abort of net/http is passed on.
func (r *Router) recoverRequest(w http.ResponseWriter, x *exchange) {
	cause := recover()
	if cause == nil {
		return
	}
	if cause == http.ErrAbortHandler {
		panic(cause)
	}
	r.log.Error("request-panicked", zap.String("request", x.externalID), zap.Any("cause", cause), zap.Stack("stack"))
	r.abandon(x)
	if x.streamBegan {
		panic(http.ErrAbortHandler)
	}
	code := qlcode.RouterFault
	if x.maybeSent {
		code = qlcode.RouterFaultSent
	}
	r.writeError(w, x, code, "")
}

// callerContext returns a context that ends when the caller disconnects or a
// stop aborts all requests.
func (r *Router) callerContext(request *http.Request) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(request.Context())
	stop := context.AfterFunc(r.abortContext, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}
