package main

import (
	"bufio"
	"bytes"
	"context"
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
	_earlyHost = "depot.example"
	// _longBytes is within the limit of the configuration, 4 MiB.
	_longBytes = 4_000_000
	// _longLimit is the size from which on a replica answers before it has read the body.
	_longLimit = 100_000
	// _readOnAfter is how long after such an answer the replica reads on.
	_readOnAfter = 3 * time.Second
	// _windowBytes is the receive buffer of the replicas, and _segmentBytes the size of their
	// segments, which is that of a network of machines: windows are small.
	_windowBytes  = 64 << 10
	_segmentBytes = 1448
)

// earlyReplica answers a long request before it has read the body, keeps the connection and
// reads on later.
type earlyReplica struct {
	lab   *lab
	id    string
	early bool
	// foreign counts the bodies that were continued by other bytes.
	foreign *atomic.Int64
	mu      sync.Mutex
	ran     map[string]int
}

// longBody returns the body that the client with the id sends.
func longBody(id string) []byte {
	line := []byte("body of " + id + "\n")
	return bytes.Repeat(line, _longBytes/len(line))
}

func (r *earlyReplica) listen() (string, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, _windowBytes)
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, _segmentBytes)
		})
	}}
	listener, err := config.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go r.serve(conn)
		}
	}()
	return listener.Addr().String(), nil
}

func (r *earlyReplica) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReaderSize(conn, 4<<10)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			if err != io.EOF {
				r.lab.note("replica %s: connection ends: %v", r.id, err)
			}
			return
		}
		id := request.Header.Get(wire("{attempt-id}"))
		if r.early && request.ContentLength > _longLimit {
			r.lab.note("replica %s: request %s of %d bytes arrives; answered 503, not run, before its body is read", r.id, id, request.ContentLength)
			_, _ = fmt.Fprintf(conn, wire("HTTP/1.1 503 Service Unavailable\r\n{attempt-id}: %s\r\n{not-run}: 1\r\nContent-Length: 0\r\n\r\n"), id)
			time.Sleep(_readOnAfter)
			if !r.readRest(request, id) {
				return
			}
			continue
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			r.lab.note("replica %s: request %s ends early: %v", r.id, id, err)
			return
		}
		r.mu.Lock()
		r.ran[id]++
		r.mu.Unlock()
		text := "answer to " + id
		_, _ = fmt.Fprintf(conn, wire("HTTP/1.1 200 OK\r\n{attempt-id}: %s\r\n{signature}: %s.%d\r\nContent-Length: %d\r\n\r\n%s"), id, r.id, len(body), len(text), text)
	}
}

// readRest reads the body of a rejected request and compares it with what its client sent.
func (r *earlyReplica) readRest(request *http.Request, id string) (whole bool) {
	body, err := io.ReadAll(request.Body)
	want := longBody(id)
	if bytes.HasPrefix(want, body) {
		r.lab.note("replica %s: reads on, %d of %d bytes of the body of %s: %v", r.id, len(body), len(want), id, err)
		return err == nil
	}
	r.foreign.Add(1)
	at := 0
	for at < len(body) && body[at] == want[at] {
		at++
	}
	r.lab.note("replica %s: BROKEN: other bytes from byte %d of the body of %s on: %q", r.id, at, id, body[at:min(at+160, len(body))])
	return err == nil
}

// runEarly sends one long request and then short ones, which the router may send on the same
// connections to the replicas.
func runEarly(folder string) int {
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
	var foreign atomic.Int64
	for i := range 3 {
		// One replica in three does so; it is that of the router's zone.
		replica := &earlyReplica{lab: l, id: fmt.Sprintf("i-%d", i+1), early: l.trouble && i == 0, foreign: &foreign, ran: make(map[string]int)}
		address, err := replica.listen()
		if err != nil {
			l.note("not run: %v", err)
			return exitNotRun
		}
		s.put("servers/"+replica.id, entry("depot-api", address, fmt.Sprintf("zone-%d", i+1), 6, l.start.UnixMilli()))
	}
	s.put(wire("{configuration}"), object{
		"version": 1,
		"routes": []object{{
			"name": "lookup", "host": _earlyHost, "prefix": "/stock/", "service": "depot-api", wire("{kind}"): "idempotent",
			"timeout-ms": 5000, "goal-ms": 150, "max-attempts": 2, "priority": 1, "public": true,
		}},
		"services": []object{{"name": "depot-api", "max-connections": 100}},
		"limits":   object{"max-header-bytes": 16384, "max-body-bytes": 4 << 20, "header-timeout-ms": 5000, "idle-timeout-ms": 30000},
	})
	if err := l.startRouters(s.address, []string{"zone-1"}, machine{memoryMB: 134, fds: 4100, cores: 0.4}); err != nil {
		l.note("not run: %v", err)
		return exitNotRun
	}
	address := l.routers[0].frontend
	id := newID()
	long := &call{method: "POST", host: _earlyHost, path: "/stock/long", id: id, body: longBody(id), wait: 5 * time.Second}
	var calls sync.WaitGroup
	calls.Add(1)
	go func() {
		defer calls.Done()
		l.note("client sends request %s with a body of %d bytes", id, len(long.body))
		r := long.send(address)
		l.note("client of %s gets status %d, signature %q, error %v", id, r.status, r.signature, r.err)
	}()
	served, failed := 0, 0
	for range 80 {
		time.Sleep(100 * time.Millisecond)
		short := &call{method: "GET", host: _earlyHost, path: "/stock/short", id: newID(), wait: time.Second}
		r := short.send(address)
		if r.status == 200 && string(r.body) == "answer to "+short.id {
			served++
			continue
		}
		failed++
		l.note("client of %s gets status %d, error %v", short.id, r.status, r.err)
	}
	calls.Wait()
	l.note("short requests: %d served, %d not", served, failed)
	if served < 40 {
		l.note("not run: too few short requests were served")
		return exitNotRun
	}
	if foreign.Load() > 0 {
		l.note("UNASKED is broken: %d bodies were continued by other bytes", foreign.Load())
		return exitBroken
	}
	l.note("held")
	return exitHeld
}
