package main

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
)

// path is how a proxy treats what passes.
type path int

const (
	pathOpen path = iota
	// pathSlow delays each piece.
	pathSlow
	// pathSilent passes nothing and closes nothing.
	pathSilent
	// pathOneWay passes only what the caller sends.
	pathOneWay
	// pathReset resets what is open and what comes.
	pathReset
)

const (
	_pathDelay = 80 * time.Millisecond
	_pathPoll  = 20 * time.Millisecond
	_piece     = 16 << 10
)

// proxy passes connections on to a target.
type proxy struct {
	listener net.Listener

	mu     sync.Mutex
	target string
	path   path
	conns  map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Trace(err)
	}
	p := &proxy{
		listener: listener,
		target:   target,
		conns:    make(map[net.Conn]bool),
	}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string {
	return p.listener.Addr().String()
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.set(pathReset)
}

// set changes how everything is treated from now on.
func (p *proxy) set(next path) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.path = next
	if next != pathReset {
		return
	}
	for conn := range p.conns {
		reset(conn)
	}
}

func (p *proxy) now() path {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.path
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

func (p *proxy) serve(caller net.Conn) {
	defer p.forget(caller)
	if !p.keep(caller) {
		return
	}
	p.mu.Lock()
	address := p.target
	p.mu.Unlock()
	target, err := net.Dial("tcp4", address)
	if err != nil {
		reset(caller)
		return
	}
	defer p.forget(target)
	if !p.keep(target) {
		return
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.pass(target, caller, true)
	}()
	p.pass(caller, target, false)
	<-done
}

func (p *proxy) keep(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.path == pathReset {
		reset(conn)
		return false
	}
	p.conns[conn] = true
	return true
}

func (p *proxy) forget(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
	_ = conn.Close()
}

// pass copies one way until either end closes.
func (p *proxy) pass(to, from net.Conn, outward bool) {
	piece := make([]byte, _piece)
	for {
		n, err := from.Read(piece)
		for path := p.now(); path == pathSilent || path == pathOneWay && !outward; path = p.now() {
			time.Sleep(_pathPoll)
		}
		if p.now() == pathSlow {
			time.Sleep(_pathDelay)
		}
		if n > 0 {
			if _, err := to.Write(piece[:n]); err != nil {
				reset(from)
				return
			}
		}
		if err == io.EOF {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}
