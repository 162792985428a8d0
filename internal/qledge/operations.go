package qledge

import (
	"encoding/json"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qlcatalog"
	"go.uber.org/zap"
)

// serveOperations serves the balancer's question, metrics and dumps.
func (e *Edge) serveOperations() error {
	ready := mux.NewRouter()
	ready.HandleFunc("/readyz", e.answerReady)
	operations := mux.NewRouter()
	operations.HandleFunc("/readyz", e.answerReady)
	operations.HandleFunc("/debug/vars", e.answerVars)
	operations.HandleFunc("/debug/state", e.answerState)
	for _, s := range []struct {
		address string
		handler http.Handler
	}{
		{address: e.settings.ReadyAddress, handler: ready},
		{address: e.settings.OperationsAddress, handler: operations},
	} {
		listener, err := net.Listen("tcp4", s.address)
		if err != nil {
			return errors.Annotatef(err, "listen on %s", s.address)
		}
		server := &http.Server{
			Handler:           s.handler,
			ReadHeaderTimeout: _defaultHeaderTimeout,
			IdleTimeout:       _defaultIdleTimeout,
		}
		go func() {
			if err := server.Serve(listener); err != nil {
				e.log.Error("operations-not-served", zap.String("address", s.address), zap.Error(err))
			}
		}()
	}
	return nil
}

func (e *Edge) answerReady(w http.ResponseWriter, _ *http.Request) {
	if !e.known.Load() || e.stopping.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// answerVars writes counters and histograms.
func (e *Edge) answerVars(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	packets, bytes := e.fleet.Traffic()
	fmt.Fprintf(w, "{\n\"packets-sent\": %d,\n\"packet-bytes-sent\": %d,\n\"store-calls\": %d,\n\"requests-active\": %d,\n\"memory-held\": %d",
		packets, bytes, e.config.Source.Calls(), e.forwarder.Active(), e.forwarder.Held())
	open, closed := e.callers.counts()
	fmt.Fprintf(w, ",\n\"caller-connections\": %d,\n\"idle-connections-closed\": %d", open, closed)
	if e.config.Lines != nil {
		fmt.Fprintf(w, ",\n\"log-lines-dropped\": %d,\n\"log-lines-sampled-out\": %d", e.config.Lines.Dropped(), e.config.Lines.Sampled())
	}
	e.forwarder.Metrics().Do(func(name string, value expvar.Var) {
		fmt.Fprintf(w, ",\n%q: %s", name, value)
	})
	expvar.Do(func(kv expvar.KeyValue) {
		fmt.Fprintf(w, ",\n%q: %s", kv.Key, kv.Value)
	})
	fmt.Fprint(w, "\n}\n")
}

// answerState writes what this router believes.
func (e *Edge) answerState(w http.ResponseWriter, _ *http.Request) {
	var state map[string]any
	e.fleet.Call(func(now time.Duration) {
		configuration, list := e.revisions()
		state = map[string]any{
			"id":                     e.settings.ID,
			"uptime":                 now.String(),
			"ready":                  e.known.Load() && !e.stopping.Load(),
			"configuration-revision": configuration,
			"list-revision":          list,
			"owner":                  e.fleet.Core().Owner(),
			"members":                e.fleet.Core().Members(),
			"decisions":              e.fleet.Core().Stats(),
			"engines":                e.fleet.Core().Placer().State(now),
			"upstreams":              upstreamState(e.catalog.Entries()),
		}
	})
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(state); err != nil {
		e.log.Debug("state-not-written", zap.Error(err))
	}
}

func upstreamState(entries []qlcatalog.Entry) []map[string]any {
	states := make([]map[string]any, 0, len(entries))
	for _, entry := range entries {
		states = append(states, map[string]any{
			"id":      entry.ID,
			"service": entry.Service,
			"zone":    entry.Zone,
			"address": entry.Address,
			"leaving": entry.State == qlcatalog.Draining,
		})
	}
	return states
}
