// Package qlstandin provides stand-ins for the systems around the routers, for
// tests and the demo: model engines, plain services and the platform.
//
// A stand-in speaks the protocol of the real system. Faults can be injected
// while it runs: engines and services can delay, lose, truncate or refuse
// answers, fail, or answer with a wrong request id; the platform can be slow, be
// down or serve outdated values. The faults of an engine or service are read and
// set under /switches, those of the platform under /control/switches. Engines and
// services list the requests that they executed under /log, so that tests count
// executions at the place where they happen.
//
// # Usage
//
//	engine := qlstandin.NewEngine(qlstandin.EngineConfig{ID: "e1", Slots: 4, TokenTime: 5 * time.Millisecond})
//	http.Serve(listener, engine.Handler())
package qlstandin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/quetzallane/quetzallane/pkg/qljson"
)

// Headers that the stand-ins read or write.
const (
	_requestIDHeader = "X-Request-Id"
	_costHeader      = "X-Cost"
	_keyHeader       = "Idempotency-Key"
	_lastEventHeader = "Last-Event-ID"
	_maxBodyBytes    = 4 << 20
)

// Switches are the faults of an engine or service. A count is the number of
// further requests that the fault affects; each of them reduces it by one.
type Switches struct {
	// Delay is added before each answer.
	Delay qljson.Duration `json:"delay"`
	// Lose executes the request, then closes the connection without an answer.
	Lose int `json:"lose"`
	// Refuse closes the connection without executing the request.
	Refuse int `json:"refuse"`
	// Cut closes the connection in the middle of the answer.
	Cut int `json:"cut"`
	// Cross returns a wrong request id in the answer's header, as if answers of
	// different requests had been swapped.
	Cross int `json:"cross"`
	// Fail executes the request, then answers with status 500.
	Fail int `json:"fail"`
}

// switchHandler holds an engine's or service's switches and serves /switches. It
// is safe for concurrent use, as faults are set while requests are served.
type switchHandler struct {
	mu       sync.Mutex
	switches Switches
}

// consume reduces a count by one and reports whether it was above 0.
func (s *switchHandler) consume(count func(*Switches) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := count(&s.switches)
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

func (s *switchHandler) delay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.switches.Delay.Std()
}

// ServeHTTP returns the switches. PUT sets them first; fields that the body
// leaves out keep their values.
func (s *switchHandler) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if request.Method == http.MethodPut && !decodeBody(w, request, &s.switches) {
		return
	}
	writeJSON(w, s.switches)
}

// decodeBody decodes a JSON body. If that fails, it answers with status 400 and
// returns false.
func decodeBody(w http.ResponseWriter, request *http.Request, target any) bool {
	data, err := io.ReadAll(io.LimitReader(request.Body, _maxBodyBytes))
	if err == nil {
		err = qljson.Decode("body", data, target)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// abort closes the caller's connection; an answer already begun is cut off.
func abort() {
	panic(http.ErrAbortHandler)
}

// Execution is an entry of a stand-in's log: a request that it began to execute.
type Execution struct {
	Request string `json:"request"`
	Key     string `json:"key,omitempty"`
	Call    string `json:"call"`
	// Begun is when the execution began.
	Begun time.Time `json:"begun"`
	// Ended is set when the execution is complete.
	Ended bool `json:"ended"`
}

type executionLog struct {
	mu         sync.Mutex
	executions []*Execution
}

func (l *executionLog) add(e Execution) *Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	execution := &e
	execution.Begun = time.Now()
	l.executions = append(l.executions, execution)
	return execution
}

func (l *executionLog) finish(execution *Execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	execution.Ended = true
}

// ServeHTTP returns the log.
func (l *executionLog) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	writeJSON(w, l.executions)
}

// loadMeter counts running requests. It serves the count as it was reportDelay
// ago, to stand in for load reports that arrive late.
type loadMeter struct {
	mu          sync.Mutex
	reportDelay time.Duration
	running     int
	history     []loadSample
}

type loadSample struct {
	at      time.Time
	running int
}

func (m *loadMeter) add(by int) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running += by
	m.history = append(m.history, loadSample{
		at:      time.Now(),
		running: m.running,
	})
	if len(m.history) > 4096 {
		m.history = m.history[2048:]
	}
	return m.running
}

// delayed returns the count as it was reportDelay ago.
func (m *loadMeter) delayed() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	cutoff := time.Now().Add(-m.reportDelay)
	running := 0
	for _, sample := range m.history {
		if sample.at.After(cutoff) {
			break
		}
		running = sample.running
	}
	return running
}

// ServeHTTP returns the delayed count.
func (m *loadMeter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, struct {
		Running int `json:"running"`
	}{
		Running: m.delayed(),
	})
}
