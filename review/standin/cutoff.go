package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	_cutoffCalls = 20
	// _wholeAnswer is how many bytes an answer has.
	_wholeAnswer = 3000
	// _crashAfter is how long after the first part of an answer a replica crashes, and
	// _downTime how long it is down.
	_crashAfter = 300 * time.Millisecond
	_downTime   = 3 * time.Second
)

// cutoffReplica answers a long request before it has read the body, without a length. It may
// crash once in the middle of an answer: the connection is then reset, and no other one is
// accepted until it has started again.
type cutoffReplica struct {
	lab      *lab
	id       string
	address  string
	listener net.Listener
	// crashes is set if the next answer breaks off.
	crashes atomic.Bool
	// onStart is called when it has started again.
	onStart func()
}

func wholeAnswer(id string) string {
	line := "answer to " + id + "\n"
	return strings.Repeat(line, _wholeAnswer/len(line))
}

func (r *cutoffReplica) listen() error {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, _windowBytes)
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, _segmentBytes)
		})
	}}
	listener, err := config.Listen(context.Background(), "tcp4", r.address)
	if err != nil {
		return err
	}
	r.listener, r.address = listener, listener.Addr().String()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go r.serve(conn)
		}
	}()
	return nil
}

// restart starts the replica again some time after its crash.
func (r *cutoffReplica) restart() {
	time.Sleep(_downTime)
	if err := r.listen(); err != nil {
		r.lab.note("replica %s: not started again: %v", r.id, err)
		return
	}
	r.lab.note("replica %s: started again", r.id)
	r.onStart()
}

func (r *cutoffReplica) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReaderSize(conn, 4<<10)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	id := request.Header.Get(wire("{attempt-id}"))
	whole := wholeAnswer(id)
	head := fmt.Sprintf(wire("HTTP/1.1 200 OK\r\n{attempt-id}: %s\r\n{signature}: s.%s\r\nConnection: close\r\n\r\n"), id, r.id)
	_, _ = io.WriteString(conn, head+whole[:len(whole)/2])
	if r.crashes.CompareAndSwap(true, false) {
		time.Sleep(_crashAfter)
		_ = r.listener.Close()
		go r.restart()
		r.lab.note("replica %s: has sent %d of %d bytes of the answer to %s; crashes, and its connection is reset", r.id, len(whole)/2, len(whole), id)
		_ = conn.(*net.TCPConn).SetLinger(0)
		return
	}
	time.Sleep(_crashAfter)
	_, _ = io.WriteString(conn, whole[len(whole)/2:])
	// The rest of the request is read before the connection ends, so that it isn't reset.
	_, _ = io.Copy(io.Discard, request.Body)
}

// runCutoff sends long requests that replicas answer early.
func runCutoff(folder string) int {
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
	for i := range 3 {
		id, zone := fmt.Sprintf("i-%d", i+1), fmt.Sprintf("zone-%d", i+1)
		replica := &cutoffReplica{lab: l, id: id, address: "127.0.0.1:0"}
		// One replica in three crashes, once; it is that of the router's zone.
		replica.crashes.Store(l.trouble && i == 0)
		if err := replica.listen(); err != nil {
			l.note("not run: %v", err)
			return exitNotRun
		}
		replica.onStart = func() {
			s.put("servers/"+id, entry("depot-api", replica.address, zone, 6, time.Now().UnixMilli()))
		}
		replica.onStart()
	}
	s.put(wire("{configuration}"), object{
		"version": 1,
		"routes": []object{{
			"name": "order", "host": _earlyHost, "prefix": "/order/", "service": "depot-api", wire("{kind}"): "non_idempotent",
			"timeout-ms": 5000, "goal-ms": 150, "max-attempts": 1, "priority": 1, "public": true,
		}},
		"services": []object{{"name": "depot-api", "max-connections": 100}},
		"limits":   object{"max-header-bytes": 16384, "max-body-bytes": 4 << 20, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	if err := l.startRouters(s.address, []string{"zone-1"}, machine{memoryMB: 134, fds: 4100, cores: 0.4}); err != nil {
		l.note("not run: %v", err)
		return exitNotRun
	}
	whole, broken, other := 0, 0, 0
	for range _cutoffCalls {
		id := newID()
		request := &call{method: "POST", host: _earlyHost, path: "/order/list", id: id, body: longBody(id), wait: 5 * time.Second}
		r := request.send(l.routers[0].frontend)
		l.note("client of %s gets status %d, signature %q, %d bytes, error %v", id, r.status, r.signature, len(r.body), r.err)
		switch {
		case r.status == 200 && r.err == nil && string(r.body) == wholeAnswer(id):
			whole++
		case r.status == 200 && r.err == nil:
			broken++
		default:
			other++
		}
	}
	l.note("%d whole answers, %d successes with a part of the answer, %d others", whole, broken, other)
	switch {
	case broken > 0:
		l.note("MIXED is broken: a success whose body isn't the replica's whole body")
		return exitBroken
	case !l.trouble && whole == 0:
		l.note("not run: no request was answered")
		return exitNotRun
	}
	l.note("held")
	return exitHeld
}
