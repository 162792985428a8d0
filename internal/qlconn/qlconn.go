// Package qlconn sends requests to upstreams over HTTP/1.1 connections that it
// keeps.
//
// net/http's own client resends requests that it takes for repeatable and
// gives no say in which kept connection is used; here a request is written
// exactly once, and the caller learns whether a byte of it may have left. A
// kept connection is looked at before it is used: one that was closed
// meanwhile, or on which bytes wait that belong to no request, is discarded.
// An answer with another request's id is skipped, and the next one read.
//
// # Usage
//
//	pool := qlconn.New(qlconn.Config{DialTimeout: 300 * time.Millisecond, Matches: matches})
//	exchange, err := pool.Do(ctx, qlconn.Request{Address: "10.0.0.9:8080", Head: head, Body: body})
//	defer exchange.Close()
//	io.Copy(w, exchange.Response().Body)
package qlconn

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	// _keepAliveIdle and _keepAliveInterval detect connections that went
	// silent, whole seconds being what the kernel takes.
	_keepAliveIdle     = time.Second
	_keepAliveInterval = time.Second
	_keepAliveCount    = 2
	// _keepMargin is how much earlier than the upstream an idle connection is
	// closed.
	_keepMargin = 500 * time.Millisecond
	// _writeTimeout bounds the writing of one request.
	_writeTimeout = 2 * time.Second
	// _drainLimit bounds what is read of an answer nobody wants, to keep its
	// connection.
	_drainLimit  = 64 << 10
	_readBuffer  = 4 << 10
	_maxSkipped  = 2
	_maxInformal = 5
)

// ErrNotSent marks errors after which no byte of the request has left.
const ErrNotSent = errors.ConstError("not sent")

// ErrTooManyConnections is the cause when an upstream has all connections it may have.
const ErrTooManyConnections = errors.ConstError("too many connections")

// Config configures a Pool.
type Config struct {
	DialTimeout time.Duration
	// IdleTimeout bounds how long an unused connection is kept.
	IdleTimeout time.Duration
	// Matches reports whether a response answers the request with the id.
	Matches func(response *http.Response, id string) bool
}

// Request is one request to send.
type Request struct {
	Address string
	// ID is echoed by the upstream.
	ID     string
	Method string
	// Target is path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HeadTimeout bounds the wait for the answer's head; 0 for no bound.
	HeadTimeout time.Duration
	// MaxConnections bounds the connections to the upstream; 0 for no bound.
	MaxConnections int
	// Abandoned reports whether the request need not be sent any more. It is
	// asked once a connection is there.
	Abandoned func() bool
}

// Pool keeps connections by address. It is safe for several goroutines.
type Pool struct {
	config Config
	mu     sync.Mutex
	hosts  map[string]*host
	dials  uint64
	reuses uint64
}

type host struct {
	idle []*conn
	open int
}

type conn struct {
	net.Conn
	reader    *bufio.Reader
	address   string
	idleSince time.Time
	keepFor   time.Duration
}

// New returns a pool without connections.
func New(config Config) *Pool {
	return &Pool{
		config: config,
		hosts:  make(map[string]*host),
	}
}

// Counts returns how many connections were made and how often one was used
// again.
func (p *Pool) Counts() (dials, reuses uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials, p.reuses
}

func (p *Pool) host(address string) *host {
	h := p.hosts[address]
	if h == nil {
		h = &host{}
		p.hosts[address] = h
	}
	return h
}

// take returns a kept connection, or nil when one has to be made.
func (p *Pool) take(request *Request) (*conn, error) {
	for {
		c, err := p.pop(request)
		if c == nil || err != nil {
			return nil, err
		}
		if c.usable() {
			return c, nil
		}
		p.discard(c)
	}
}

func (p *Pool) pop(request *Request) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.host(request.Address)
	if last := len(h.idle) - 1; last >= 0 {
		c := h.idle[last]
		h.idle = h.idle[:last]
		p.reuses++
		return c, nil
	}
	if request.MaxConnections > 0 && h.open >= request.MaxConnections {
		return nil, errors.WithType(ErrTooManyConnections, ErrNotSent)
	}
	h.open++
	p.dials++
	return nil, nil
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	dialer := net.Dialer{
		Timeout: p.config.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     _keepAliveIdle,
			Interval: _keepAliveInterval,
			Count:    _keepAliveCount,
		},
	}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.forget(address)
		return nil, errors.WithType(err, ErrNotSent)
	}
	return &conn{
		Conn:    raw,
		reader:  bufio.NewReaderSize(raw, _readBuffer),
		address: address,
		keepFor: p.config.IdleTimeout,
	}, nil
}

func (p *Pool) forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.host(address).open--
}

func (p *Pool) discard(c *conn) {
	_ = c.Close()
	p.forget(c.address)
}

// put keeps a connection whose last answer was read to its end.
func (p *Pool) put(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.host(c.address)
	h.idle = append(h.idle, c)
}

// Prune closes connections that were idle for long, and all idle ones to
// addresses that are not kept.
func (p *Pool) Prune(keep func(address string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for address, h := range p.hosts {
		kept := h.idle[:0]
		for _, c := range h.idle {
			if keep(address) && now.Sub(c.idleSince) < c.keepFor {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
			h.open--
		}
		h.idle = kept
		if h.open == 0 && len(h.idle) == 0 {
			delete(p.hosts, address)
		}
	}
}

// Do sends the request once and returns when the head of its answer was read.
// The exchange has to be closed. The context bounds the answer's body, too.
func (p *Pool) Do(ctx context.Context, request *Request) (*Exchange, error) {
	c, err := p.take(request)
	if err != nil {
		return nil, err
	}
	if c == nil {
		if c, err = p.dial(ctx, request.Address); err != nil {
			return nil, err
		}
	}
	if ctx.Err() != nil {
		p.put(c)
		return nil, errors.WithType(ctx.Err(), ErrNotSent)
	}
	if request.Abandoned != nil && request.Abandoned() {
		p.put(c)
		return nil, errors.WithType(errors.New("abandoned before it was sent"), ErrNotSent)
	}
	exchange := &Exchange{
		pool: p,
		conn: c,
	}
	// Closing the connection is what tells the upstream that nobody waits.
	exchange.release = context.AfterFunc(ctx, func() { _ = c.Close() })
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

// Exchange is a request that was sent and the answer to it.
type Exchange struct {
	pool     *Pool
	conn     *conn
	release  func() bool
	response *http.Response
	body     *endReader
}

// Response returns the answer's head; its body reports io.EOF only when it is
// whole.
func (e *Exchange) Response() *http.Response {
	return e.response
}

// SetReadTimeout bounds the wait for what is read next; 0 removes the bound.
func (e *Exchange) SetReadTimeout(wait time.Duration) {
	deadline := time.Time{}
	if wait > 0 {
		deadline = time.Now().Add(wait)
	}
	if e.conn.SetReadDeadline(deadline) != nil {
		// The connection is closed; the next read tells.
		e.conn.keepFor = 0
	}
}

// send writes the request. The head is written by hand, since the target and
// the body have to arrive as the caller sent them.
func (e *Exchange) send(request *Request) error {
	var buffer bytes.Buffer
	buffer.Grow(len(request.Body) + 1024)
	buffer.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	if err := request.Header.Write(&buffer); err != nil {
		return errors.Trace(err)
	}
	if len(request.Body) > 0 || request.Method != http.MethodGet && request.Method != http.MethodHead {
		buffer.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	buffer.WriteString("\r\n")
	buffer.Write(request.Body)
	if err := e.conn.SetWriteDeadline(time.Now().Add(_writeTimeout)); err != nil {
		return errors.Trace(err)
	}
	_, err := e.conn.Write(buffer.Bytes())
	if err != nil && e.answersEarly() {
		return nil
	}
	return errors.Trace(err)
}

// answersEarly reports whether an answer waits although the request could not
// be written whole: an upstream may turn a long body away early.
func (e *Exchange) answersEarly() bool {
	if err := e.conn.SetReadDeadline(time.Now().Add(_earlyWait)); err != nil {
		return false
	}
	_, err := e.conn.reader.Peek(1)
	e.conn.keepFor = 0
	_ = e.conn.SetReadDeadline(time.Time{})
	return err == nil
}

// _earlyWait is how long an answer is waited for after a failed write.
const _earlyWait = 50 * time.Millisecond

// receive reads heads until one answers the request.
func (e *Exchange) receive(request *Request) error {
	asked := &http.Request{
		Method: request.Method,
	}
	// A kept connection may still have the bound of its last exchange.
	e.SetReadTimeout(request.HeadTimeout)
	defer e.SetReadTimeout(0)
	for skipped := 0; skipped <= _maxSkipped; {
		response, err := http.ReadResponse(e.conn.reader, asked)
		if err != nil {
			return errors.Trace(err)
		}
		if response.StatusCode < http.StatusOK {
			if skipped++; skipped > _maxInformal {
				break
			}
			continue
		}
		if e.pool.config.Matches(response, request.ID) {
			e.accept(response)
			return nil
		}
		skipped++
		if _, err := io.CopyN(io.Discard, response.Body, _drainLimit); err != io.EOF || response.Close {
			break
		}
	}
	return errors.New("answers with other requests' ids")
}

func (e *Exchange) accept(response *http.Response) {
	e.response = response
	e.body = &endReader{
		ReadCloser: response.Body,
	}
	response.Body = e.body
	e.conn.keepFor = e.pool.config.IdleTimeout
	if stated, ok := statedKeepAlive(response.Header); ok {
		e.conn.keepFor = min(e.conn.keepFor, stated-_keepMargin)
	}
	if response.Close {
		e.conn.keepFor = 0
	}
}

// statedKeepAlive reads the time for which an upstream keeps connections.
func statedKeepAlive(header http.Header) (time.Duration, bool) {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if strings.EqualFold(name, "timeout") {
			seconds, err := strconv.ParseFloat(value, 64)
			return time.Duration(seconds * float64(time.Second)), err == nil
		}
	}
	return 0, false
}

// Close ends the exchange. The connection is kept if the answer was read to
// its end; otherwise it is closed, which cancels the work upstream.
func (e *Exchange) Close() {
	if e.conn == nil {
		return
	}
	c := e.conn
	e.conn = nil
	intact := e.release()
	if intact && e.body != nil && e.body.ended && c.keepFor > 0 && c.reader.Buffered() == 0 {
		e.pool.put(c)
		return
	}
	e.pool.discard(c)
}

// endReader notes whether a body was read to its end.
type endReader struct {
	io.ReadCloser
	ended bool
}

// Read reads the body.
func (r *endReader) Read(p []byte) (int, error) {
	n, err := r.ReadCloser.Read(p)
	if err == io.EOF {
		r.ended = true
	}
	return n, err
}
