package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// _usualRate is what the largest tenant sends to one router, in requests a second, and
	// _tenantFactor times that for _spell while it is hot.
	_usualRate    = 200
	_tenantFactor = 7.5
	_spell        = 6500 * time.Millisecond
	// _routeTimeout is the route's timeout-ms, and _clientLimit what clients wait.
	_routeTimeout = time.Second
	_clientLimit  = 3 * time.Second
	// _timeoutSlack is how much later than the route's timeout an answer may come.
	_timeoutSlack = 500 * time.Millisecond
	// _freezeAt, after the tenant has become hot, is when the other router freezes for
	// _freezeTime.
	_freezeAt   = 2 * time.Second
	_freezeTime = 4 * time.Second
	_frozenLoad = 400
	// _unansweredLeast is how many requests have to be unanswered at the timeout.
	_unansweredLeast = 8
)

// timedCall is one request at the router that is watched.
type timedCall struct {
	id     string
	at     time.Time
	took   time.Duration
	status int
}

// runFrozen has a tenant of one router send many times its usual while another router of the zone
// freezes.
func runFrozen(folder string) int {
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
	var ran atomic.Int64
	for i := range 3 {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			l.note("not run: %v", err)
			return exitNotRun
		}
		id := fmt.Sprintf("i-%d", i+1)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
			_, _ = io.Copy(io.Discard, request.Body)
			ran.Add(1)
			w.Header().Set(wire("{attempt-id}"), request.Header.Get(wire("{attempt-id}")))
			w.Header().Set(wire("{signature}"), "s."+id)
			_, _ = io.WriteString(w, "answer to "+request.Header.Get(wire("{attempt-id}")))
		})}
		go func() { _ = server.Serve(listener) }()
		s.put("servers/"+id, entry("ledger", listener.Addr().String(), "zone-1", 64, l.start.UnixMilli()))
	}
	s.put(wire("{configuration}"), object{
		"version": 1,
		"routes": []object{{
			"name": "book", "host": _uploadHost, "prefix": "/book/", "service": "ledger", wire("{kind}"): "non_idempotent",
			"timeout-ms": _routeTimeout.Milliseconds(), "goal-ms": 200, "max-attempts": 1, "priority": 2, "public": true,
		}},
		"services": []object{{"name": "ledger", "max-connections": 400}},
		"limits":   object{"max-header-bytes": 16384, "max-body-bytes": 4 << 20, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	if err := l.startRouters(s.address, []string{"zone-1", "zone-1"}, machine{memoryMB: 284, fds: 4100, cores: 0.4}); err != nil {
		l.note("not run: %v", err)
		return exitNotRun
	}
	var mu sync.Mutex
	var calls []timedCall
	stop := make(chan struct{})
	var loads sync.WaitGroup
	for range _frozenLoad {
		loads.Add(1)
		go func() {
			defer loads.Done()
			sendTimed(l.routers[0].frontend, _frozenLoad*time.Second/time.Duration(_usualRate*_tenantFactor), stop, func(c timedCall) {
				mu.Lock()
				defer mu.Unlock()
				calls = append(calls, c)
			})
		}()
	}
	time.Sleep(_freezeAt)
	frozen := l.routers[1]
	if l.trouble {
		frozen.signal(syscall.SIGSTOP)
	}
	time.Sleep(_freezeTime)
	if l.trouble {
		frozen.signal(syscall.SIGCONT)
	}
	time.Sleep(_spell - _freezeAt - _freezeTime)
	close(stop)
	loads.Wait()
	return judgeTimed(l, calls, ran.Load())
}

// sendTimed sends requests on a kept connection, one each interval, until stop is closed.
func sendTimed(address string, interval time.Duration, stop chan struct{}, record func(c timedCall)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var conn net.Conn
	var reader *bufio.Reader
	for {
		select {
		case <-stop:
			if conn != nil {
				_ = conn.Close()
			}
			return
		case <-ticker.C:
		}
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp4", address, time.Second); err != nil {
				conn = nil
				continue
			}
			reader = bufio.NewReader(conn)
		}
		request := &call{method: "POST", host: _uploadHost, path: "/book/slot", id: newID(), wait: _clientLimit, body: []byte("abc")}
		at := time.Now()
		r := request.sendOn(conn, reader)
		record(timedCall{id: request.id, at: at, took: time.Since(at), status: r.status})
		if r.status == 0 || r.err != nil {
			_ = conn.Close()
			conn = nil
		}
	}
}

func judgeTimed(l *lab, calls []timedCall, ran int64) int {
	statuses := make(map[int]int)
	unanswered, later, never, longest := 0, 0, 0, time.Duration(0)
	for _, c := range calls {
		statuses[c.status]++
		longest = max(longest, c.took)
		if c.status == 0 {
			never++
		}
		if c.took > _routeTimeout {
			unanswered++
		}
		if c.took > _routeTimeout+_timeoutSlack {
			later++
			if later <= 20 {
				l.note("request %s, sent at %.3f s: status %d after %.3f s", c.id, c.at.Sub(l.start).Seconds(), c.status, c.took.Seconds())
			}
		}
	}
	l.note("%d requests sent to %s: statuses %v; %d ran", len(calls), l.routers[0].name, statuses, ran)
	l.note("%d unanswered at the route's timeout, %d of them %v later; %d without any answer when their clients left", unanswered, later, _timeoutSlack, never)
	l.note("the longest wait was %v", longest)
	switch {
	case statuses[200] < 500:
		l.note("not run: too few requests were served")
		return exitNotRun
	case unanswered >= _unansweredLeast && later > unanswered/2:
		l.note("CONFIG is broken: %d of %d requests that were unanswered at their route's timeout-ms had no answer half a second later", later, unanswered)
		return exitBroken
	}
	l.note("held")
	return exitHeld
}
