// Package qlconn sends requests to upstreams over a pool of HTTP/1.1
// connections.
//
// The client of net/http resends requests that it considers repeatable, and
// does not let its user choose among idle connections. This package writes a
// request exactly once and reports whether any byte of it may have left, so
// that a request that must not run twice is never sent twice by accident. An
// idle connection is checked before it is reused: if the upstream has closed
// it, or it holds bytes that belong to no request, it is discarded. A response
// that carries the id of another request is skipped, and the next response is
// read.
//
// # Usage
//
//	pool := qlconn.New(qlconn.Config{DialTimeout: 300 * time.Millisecond, IdleTimeout: 20 * time.Second, Matches: matches})
//	exchange, err := pool.Do(ctx, &qlconn.Request{Address: "10.0.0.9:8080", Header: header, Body: body})
//	defer exchange.Close()
//	io.Copy(w, exchange.Response().Body)
package qlconn

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qlaccept"
	"github.com/quetzallane/quetzallane/internal/qlmemory"
)

const (
	// _keepAliveIdle, _keepAliveInterval and _keepAliveCount configure TCP
	// keep-alive probes, which detect connections whose other end no longer
	// responds. The kernel accepts whole seconds only.
	_keepAliveIdle     = time.Second
	_keepAliveInterval = time.Second
	_keepAliveCount    = 2
	// _idleTimeoutMargin is how much earlier than the upstream the pool closes
	// an idle connection.
	_idleTimeoutMargin = 500 * time.Millisecond
	// _writeTimeout limits the time to write a request.
	_writeTimeout = 2 * time.Second
	// _maxDrainBytes limits how much of a skipped response is read in order to
	// keep its connection.
	_maxDrainBytes = 64 << 10
	// _readBufferBytes is the size of a connection's read buffer.
	_readBufferBytes = 4 << 10
	// _maxSkippedResponses limits the responses to other requests that are skipped
	// before the one to the request, _maxInformationalResponses those with status
	// 1xx.
	_maxSkippedResponses       = 2
	_maxInformationalResponses = 5
	// _allowanceBytes is what a response may hold without an account.
	_allowanceBytes = 16 << 10
	// _maxHeadBytes limits the bytes that are read for the head of a response,
	// skipped responses included.
	_maxHeadBytes = 256 << 10
)

// ErrNotSent marks errors after which no byte of the request has left.
const ErrNotSent = errors.ConstError("not sent")

// ErrTooManyConnections is the cause of the error if all connections to the
// upstream, or all that this process may have, are in use and no more may be opened.
const ErrTooManyConnections = errors.ConstError("too many connections")

// Config configures a Pool.
type Config struct {
	// DialTimeout limits the time to open a connection.
	DialTimeout time.Duration
	// IdleTimeout limits how long an idle connection is kept; 0 keeps none.
	IdleTimeout time.Duration
	// MaxOpen returns how many connections to all upstreams together may be open at present. An
	// idle one is closed for a new one. It may be nil, and must not call the pool.
	MaxOpen func() int
	// Memory bounds what is held of all responses, beyond _allowanceBytes of each; nil for no
	// limit.
	Memory *qlmemory.Account
	// Matches reports whether a response answers the request with the id.
	Matches func(response *http.Response, id string) bool
}

// Request is one request to send.
type Request struct {
	// Address of the upstream has the form IP:port.
	Address string
	// ID is the id that the upstream echoes in its response.
	ID     string
	Method string
	// Target holds the path and query exactly as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HeadTimeout limits the wait for the head of the response; 0 for no limit.
	HeadTimeout time.Duration
	// MaxConnections limits the open connections to the upstream; 0 for no
	// limit.
	MaxConnections int
	// Abandoned reports whether the request need not be sent any more. It is
	// called once a connection is available, before the request is written; it
	// may be nil.
	Abandoned func() bool
}

// Pool holds the connections to upstreams by address. It is safe for concurrent
// use.
type Pool struct {
	config Config
	// mu guards the fields below.
	mu sync.Mutex
	// hosts holds the connections by address.
	hosts map[string]*hostPool
	// open counts all connections, idle those of them that are idle.
	open   int
	idle   int
	dials  uint64
	reuses uint64
}

// hostPool holds the connections to one address.
type hostPool struct {
	idle []*conn
	// open counts all connections, idle or in use.
	open int
	// refusedAt is when the upstream last refused a connection.
	refusedAt time.Time
	// conns are the open connections.
	conns map[*conn]struct{}
	// endedAt is when the upstream ended connections that were in use, within the last
	// _lossMemory.
	endedAt []time.Time
}

// conn is a connection to an upstream.
type conn struct {
	net.Conn
	reader    *bufio.Reader
	limit     *limitedReader
	address   string
	openedAt  time.Time
	idleSince time.Time
	// idleTimeout is how long the connection may be idle. If it is not
	// positive, the connection is not reused.
	idleTimeout time.Duration
}

// New returns a pool without connections.
func New(config Config) *Pool {
	if config.Memory == nil {
		config.Memory = qlmemory.NewAccount(0)
	}
	return &Pool{
		config: config,
		hosts:  make(map[string]*hostPool),
	}
}

// Counts returns how many times a connection was dialed, successfully or not,
// and how many times an idle connection was chosen, usable or not.
func (p *Pool) Counts() (dials, reuses uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials, p.reuses
}

// hostPool returns the connections to the address. The caller holds mu.
func (p *Pool) hostPool(address string) *hostPool {
	h := p.hosts[address]
	if h == nil {
		h = &hostPool{
			conns: make(map[*conn]struct{}),
		}
		p.hosts[address] = h
	}
	return h
}

// acquire returns an idle connection. If there is none it returns nil, and the
// caller must dial; the new connection is already counted as open.
func (p *Pool) acquire(request *Request) (*conn, error) {
	for {
		c, err := p.popIdle(request)
		if c == nil || err != nil {
			return nil, err
		}
		if c.usable() {
			return c, nil
		}
		p.discard(c)
	}
}

// popIdle returns the idle connection that was used last. If there is none, it
// returns nil and counts a new connection as open, or returns an error if no
// more may be opened.
func (p *Pool) popIdle(request *Request) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hostPool(request.Address)
	if last := len(h.idle) - 1; last >= 0 {
		c := h.idle[last]
		h.idle = h.idle[:last]
		p.idle--
		p.reuses++
		return c, nil
	}
	if request.MaxConnections > 0 && h.open >= request.MaxConnections || !p.reserve(h) {
		return nil, errors.WithType(ErrTooManyConnections, ErrNotSent)
	}
	return nil, nil
}

// reserve counts a new connection to the host as open, and reports false if none may be opened.
// The caller holds mu.
func (p *Pool) reserve(h *hostPool) bool {
	if p.config.MaxOpen != nil {
		most := p.config.MaxOpen()
		if p.open-p.idle >= most {
			return false
		}
		if p.open >= most {
			p.closeAnyIdle()
		}
	}
	h.open++
	p.open++
	p.dials++
	return true
}

// closeAnyIdle closes one of the idle connections. The caller holds mu.
func (p *Pool) closeAnyIdle() {
	for _, h := range p.hosts {
		if len(h.idle) == 0 {
			continue
		}
		// The first one was idle for longest.
		_ = h.idle[0].Close()
		delete(h.conns, h.idle[0])
		h.idle = h.idle[1:]
		h.open--
		p.idle--
		p.open--
		return
	}
}

// Full reports whether as many connections are in use as this process may have.
func (p *Pool) Full() bool {
	if p.config.MaxOpen == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open-p.idle >= p.config.MaxOpen()
}

// Open returns the number of open connections.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// dial opens a connection that popIdle has counted.
func (p *Pool) dial(ctx context.Context, address string, timeout time.Duration) (*conn, error) {
	dialer := net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     _keepAliveIdle,
			Interval: _keepAliveInterval,
			Count:    _keepAliveCount,
		},
	}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.releaseSlot(address)
		p.recordRefusal(address, err)
		if qlaccept.IsShortage(err) {
			// This process has no descriptor or port left, which is no fault of the upstream.
			err = errors.WithType(err, ErrTooManyConnections)
		}
		return nil, errors.WithType(err, ErrNotSent)
	}
	limit := &limitedReader{
		reader: raw,
	}
	c := &conn{
		Conn:        raw,
		reader:      bufio.NewReaderSize(limit, _readBufferBytes),
		limit:       limit,
		address:     address,
		openedAt:    time.Now(),
		idleTimeout: p.config.IdleTimeout,
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hostPool(address).conns[c] = struct{}{}
	return c, nil
}

// releaseSlot counts a connection as closed.
func (p *Pool) releaseSlot(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hostPool(address).open--
	p.open--
}

// discard closes a connection.
func (p *Pool) discard(c *conn) {
	_ = c.Close()
	p.releaseSlot(c.address)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hostPool(c.address).remove(c)
}

// putIdle keeps a connection whose last response was read completely.
func (p *Pool) putIdle(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hostPool(c.address)
	h.idle = append(h.idle, c)
	p.idle++
}

// Prune closes the connections that have been idle for too long, and all idle
// connections to addresses for which keep returns false.
func (p *Pool) Prune(keep func(address string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for address, h := range p.hosts {
		kept := h.idle[:0]
		for _, c := range h.idle {
			if keep(address) && now.Sub(c.idleSince) < c.idleTimeout {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
			delete(h.conns, c)
			h.open--
			p.open--
			p.idle--
		}
		h.idle = kept
		if h.open == 0 && len(h.idle) == 0 {
			delete(p.hosts, address)
		}
	}
}

// Do sends the request once and returns after the head of the response was
// read. The caller must close the exchange. Canceling the context closes the
// connection, also while the body of the response is read.
func (p *Pool) Do(ctx context.Context, request *Request) (*Exchange, error) {
	c, err := p.acquire(request)
	if err != nil {
		return nil, err
	}
	if c == nil {
		if c, err = p.dial(ctx, request.Address, p.config.DialTimeout); err != nil {
			return nil, err
		}
	}
	if ctx.Err() != nil {
		p.putIdle(c)
		return nil, errors.WithType(ctx.Err(), ErrNotSent)
	}
	if request.Abandoned != nil && request.Abandoned() {
		p.putIdle(c)
		return nil, errors.WithType(errors.New("abandoned before it was sent"), ErrNotSent)
	}
	exchange := &Exchange{
		pool:    p,
		conn:    c,
		holding: p.config.Memory.NewHolding(_allowanceBytes),
	}
	// The closed connection signals to the upstream that the request was
	// canceled.
	exchange.stopCancel = context.AfterFunc(ctx, func() { _ = c.Close() })
	if err := exchange.send(request); err != nil {
		exchange.Close()
		return nil, errors.Trace(err)
	}
	if err := exchange.receive(request); err != nil {
		exchange.Close()
		return nil, errors.Trace(err)
	}
	return exchange, nil
}
