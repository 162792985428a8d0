package qlrouter

import (
	"context"
	"encoding/json"
	"expvar"
	"net/http"
	"runtime"
	"time"

	"github.com/gorilla/mux"
	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qlcore"
	"go.uber.org/zap"
)

const (
	_dumpTimeout  = 2 * time.Second
	_stopPoll     = 20 * time.Millisecond
	_abortTimeout = 2 * time.Second
	_metricPrefix = "quetzallane"
)

// stateDump is the answer of /debug/state.
type stateDump struct {
	qlcore.State
	Source      string `json:"configuration-source"`
	Connections struct {
		BytesSent     int64 `json:"bytes-sent"`
		BytesReceived int64 `json:"bytes-received"`
		Messages      int64 `json:"messages"`
		Dropped       int64 `json:"dropped"`
	} `json:"peers"`
	PlatformCalls int64 `json:"platform-calls"`
}

func (r *Router) operationsServer() *http.Server {
	routes := mux.NewRouter()
	routes.Handle("/debug/vars", expvar.Handler())
	routes.HandleFunc("/debug/state", r.serveState)
	routes.HandleFunc("/healthz", r.serveHealth)
	routes.HandleFunc("/readyz", r.serveReady)
	if expvar.Get(_metricPrefix) == nil {
		expvar.Publish(_metricPrefix, expvar.Func(r.metrics))
	}
	return &http.Server{
		Handler:           routes,
		ReadHeaderTimeout: _headerTimeout,
	}
}

func (r *Router) metrics() any {
	counters := r.peers.Counters()
	ctx, cancel := context.WithTimeout(context.Background(), _dumpTimeout)
	defer cancel()
	var slots []qlcore.SlotSeconds
	var violations map[string]uint64
	r.runInControl(ctx, func(time.Duration) {
		slots = r.core.SlotSeconds()
		violations = r.monitor.Counts()
	})
	return map[string]any{
		"answered":                r.answeredRequests.Load(),
		"refused":                 r.refusedRequests.Load(),
		"outcome-unknown":         r.unknownOutcomes.Load(),
		"configuration-adoptions": r.adoptions.Load(),
		"configuration-rejected":  r.rejectedConfigurations.Load(),
		"platform-calls":          r.platform.Calls(),
		"peer-bytes-sent":         counters.BytesSent.Load(),
		"peer-bytes-received":     counters.BytesReceived.Load(),
		"peer-messages":           counters.Messages.Load(),
		"peer-dropped":            counters.Dropped.Load(),
		"goroutines":              runtime.NumGoroutine(),
		"slot-seconds":            slots,
		"invariant-violations":    violations,
	}
}

func (r *Router) serveState(w http.ResponseWriter, request *http.Request) {
	ctx, cancel := context.WithTimeout(request.Context(), _dumpTimeout)
	defer cancel()
	var d stateDump
	if !r.runInControl(ctx, func(time.Duration) { d.State = r.core.State() }) {
		http.Error(w, "the control goroutine did not answer in time", http.StatusServiceUnavailable)
		return
	}
	counters := r.peers.Counters()
	d.Source, _ = r.configurationSource.Load().(string)
	d.Connections.BytesSent = counters.BytesSent.Load()
	d.Connections.BytesReceived = counters.BytesReceived.Load()
	d.Connections.Messages = counters.Messages.Load()
	d.Connections.Dropped = counters.Dropped.Load()
	d.PlatformCalls = r.platform.Calls()
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(&d)
}

// stop ends a router as planned: it reports not ready, hands over to the other
// routers what it owns, accepts requests for the time that the setting
// balancer-notice gives the load balancer to take it out of rotation, and then
// waits for every request to end. Only the stop deadline or force aborts requests,
// and the external id of each aborted request is logged.
func (r *Router) stop(force <-chan struct{}) error {
	deadline := time.NewTimer(r.settings.StopDeadline.Std())
	defer deadline.Stop()
	r.leaving.Store(true)
	r.post(r.core.Leave)
	r.log.Info("stopping", zap.Duration("deadline", r.settings.StopDeadline.Std()))
	notice := time.NewTimer(r.settings.BalancerNotice.Std())
	defer notice.Stop()
	select {
	case <-notice.C:
	case <-deadline.C:
		return r.abortRequests()
	case <-force:
		return r.abortRequests()
	}
	r.post(r.core.Close)
	poll := time.NewTicker(_stopPoll)
	defer poll.Stop()
	for r.activeCount() > 0 {
		select {
		case <-poll.C:
		case <-deadline.C:
			return r.abortRequests()
		case <-force:
			return r.abortRequests()
		}
	}
	return r.closeHTTPServer()
}

func (r *Router) activeCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.activeRequests)
}

// closeHTTPServer stops the callers' HTTP server, giving answers that are being
// written _shutdownGrace to reach their callers.
func (r *Router) closeHTTPServer() error {
	ctx, cancel := context.WithTimeout(context.Background(), _shutdownGrace)
	defer cancel()
	_ = r.httpServer.Shutdown(ctx)
	r.log.Info("stopped", zap.Int("cut", 0))
	return nil
}

// abortRequests aborts all active requests and stops the callers' HTTP server.
// It returns an error if there were any.
func (r *Router) abortRequests() error {
	r.mu.Lock()
	names := make([]string, 0, len(r.activeRequests))
	for _, name := range r.activeRequests {
		names = append(names, name)
	}
	r.mu.Unlock()
	if len(names) == 0 {
		return r.closeHTTPServer()
	}
	for _, name := range names {
		r.log.Warn("request-cut", zap.String("request", name))
	}
	r.abortAll()
	ctx, cancel := context.WithTimeout(context.Background(), _abortTimeout)
	defer cancel()
	_ = r.httpServer.Shutdown(ctx)
	r.log.Warn("stopped", zap.Int("cut", len(names)))
	return errors.Errorf("%d requests were cut; raise stop-deadline", len(names))
}
