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
	_cutTimeout   = 2 * time.Second
	_metricPrefix = "quetzallane"
)

// dump is the answer of /debug/state.
type dump struct {
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
	r.ask(ctx, func(time.Duration) {
		slots = r.core.SlotSeconds()
		violations = r.monitor.Counts()
	})
	return map[string]any{
		"answered":                r.answered.Load(),
		"refused":                 r.refusals.Load(),
		"outcome-unknown":         r.unknown.Load(),
		"configuration-adoptions": r.adoptions.Load(),
		"configuration-rejected":  r.rejected.Load(),
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
	var d dump
	if !r.ask(ctx, func(time.Duration) { d.State = r.core.State() }) {
		http.Error(w, "the control goroutine did not answer in time", http.StatusServiceUnavailable)
		return
	}
	counters := r.peers.Counters()
	d.Source, _ = r.source.Load().(string)
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

// stop ends a router as planned: it reports not ready, hands over what it
// owns, takes requests until the balancer has noticed, and then waits for
// every request to end. Only the deadline or a second signal cuts requests,
// and each one that is cut is named.
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
		return r.cutRequests()
	case <-force:
		return r.cutRequests()
	}
	r.post(r.core.Close)
	poll := time.NewTicker(_stopPoll)
	defer poll.Stop()
	for r.unendedCount() > 0 {
		select {
		case <-poll.C:
		case <-deadline.C:
			return r.cutRequests()
		case <-force:
			return r.cutRequests()
		}
	}
	return r.closeCallers()
}

func (r *Router) unendedCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.unended)
}

// closeCallers lets answers under way reach their callers.
func (r *Router) closeCallers() error {
	ctx, cancel := context.WithTimeout(context.Background(), _shutdownGrace)
	defer cancel()
	_ = r.callers.Shutdown(ctx)
	r.log.Info("stopped", zap.Int("cut", 0))
	return nil
}

func (r *Router) cutRequests() error {
	r.mu.Lock()
	names := make([]string, 0, len(r.unended))
	for _, name := range r.unended {
		names = append(names, name)
	}
	r.mu.Unlock()
	if len(names) == 0 {
		return r.closeCallers()
	}
	for _, name := range names {
		r.log.Warn("request-cut", zap.String("request", name))
	}
	r.cutAll()
	ctx, cancel := context.WithTimeout(context.Background(), _cutTimeout)
	defer cancel()
	_ = r.callers.Shutdown(ctx)
	r.log.Warn("stopped", zap.Int("cut", len(names)))
	return errors.Errorf("%d requests were cut; raise stop-deadline", len(names))
}
