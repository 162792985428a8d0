package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is a request that has come to a replica.
type arrival struct {
	at      time.Time
	attempt string
	replica string
	service string
	tenant  string
	status  int // what it was answered; 0: no answer
	ran     bool
}

// replica is a sound server of a plain service or, with events, a model replica that streams.
type replica struct {
	world     *world
	id        string
	service   string
	zone      string
	slots     int
	work      time.Duration
	events    int
	gap       time.Duration
	listener  net.Listener
	server    *http.Server
	born      int64
	running   atomic.Int64
	waiting   atomic.Int64
	places    chan struct{}
	state     atomic.Value
	heartbeat atomic.Bool
	gone      atomic.Bool

	// garble, if set, may answer instead; it reports whether it did.
	garble func(w http.ResponseWriter, r *http.Request) bool
	hook   func(r *http.Request)
}

type replicaConfig struct {
	id, service, zone, ip string
	slots, events         int
	work, gap             time.Duration
}

func (w *world) startReplica(c replicaConfig) *replica {
	if c.ip == "" {
		c.ip = "127.0.0.1"
	}
	listener, err := net.Listen("tcp4", c.ip+":0")
	if err != nil {
		w.cannot("listen for a replica: %v", err)
	}
	r := &replica{world: w, id: c.id, service: c.service, zone: c.zone, slots: c.slots, work: c.work, events: c.events, gap: c.gap,
		listener: listener, born: time.Now().UnixMilli(), places: make(chan struct{}, c.slots)}
	r.state.Store("ready")
	r.heartbeat.Store(true)
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: 30 * time.Second, IdleTimeout: 60 * time.Second}
	go func() { _ = r.server.Serve(listener) }()
	go r.beat()
	w.replicas = append(w.replicas, r)
	return r
}

// beat keeps the replica's entry in the store, as it says: each heartbeat.
func (r *replica) beat() {
	for sequence := 1; !r.gone.Load(); sequence++ {
		if r.heartbeat.Load() {
			r.register(sequence)
		}
		time.Sleep(1200 * time.Millisecond)
	}
}

func (r *replica) register(sequence int) bool {
	_, ok := r.world.store.put("servers/"+r.id, map[string]any{"service": r.service, "address": r.listener.Addr().String(), "zone": r.zone,
		"version": 1, "slots": r.slots, "state": r.state.Load(), "sequence": sequence, "born": r.born, "warmup-left-ms": 0})
	return ok
}

// exit ends the replica as the end of its process does.
func (r *replica) exit() {
	r.gone.Store(true)
	_ = r.server.Close()
}

func (r *replica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	a := &arrival{at: time.Now(), attempt: request.Header.Get(nameAttempt), replica: r.id, service: r.service, tenant: request.Header.Get(nameTenant)}
	if request.URL.Path == "/healthz" {
		w.Header().Set(nameReplica, r.id)
		return
	}
	if r.hook != nil {
		r.hook(request)
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	w.Header().Set(nameAttempt, a.attempt)
	if expected := request.Header.Get(nameExpected); expected != "" && expected != r.id {
		w.Header().Set(nameNotRun, "1")
		w.Header().Set(nameReplica, r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		a.status = 421
		r.world.arrived(a)
		return
	}
	r.waiting.Add(1)
	wait := 2 * time.Second
	if ms, err := strconv.Atoi(request.Header.Get(nameDeadline)); err == nil {
		wait = time.Duration(ms) * time.Millisecond
	}
	select {
	case r.places <- struct{}{}:
		r.waiting.Add(-1)
	case <-time.After(wait):
		r.waiting.Add(-1)
		w.Header().Set(nameNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		a.status = 503
		r.world.arrived(a)
		return
	case <-request.Context().Done():
		r.waiting.Add(-1)
		return
	}
	r.running.Add(1)
	defer func() { r.running.Add(-1); <-r.places }()
	a.ran = true
	r.world.arrived(a)
	if r.garble != nil && r.garble(w, request) {
		return
	}
	time.Sleep(r.work)
	if r.gone.Load() {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(nameSignature, r.id+"."+a.attempt)
	w.Header().Set(nameLoad, fmt.Sprintf("%d,%d,%d", r.running.Load(), r.waiting.Load(), r.slots))
	if r.events == 0 {
		_, _ = io.WriteString(w, answerBody(r.id, a.attempt, len(body)))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	first := 0
	if last, err := strconv.Atoi(request.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	for n := first; n < r.events; n++ {
		if request.Context().Err() != nil || r.gone.Load() {
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s/%d\n\n", n, a.attempt, n)
		w.(http.Flusher).Flush()
		time.Sleep(r.gap)
	}
}

func answerBody(replica, attempt string, length int) string {
	return fmt.Sprintf("%s ran %s with %d bytes", replica, attempt, length)
}

// arrivals is the list of all requests that have come to replicas.
type arrivals struct {
	mu   sync.Mutex
	list []*arrival
}

func (w *world) arrived(a *arrival) {
	w.arrivals.mu.Lock()
	defer w.arrivals.mu.Unlock()
	w.arrivals.list = append(w.arrivals.list, a)
}
