package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	_chatHost = "crew.example"
	// _engines, _engineSlots and _engineConnections are those of belt-scout.
	_engines           = 18
	_engineSlots       = 128
	_engineConnections = 620
	// _events and _eventPause make a stream of 13.6 s. Such pauses are late, but clients wait
	// 3.2 s for an event, and 15 s in all.
	_events     = 17
	_eventPause = 800 * time.Millisecond
	_chatLimit  = 15 * time.Second
	// _chatRate is in requests a second, over all clients. The sheet has 504 streams a second.
	_chatRate = 220
	_tenants  = 16
	// _killAt is when two of the three routers are killed, and _stopAt when clients stop.
	_killAt = 6 * time.Second
	_stopAt = 50 * time.Second
	// _stable is stable-ms, and _fewest how many clients have to try.
	_stable = 3 * time.Second
	_fewest = 7
)

// runReplicas serves model replicas until standard input is closed. It prints their addresses
// and, at the end, how many requests ran.
func runReplicas(string) int {
	var addresses []string
	var ran, most, active atomic.Int64
	for i := range _engines {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return exitNotRun
		}
		addresses = append(addresses, listener.Addr().String())
		slots := make(chan struct{}, _engineSlots)
		id := fmt.Sprintf("i-%d", i+1)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
			_, _ = io.Copy(io.Discard, request.Body)
			w.Header().Set(wire("{attempt-id}"), request.Header.Get(wire("{attempt-id}")))
			if request.Header.Get(wire("{expected}")) != id {
				w.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			select {
			case slots <- struct{}{}:
				defer func() { <-slots }()
			default:
				w.Header().Set(wire("{not-run}"), "1")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			ran.Add(1)
			if now := active.Add(1); now > most.Load() {
				most.Store(now)
			}
			defer active.Add(-1)
			w.Header().Set(wire("{signature}"), "s."+id)
			w.Header().Set("Content-Type", "text/event-stream")
			controller := http.NewResponseController(w)
			time.Sleep(20 * time.Millisecond)
			for event := range _events {
				if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", event, strings.Repeat("x", 40)); err != nil {
					return
				}
				if controller.Flush() != nil {
					return
				}
				select {
				case <-request.Context().Done():
					return
				case <-time.After(_eventPause):
				}
			}
		})}
		go func() { _ = server.Serve(listener) }()
	}
	_ = json.NewEncoder(os.Stdout).Encode(addresses)
	_, _ = io.Copy(io.Discard, os.Stdin)
	_, _ = fmt.Printf("replicas: %d requests ran, %d at once at most\n", ran.Load(), most.Load())
	return exitHeld
}

// try is one attempt of a client at the router that is watched.
type try struct {
	at        time.Time
	connected bool
	answered  bool
}

// poll is one readiness check of that router.
type poll struct {
	at    time.Time
	ready bool
}

type acceptCase struct {
	lab     *lab
	watched *router

	mu       sync.Mutex
	tries    []try
	polls    []poll
	statuses map[string]int
}

// runAccept sends streams to three routers, of which two are killed, and watches whether the
// third goes on to take connections.
func runAccept(folder string) int {
	l, err := newLab(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer l.close()
	replicas := exec.Command(os.Args[0], "replicas", "-")
	input, _ := replicas.StdinPipe()
	output, _ := replicas.StdoutPipe()
	if err := replicas.Start(); err != nil {
		l.note("not run: %v", err)
		return exitNotRun
	}
	defer func() { _ = replicas.Process.Kill(); _ = replicas.Wait() }()
	lines := bufio.NewReader(output)
	var addresses []string
	line, _ := lines.ReadBytes('\n')
	if err := json.Unmarshal(line, &addresses); err != nil {
		l.note("not run: %v", err)
		return exitNotRun
	}
	s, err := newStore()
	if err != nil {
		l.note("not run: %v", err)
		return exitNotRun
	}
	zones := []string{"zone-1", "zone-2", "zone-3"}
	for i, address := range addresses {
		s.put(fmt.Sprintf("servers/i-%d", i+1), entry("lm-pool", address, zones[i%len(zones)], _engineSlots, l.start.UnixMilli()))
	}
	var tenants []object
	for i := range _tenants {
		tenants = append(tenants, object{"name": fmt.Sprintf("tenant-%d", i), wire("{keys}"): []string{fmt.Sprintf("key%d", i)}})
	}
	s.put(wire("{configuration}"), object{
		"version": 1,
		"routes": []object{{
			"name": "crew-chat", "host": _chatHost, "prefix": "/chat/", "service": "lm-pool", wire("{kind}"): "streaming",
			"timeout-ms": _chatLimit.Milliseconds(), "goal-ms": 400, "gap-goal-ms": 400, "max-attempts": 1, "priority": 1, "sticky": true,
		}},
		"services": []object{{"name": "lm-pool", "max-connections": _engineConnections,
			"engine": object{"slots": _engineSlots, "kv-capacity": 460663, "stride": 5}}},
		"tenants": tenants,
		"limits": object{"max-header-bytes": 16384, "max-body-bytes": 4 << 20, "header-timeout-ms": 5000, "idle-timeout-ms": 30000,
			"tokens-per-s": 2000000},
	})
	if err := l.startRouters(s.address, zones, machine{memoryMB: 134, fds: 4100, cores: 0.4}); err != nil {
		l.note("not run: %v", err)
		return exitNotRun
	}
	c := &acceptCase{lab: l, watched: l.routers[0], statuses: make(map[string]int)}
	c.run()
	_ = input.Close()
	ran, _ := lines.ReadString('\n')
	l.note("%s", strings.TrimSpace(ran))
	return c.judge()
}

func (c *acceptCase) run() {
	begin := time.Now()
	var calls sync.WaitGroup
	killed := false
	nextPoll, nextNote := begin, begin
	for n := 0; time.Since(begin) < _stopAt; n++ {
		if at := begin.Add(time.Duration(n) * time.Second / _chatRate); time.Until(at) > 0 {
			time.Sleep(time.Until(at))
		}
		if c.lab.trouble && !killed && time.Since(begin) >= _killAt {
			killed = true
			for _, r := range c.lab.routers[1:] {
				c.lab.note("%s gets SIGKILL", r.name)
				r.kill()
			}
		}
		if time.Now().After(nextPoll) {
			nextPoll = time.Now().Add(200 * time.Millisecond)
			go c.poll()
		}
		if time.Now().After(nextNote) {
			nextNote = time.Now().Add(2 * time.Second)
			c.noteTotals()
		}
		// The platform forwards a client's connection to a router that is in rotation.
		target := c.lab.routers[n%len(c.lab.routers)]
		if !target.alive() {
			target = c.watched
		}
		calls.Add(1)
		go func() {
			defer calls.Done()
			c.call(target, n)
		}()
	}
	calls.Wait()
	c.noteTotals()
}

func (c *acceptCase) poll() {
	ready := c.watched.isReady()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.polls = append(c.polls, poll{at: time.Now(), ready: ready})
}

func (c *acceptCase) call(target *router, n int) {
	id := newID()
	at := time.Now()
	request := &call{
		method: "POST", host: _chatHost, path: "/chat/ask", id: id, wait: _chatLimit, body: []byte(strings.Repeat("q", 700)),
		header: []string{
			"X-Model: m", wire("{tokens}: 543,280"), fmt.Sprintf(wire("{prefix}: %x:103,%x:69,%s:371"), n%8+1, n%184+100, id),
			fmt.Sprintf("Authorization: Token key%d", n%_tenants),
		},
	}
	r := request.send(target.frontend)
	outcome := fmt.Sprintf("status %d", r.status)
	switch {
	case !r.connected:
		outcome = "no connection"
	case r.status == 0:
		outcome = "connected, no answer"
	case r.status == 200 && (r.err != nil || strings.Count(string(r.body), "\n\n") != _events):
		outcome = "stream broken off"
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.statuses[target.name+" "+outcome]++
	if target == c.watched {
		c.tries = append(c.tries, try{at: at, connected: r.connected, answered: r.status != 0})
	}
}

func (c *acceptCase) noteTotals() {
	files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", c.watched.cmd.Process.Pid))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lab.note("%s: %d descriptors open, %d MB, alive %v; ended calls so far: %v", c.watched.name, len(files), anonymousMB(c.watched.cmd.Process.Pid), c.watched.alive(), c.statuses)
}

// judge looks for a span of stable-ms in which the router was alive and said that it was ready,
// at least seven clients tried, and none got a connection.
func (c *acceptCase) judge() int {
	lines := c.watched.logLines("too many open files")
	for _, line := range lines[:min(len(lines), 5)] {
		c.lab.note("log of %s: %s", c.watched.name, line)
	}
	served := 0
	for _, t := range c.tries {
		if t.answered {
			served++
		}
	}
	if served < 500 {
		c.lab.note("not run: only %d requests were answered", served)
		return exitNotRun
	}
	longest, begin, count := time.Duration(0), time.Time{}, 0
	for _, first := range c.tries {
		last, n := first.at, 0
		broken := false
		for _, t := range c.tries {
			if t.at.Before(first.at) || t.at.After(first.at.Add(_stable)) {
				continue
			}
			broken = broken || t.connected
			n++
			if t.at.After(last) {
				last = t.at
			}
		}
		if !broken && n >= _fewest && last.Sub(first.at) >= _stable*9/10 && c.readyAll(first.at, first.at.Add(_stable)) && longest == 0 {
			longest, begin, count = last.Sub(first.at), first.at, n
		}
	}
	if longest == 0 {
		c.lab.note("held")
		return exitHeld
	}
	c.lab.note("RECOVER is broken: from %.3f s on, for stable-ms, %s took no new connection, though %d clients tried and it said that it was ready",
		begin.Sub(c.lab.start).Seconds(), c.watched.name, count)
	return exitBroken
}

// readyAll reports whether all readiness checks between the times were answered with 200.
func (c *acceptCase) readyAll(from, to time.Time) bool {
	polls := 0
	for _, p := range c.polls {
		if p.at.Before(from) || p.at.After(to) {
			continue
		}
		if !p.ready {
			return false
		}
		polls++
	}
	return polls >= 2
}
