package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	_uploadHost = "ledger.example"
	// _uploadBytes is within the limit of the configuration, 4 MiB.
	_uploadBytes = 4_000_000
	// _uploadTime is how long a client needs to send that, and _uploadLimit its time limit.
	_uploadTime  = 5 * time.Second
	_uploadLimit = 10 * time.Second
	// _uploadRate is the usual rate of long requests at each router, in requests a second, and
	// _hotFactor by how much the tenant multiplies its own, _hotCount times for _hotTime.
	_uploadRate  = 2
	_hotFactor   = 7.5
	_hotFrom     = 4 * time.Second
	_hotInterval = 10 * time.Second
	_hotTime     = 6500 * time.Millisecond
	_hotCount    = 5
	_uploadStop  = 55 * time.Second
	// _restartDelay is after how long the platform restarts a process.
	_restartDelay = 500 * time.Millisecond
	// _endsPerMachine, on _machinesAtLeast, break the rule.
	_endsPerMachine  = 3
	_machinesAtLeast = 2
)

type memoryCase struct {
	lab      *lab
	limitMB  int
	ends     map[*router]int
	mu       sync.Mutex
	statuses map[string]int
	sent     atomic.Int64
	ran      atomic.Int64
	stopped  chan struct{}
}

// runMemory has clients send long bodies in chunks, and plays the platform, which kills a
// process whose memory exceeds that of its machine and restarts it.
func runMemory(folder string) int {
	l, err := newLab(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer l.close()
	s, err := newStore()
	if err != nil {
		l.note("not run: %v", err)
		return exitNotRun
	}
	c := &memoryCase{lab: l, limitMB: 134, ends: make(map[*router]int), statuses: make(map[string]int), stopped: make(chan struct{})}
	zones := []string{"zone-1", "zone-2"}
	for i := range 3 {
		address, err := c.serveReplica(fmt.Sprintf("i-%d", i+1))
		if err != nil {
			l.note("not run: %v", err)
			return exitNotRun
		}
		s.put(fmt.Sprintf("servers/i-%d", i+1), entry("ledger", address, zones[i%2], 6, l.start.UnixMilli()))
	}
	s.put(wire("{configuration}"), object{
		"version": 1,
		"routes": []object{{
			"name": "lookup", "host": _uploadHost, "prefix": "/stock/", "service": "ledger", wire("{kind}"): "idempotent",
			"timeout-ms": _uploadLimit.Milliseconds(), "goal-ms": 150, "max-attempts": 2, "priority": 1,
		}},
		"services": []object{{"name": "ledger", "max-connections": 100}},
		"tenants":  []object{{"name": "large", wire("{keys}"): []string{"key0"}}, {"name": "small", wire("{keys}"): []string{"key1"}}},
		"limits":   object{"max-header-bytes": 16384, "max-body-bytes": 4 << 20, "header-timeout-ms": 5000, "idle-timeout-ms": 30000},
	})
	if err := l.startRouters(s.address, zones, machine{memoryMB: c.limitMB, fds: 4100, cores: 0.4}); err != nil {
		l.note("not run: %v", err)
		return exitNotRun
	}
	var watchers sync.WaitGroup
	for _, r := range l.routers {
		watchers.Add(1)
		go func() {
			defer watchers.Done()
			c.watch(r)
		}()
	}
	c.run()
	close(c.stopped)
	watchers.Wait()
	return c.judge()
}

// serveReplica serves a sound replica.
func (c *memoryCase) serveReplica(id string) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	slots := make(chan struct{}, 6)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		w.Header().Set(wire("{attempt-id}"), request.Header.Get(wire("{attempt-id}")))
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		slots <- struct{}{}
		defer func() { <-slots }()
		c.ran.Add(1)
		time.Sleep(30 * time.Millisecond)
		w.Header().Set(wire("{signature}"), "s."+id)
		_, _ = io.WriteString(w, "answer to "+request.Header.Get(wire("{attempt-id}")))
	})}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// anonymousMB returns the process's own memory, without what it shares with files.
func anonymousMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kilobytes, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kilobytes >> 10
		}
	}
	return 0
}

// watch kills a router whose memory is above the limit, and restarts it.
func (c *memoryCase) watch(r *router) {
	peak, noted := 0, time.Now()
	for {
		select {
		case <-c.stopped:
			return
		case <-time.After(20 * time.Millisecond):
		}
		used := anonymousMB(r.cmd.Process.Pid)
		peak = max(peak, used)
		if time.Since(noted) > 5*time.Second {
			c.lab.note("%s: at most %d MB in the last 5 s", r.name, peak)
			peak, noted = 0, time.Now()
		}
		if used <= c.limitMB && r.alive() {
			continue
		}
		c.lab.note("%s: %d MB, the machine has %d: the platform kills the process", r.name, used, c.limitMB)
		r.kill()
		c.mu.Lock()
		c.ends[r]++
		c.mu.Unlock()
		time.Sleep(_restartDelay)
		if err := r.run(); err != nil {
			c.lab.note("not restarted: %v", err)
			return
		}
	}
}

func (c *memoryCase) run() {
	begin := time.Now()
	var calls sync.WaitGroup
	body := []byte(strings.Repeat("line of a long body\n", _uploadBytes/20))
	next := make([]time.Time, len(c.lab.routers))
	for i := range next {
		next[i] = begin
	}
	for time.Since(begin) < _uploadStop {
		rate := float64(_uploadRate)
		if c.lab.trouble && isHot(time.Since(begin)) {
			rate *= _hotFactor
		}
		for i, r := range c.lab.routers {
			if time.Now().Before(next[i]) {
				continue
			}
			next[i] = next[i].Add(time.Duration(float64(time.Second) / rate))
			calls.Add(1)
			go func() {
				defer calls.Done()
				c.call(r, body)
			}()
		}
		time.Sleep(5 * time.Millisecond)
	}
	calls.Wait()
}

// isHot reports whether the tenant sends more than usual at the time since the start.
func isHot(since time.Duration) bool {
	since -= _hotFrom
	return since >= 0 && since < _hotCount*_hotInterval && since%_hotInterval < _hotTime
}

func (c *memoryCase) call(r *router, body []byte) {
	c.sent.Add(1)
	request := &call{method: "POST", host: _uploadHost, path: "/stock/list", id: newID(), wait: _uploadLimit, chunked: os.Getenv("STATED_LENGTH") == "",
		body: body, sendTime: _uploadTime, header: []string{"Authorization: Token key0"}}
	result := request.send(r.frontend)
	outcome := fmt.Sprintf("status %d", result.status)
	switch {
	case !result.connected:
		outcome = "no connection"
	case result.status == 0:
		outcome = "connection ended without an answer"
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.statuses[outcome]++
}

func (c *memoryCase) judge() int {
	c.lab.note("%d long requests sent, %d run; outcomes %v", c.sent.Load(), c.ran.Load(), c.statuses)
	machines := 0
	for _, r := range c.lab.routers {
		c.lab.note("%s: %d ends for memory", r.name, c.ends[r])
		if c.ends[r] >= _endsPerMachine {
			machines++
		}
	}
	switch {
	case c.statuses["status 200"] == 0:
		c.lab.note("not run: nothing was served")
		return exitNotRun
	case machines >= _machinesAtLeast:
		c.lab.note("Fault is broken: on %d of %d machines, processes ended by themselves %d times or more", machines, len(c.lab.routers), _endsPerMachine)
		return exitBroken
	}
	c.lab.note("held")
	return exitHeld
}
