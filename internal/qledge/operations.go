package qledge

import (
	"bytes"
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

// _maxDumpedCustomers bounds the customers whose refusals a state dump holds.
const _maxDumpedCustomers = 20

// serveOperations serves the balancer's readiness checks, and metrics and state
// dumps for operators.
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
		server := newOperationsServer(s.handler, e.settings.Descriptors)
		paced := &pacedListener{
			Listener: e.acceptor(listener),
		}
		go func() {
			e.fail(errors.Annotatef(server.Serve(paced), "serve %s", s.address))
		}()
	}
	return nil
}

func (e *Edge) answerReady(w http.ResponseWriter, _ *http.Request) {
	if !e.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// ready reports whether the balancer should send callers to this router.
func (e *Edge) ready() bool {
	return e.documentsLoaded.Load() && e.isInformed() && !e.stopping.Load() && !e.shedder.OutOfRotation()
}

// answerVars writes counters and histograms as one JSON object.
func (e *Edge) answerVars(w http.ResponseWriter, _ *http.Request) {
	packets, packetBytes := e.fleet.Traffic()
	open, closed, rejected := e.callers.counts()
	offloads := e.offloader.Stats()
	counters := []struct {
		name  string
		value int64
	}{
		{name: "packets-sent", value: packets},
		{name: "packet-bytes-sent", value: packetBytes},
		{name: "store-calls", value: e.config.Source.Calls()},
		{name: "requests-active", value: e.forwarder.Active()},
		{name: "memory-held", value: e.forwarder.MemoryBytes()},
		{name: "head-memory-held", value: e.meter.HeadBytes()},
		{name: "answer-memory-held", value: e.forwarder.AnswerBytes()},
		{name: "routers-live", value: int64(e.fleet.LiveCount())},
		{name: "caller-connections", value: int64(open)},
		{name: "connections-accepted", value: int64(e.callers.acceptedCount())},
		{name: "idle-connections-closed", value: int64(closed)},
		{name: "connections-rejected", value: int64(rejected)},
		{name: "refused-by-processor", value: int64(e.shedder.RefusedCount())},
		{name: "offloads-active", value: e.offloader.Active()},
		{name: "offloaded", value: int64(offloads.Offloaded)},
		{name: "offloads-taken", value: int64(e.offloadServer.Taken())},
		{name: "offloads-declined", value: int64(offloads.Declined)},
		{name: "offloads-broken", value: int64(offloads.Broken)},
		{name: "offloads-timed-out", value: int64(offloads.TimedOut)},
		{name: "offloads-unreachable", value: int64(offloads.Unreachable)},
		{name: "quarantines", value: int64(len(e.quarantines.Load().Quarantines()))},
		{name: "quarantines-started", value: e.quarantinesStarted.Load()},
		{name: "store-eras-begun", value: e.erasBegun.Load()},
		{name: "zones-evacuated", value: int64(e.forwarder.EvacuatedZones())},
	}
	if e.settings.WeighPrefixes {
		counters = append(counters, []struct {
			name  string
			value int64
		}{
			{name: "prefix-tokens-saved", value: e.prefixes.saved.Load()},
			{name: "prefix-tokens-read-again", value: e.prefixes.readAgain.Load()},
			{name: "prefix-copies-read", value: e.prefixes.copies.Load()},
			{name: "hot-part-holders", value: e.prefixes.hotHolders.Load()},
		}...)
	}
	if e.config.LogLines != nil {
		counters = append(counters, []struct {
			name  string
			value int64
		}{
			{name: "log-lines-dropped", value: e.config.LogLines.Dropped()},
			{name: "log-lines-sampled-out", value: e.config.LogLines.SampledOut()},
		}...)
	}
	var text bytes.Buffer
	for _, counter := range counters {
		fmt.Fprintf(&text, ",\n%q: %d", counter.name, counter.value)
	}
	writeVar := func(name string, value expvar.Var) { fmt.Fprintf(&text, ",\n%q: %s", name, value) }
	e.forwarder.Metrics().Do(writeVar)
	expvar.Do(func(kv expvar.KeyValue) { writeVar(kv.Key, kv.Value) })
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	if _, err := w.Write(append([]byte("{"), append(text.Bytes()[1:], "\n}\n"...)...)); err != nil {
		e.log.Debug("metrics-not-written", zap.Error(err))
	}
}

// answerState writes this router's view of the fleet, the engines and the
// upstreams as one JSON object.
func (e *Edge) answerState(w http.ResponseWriter, _ *http.Request) {
	var state map[string]any
	e.fleet.Call(func(now time.Duration) {
		configuration, list := e.revisions()
		quarantines, crashes := e.quarantineState(now)
		state = map[string]any{
			"id":                     e.settings.ID,
			"uptime":                 now.String(),
			"ready":                  e.ready(),
			"configuration-revision": configuration,
			"list-era":               list.Era,
			"list-revision":          list.Revision,
			"store-position":         e.storeState(now),
			"owners":                 e.fleet.Core().Owners(),
			"owner-strained":         e.fleet.OwnerStrained(),
			"members":                e.fleet.Core().Members(),
			"decisions":              e.fleet.Core().Stats(),
			"engines":                e.fleet.Core().Placer().State(now),
			"first-events":           e.fleet.Core().Placer().Routers(),
			"refusals":               e.shedder.TopRefusals(now, _maxDumpedCustomers),
			"quarantines":            quarantines,
			"crashes":                crashes,
			"offloading":             e.offloader.Stats(),
			"outcomes":               e.lastLogged.outcomes,
			"fleet":                  e.warmUpFleet(),
			"pauses":                 e.forwarder.Pauses(),
			"evacuated-zones":        e.evacuationState(),
			"upstreams":              e.upstreamState(now, e.catalog.Entries()),
			"paces":                  e.forwarder.Paces(),
		}
	})
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(state); err != nil {
		e.log.Debug("state-not-written", zap.Error(err))
	}
}

func (e *Edge) upstreamState(now time.Duration, entries []qlcatalog.Entry) []map[string]any {
	states := make([]map[string]any, 0, len(entries))
	for _, entry := range entries {
		state := map[string]any{
			"id":      entry.ID,
			"service": entry.Service,
			"zone":    entry.Zone,
			"address": entry.Address,
			"leaving": entry.State == qlcatalog.Draining,
		}
		if service := e.serviceOf(&entry); service != nil {
			if window := entry.WarmUp.Window(service.WarmUp().Duration); window.IsCold(now) {
				state["cold-for"] = (window.Until - now).String()
			}
		}
		states = append(states, state)
	}
	return states
}
