package main

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
)

// linkState is how a proxy treats the connections through it.
type linkState int

const (
	linkOpen linkState = iota
	// linkSlow delays each chunk by _linkDelay.
	linkSlow
	// linkSilent forwards no data and keeps connections open.
	linkSilent
	// linkOneWay forwards only data from the connecting side to the target.
	linkOneWay
	// linkReset resets open connections and new ones.
	linkReset
)

const (
	_linkDelay        = 80 * time.Millisecond
	_linkPollInterval = 20 * time.Millisecond
	_chunkBytes       = 16 << 10
)

// proxy forwards TCP connections to a target. Its state simulates a network fault
// on all of them.
type proxy struct {
	listener net.Listener

	mu     sync.Mutex
	target string
	state  linkState
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

// close stops listening and resets all connections.
func (p *proxy) close() {
	_ = p.listener.Close()
	p.setState(linkReset)
}

// setState sets the state of present and future connections.
func (p *proxy) setState(next linkState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = next
	if next != linkReset {
		return
	}
	for conn := range p.conns {
		reset(conn)
	}
}

func (p *proxy) currentState() linkState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state
}

// reset closes a connection with a TCP reset.
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
	defer p.release(caller)
	if !p.track(caller) {
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
	defer p.release(target)
	if !p.track(target) {
		return
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.forward(target, caller, true)
	}()
	p.forward(caller, target, false)
	<-done
}

// track registers a connection, so that setState can reset it. In the state
// linkReset, it resets the connection and returns false.
func (p *proxy) track(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state == linkReset {
		reset(conn)
		return false
	}
	p.conns[conn] = true
	return true
}

// release closes a connection and removes it from those tracked.
func (p *proxy) release(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
	_ = conn.Close()
}

// forward copies data in one direction until either side closes.
func (p *proxy) forward(destination, source net.Conn, towardTarget bool) {
	chunk := make([]byte, _chunkBytes)
	for {
		n, err := source.Read(chunk)
		for state := p.currentState(); state == linkSilent || state == linkOneWay && !towardTarget; state = p.currentState() {
			time.Sleep(_linkPollInterval)
		}
		if p.currentState() == linkSlow {
			time.Sleep(_linkDelay)
		}
		if n > 0 {
			if _, err := destination.Write(chunk[:n]); err != nil {
				reset(source)
				return
			}
		}
		if err == io.EOF {
			if tcp, ok := destination.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
		if err != nil {
			reset(destination)
			return
		}
	}
}
