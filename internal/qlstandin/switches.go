// Package qlstandin plays the outside systems for tests and the demo: model
// engines, plain services and the platform.
//
// A stand-in keeps to the protocol of what it stands for and can be told,
// while it runs, to be slow, lose, cut, cross or delay answers, or to be down
// or stale. Its switches are read and set under /switches; what it really
// ran stands in a log of its own under /log, so that tests count executions
// where they happen.
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

// Headers that the stand-ins understand.
const (
	_requestIDHeader = "X-Request-Id"
	_costHeader      = "X-Cost"
	_keyHeader       = "Idempotency-Key"
	_lastEventHeader = "Last-Event-ID"
	_maxBody         = 4 << 20
)

// Switches are the faults of an engine or service. Counts say how many of
// the next answers are affected.
type Switches struct {
	// Delay is added before each answer.
	Delay qljson.Duration `json:"delay"`
	// Lose answers nothing and closes the connection after the work.
	Lose int `json:"lose"`
	// Refuse closes the connection before the work.
	Refuse int `json:"refuse"`
	// Cut ends the answer halfway.
	Cut int `json:"cut"`
	// Cross answers with another request's id.
	Cross int `json:"cross"`
	// Fail answers with status 500 after the work.
	Fail int `json:"fail"`
}

// switchboard holds switches that may be set while answers are made.
type switchboard struct {
	mu       sync.Mutex
	switches Switches
}

// take uses up one of a count and reports whether one was left.
func (b *switchboard) take(count func(*Switches) *int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := count(&b.switches)
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

func (b *switchboard) delay() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.switches.Delay.Std()
}

// ServeHTTP reads or sets the switches; fields not given stay as they are.
func (b *switchboard) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if request.Method == http.MethodPut && !decodeBody(w, request, &b.switches) {
		return
	}
	writeJSON(w, b.switches)
}

func decodeBody(w http.ResponseWriter, request *http.Request, into any) bool {
	data, err := io.ReadAll(io.LimitReader(request.Body, _maxBody))
	if err == nil {
		err = qljson.Decode("body", data, into)
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

// abort breaks the caller's connection without an answer.
func abort() {
	panic(http.ErrAbortHandler)
}

// Execution is one line of a stand-in's log.
type Execution struct {
	Request string `json:"request"`
	Key     string `json:"key,omitempty"`
	Call    string `json:"call"`
	// Ended says whether the work came to its end.
	Ended bool `json:"ended"`
}

type executionLog struct {
	mu    sync.Mutex
	lines []*Execution
}

func (l *executionLog) add(e Execution) *Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	line := &e
	l.lines = append(l.lines, line)
	return line
}

func (l *executionLog) end(line *Execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	line.Ended = true
}

// ServeHTTP returns the log.
func (l *executionLog) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	writeJSON(w, l.lines)
}

// loadMeter counts running requests and reports the count of a while ago.
type loadMeter struct {
	mu      sync.Mutex
	lag     time.Duration
	running int
	history []loadSample
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

// lagged returns the count as it was a lag ago.
func (m *loadMeter) lagged() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	limit := time.Now().Add(-m.lag)
	running := 0
	for _, sample := range m.history {
		if sample.at.After(limit) {
			break
		}
		running = sample.running
	}
	return running
}

// ServeHTTP returns the lagged load.
func (m *loadMeter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, struct {
		Running int `json:"running"`
	}{
		Running: m.lagged(),
	})
}
