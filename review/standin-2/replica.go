package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// replica is a server of a service. It speaks HTTP/1.1 by itself, so that a scenario decides how
// an answer is framed and how a connection ends.
type replica struct {
	id, service, zone, address string
	slots                      int
	store                      *store
	// answer answers a request. It returns false if the connection is to be closed.
	answer   func(r *replica, conn *net.TCPConn, request *http.Request, body []byte) (keep bool)
	born     int64
	listener *net.TCPListener
	active   atomic.Int64

	mu       sync.Mutex
	conns    map[*net.TCPConn]bool
	sequence int
	state    string
	gone     bool
}

// startReplica starts a replica, which registers itself and pings each 1.2 s.
func startReplica(r *replica) *replica {
	listener, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	must(err)
	r.listener, r.address = listener, listener.Addr().String()
	r.born, r.state = time.Now().UnixMilli(), "ready"
	r.conns = make(map[*net.TCPConn]bool)
	go func() {
		for {
			conn, err := listener.AcceptTCP()
			if err != nil {
				return
			}
			go r.serve(conn)
		}
	}()
	r.register()
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			r.mu.Lock()
			gone := r.gone
			r.mu.Unlock()
			if gone {
				return
			}
			r.register()
		}
	}()
	return r
}

// register writes the replica's entry.
func (r *replica) register() {
	r.mu.Lock()
	r.sequence++
	entry := object{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "1", "slots": r.slots,
		"state": r.state, "warmup-left-ms": 0, "sequence": r.sequence, "born": r.born,
	}
	r.mu.Unlock()
	r.store.put("servers/"+r.id, entry)
}

func (r *replica) serve(conn *net.TCPConn) {
	r.mu.Lock()
	if r.gone {
		r.mu.Unlock()
		_ = conn.SetLinger(0)
		_ = conn.Close()
		return
	}
	r.conns[conn] = true
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.conns, conn)
		r.mu.Unlock()
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if request.URL.Path == "/healthz" {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n"+nameReplica+": %s\r\n"+nameLoad+": %s\r\nContent-Length: 0\r\n\r\n", r.id, r.load())
			continue
		}
		if expected := request.Header.Get(nameExpected); expected != "" && expected != r.id {
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n"+nameAttempt+": %s\r\n"+nameNotRun+": 1\r\nContent-Length: 0\r\n\r\n", request.Header.Get(nameAttempt))
			continue
		}
		if int(r.active.Add(1)) > r.slots {
			r.active.Add(-1)
			fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\n"+nameAttempt+": %s\r\n"+nameNotRun+": 1\r\n"+nameLoad+": %s\r\nContent-Length: 0\r\n\r\n", request.Header.Get(nameAttempt), r.load())
			continue
		}
		keep := r.answer(r, conn, request, body)
		r.active.Add(-1)
		if !keep {
			return
		}
	}
}

func (r *replica) load() string { return fmt.Sprintf("%d,0,%d", r.active.Load(), r.slots) }

// crash ends the replica: its listener is closed, all its connections are reset, its entry
// stays until it lapses.
func (r *replica) crash() {
	_ = r.listener.Close()
	r.mu.Lock()
	r.gone = true
	conns := make([]*net.TCPConn, 0, len(r.conns))
	for conn := range r.conns {
		conns = append(conns, conn)
	}
	r.mu.Unlock()
	for _, conn := range conns {
		_ = conn.SetLinger(0)
	}
	for _, conn := range conns {
		_ = conn.Close()
	}
	time.AfterFunc(3*1200*time.Millisecond, func() { r.store.remove("servers/" + r.id) })
}
