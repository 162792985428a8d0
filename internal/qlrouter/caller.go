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
	_headerTimeout  = 10 * time.Second
	_idleCaller     = 120 * time.Second
	_bodyTimeout    = 60 * time.Second
	_maxHeaderBytes = 1 << 16
	_maxKeyLength   = 256
	// _writeTimeout bounds one write to a caller that reads slowly.
	_writeTimeout       = 30 * time.Second
	_completionsPath    = "/v1/completions"
	_servicesPrefix     = "/services/"
	_idempotencyHeader  = "Idempotency-Key"
	_routerHeader       = "Quetzallane-Router"
	_upstreamHeader     = "Quetzallane-Upstream"
	_originalHeader     = "Quetzallane-Original-Request"
	_charactersPerToken = 4
	_streamContent      = "text/event-stream"
)

// exchange is one caller's request on its way.
type exchange struct {
	id         uint64
	name       string
	customer   *qlconfig.Customer
	pool       *qlconfig.Pool
	method     string
	path       string
	header     http.Header
	body       []byte
	hint       float64
	stream     bool
	repeatable bool
	key        string
	started    time.Time
	// last is the last event of a stream that the caller has.
	last     int
	upstream string
	began    bool
	sent     bool
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
		IdleTimeout:       _idleCaller,
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

// serveCompletion serves POST /v1/completions: the model is the pool.
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
	x.stream = call.Stream
	x.hint = float64(call.MaxTokens) + float64(len(call.Prompt))/_charactersPerToken
	r.route(w, request, snapshot, x, call.Model)
}

// serveService serves /services/NAME/...: NAME is the pool, and the rest of
// the path is the call.
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
	x.hint = 1
	r.route(w, request, snapshot, x, name)
}

func (r *Router) newExchange(request *http.Request) *exchange {
	id := r.requests.Add(1)
	return &exchange{
		id:      id,
		name:    fmt.Sprintf("%s-%s-%d", r.settings.ID, strconv.FormatUint(r.epoch, 36), id),
		method:  request.Method,
		started: time.Now(),
	}
}

// admit checks the caller's key and reads the body, which is bounded.
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
	x.key = request.Header.Get(_idempotencyHeader)
	if len(x.key) > _maxKeyLength {
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

// forwardedHeader keeps what concerns the upstream; the bearer key does not.
func forwardedHeader(from http.Header) http.Header {
	kept := make(http.Header)
	for _, name := range []string{"Content-Type", "Accept", "Accept-Language", _idempotencyHeader} {
		if values := from.Values(name); len(values) > 0 {
			kept[name] = values
		}
	}
	return kept
}

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

// bodyHash tells requests with the same idempotency key apart.
// _bodyHashSize is enough to tell two requests of one key apart: one that is
// taken for the other is refused as a duplicate all the same.
const _bodyHashSize = 8

func (x *exchange) bodyHash() []byte {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%s %s %s\n", x.method, x.pool.Name(), x.path)
	_, _ = h.Write(x.body)
	return h.Sum(nil)[:_bodyHashSize]
}

// refuse ends a request that was certainly not sent.
func (r *Router) refuse(w http.ResponseWriter, x *exchange, code qlcode.Code, retryAfter time.Duration, detail string) {
	r.refusals.Add(1)
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int((retryAfter+time.Second-1)/time.Second)))
	}
	r.writeError(w, x, code, detail)
}

func (r *Router) writeError(w http.ResponseWriter, x *exchange, code qlcode.Code, detail string) {
	if code.Run() == qlcode.RunUnknown {
		r.unknown.Add(1)
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
		Request: x.name,
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
	w.Header().Set(qlupstream.RequestIDHeader, x.name)
	w.Header().Set(_routerHeader, r.settings.ID)
	if x.upstream != "" {
		w.Header().Set(_upstreamHeader, x.upstream)
	}
}

func (r *Router) logEnd(x *exchange, code qlcode.Code, cost float64, detail string) {
	fields := []zap.Field{
		zap.String("request", x.name),
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

// recoverRequest ends a request whose handling panicked, and only that.
func (r *Router) recoverRequest(w http.ResponseWriter, x *exchange) {
	cause := recover()
	if cause == nil {
		return
	}
	if cause == http.ErrAbortHandler {
		panic(cause)
	}
	r.log.Error("request-panicked", zap.String("request", x.name), zap.Any("cause", cause), zap.Stack("stack"))
	r.abandon(x)
	if x.began {
		panic(http.ErrAbortHandler)
	}
	code := qlcode.RouterFault
	if x.sent {
		code = qlcode.RouterFaultSent
	}
	r.writeError(w, x, code, "")
}

// callerContext ends when the caller leaves or a stop cuts everything.
func (r *Router) callerContext(request *http.Request) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(request.Context())
	stop := context.AfterFunc(r.cut, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}
