// Package qlintake refuses callers' requests before the HTTP server handles
// them.
//
// It protects a VM that receives many times the requests that it can serve. The HTTP
// server spends a few times as much on a refused request as reading and answering it
// requires, which would then use most of the processor. Each connection examines the heads
// of the requests that it reads, answers those that are to be refused (see qladmission)
// itself and passes the others on unchanged.
//
// Where the intake cannot find the boundaries of a request for certain, it leaves the
// request to the server: heads that have not arrived whole, bodies without a stated
// length, and pipelined requests, which were sent before the previous one was
// answered.
//
// A VM that receives more than it should handle itself also offloads requests from here to
// routers with idle processors, see qloffload. The same connection's next request may be
// served here again.
//
// # Usage
//
//	intake := qlintake.New(qlintake.Config{Customer: customerOf, Decide: decide, Refusal: refusal, IdleTimeout: timeout})
//	conn := intake.Wrap(accepted) // pass this connection to the server
package qlintake

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qladmission"
	"github.com/quetzallane/quetzallane/internal/qlbuffer"
	"github.com/quetzallane/quetzallane/internal/qlmemory"
	"github.com/quetzallane/quetzallane/internal/qlmeter"
	"github.com/quetzallane/quetzallane/internal/qloffload"
)

const (
	// _bufferSize is in bytes and large enough for a typical request of the users.
	// Only connections with data that the server has not read yet hold a buffer.
	_bufferSize = 16 << 10
	// _writeTimeout limits the time to write a refusal to a caller that does not
	// read it.
	_writeTimeout = time.Second
)

// Config configures an Intake.
type Config struct {
	// Customer returns the customer of a request, and the service of the engines which it is
	// for, or "" if it is for no engine.
	Customer func(head Head) (service, customer string)
	// Decide decides on a request of the customer. offloadable is set if the request can
	// be passed on at all.
	Decide func(service, customer string, offloadable bool) qladmission.Action
	// DecideDeclined decides on a request that no other router takes.
	DecideDeclined func(service, customer string) qladmission.Action
	// OnLeft is called when the caller of a request that was to be offloaded has left before
	// that. It may be nil.
	OnLeft func(service, customer string)
	// OnOverShare is called when the owner of the engines has refused an offloaded request
	// since its customer is above its share.
	OnOverShare func(service, customer string)
	// Refusal returns the answer to a refused request, and whether to close the connection
	// after it, which it says. closing is set if the connection is closed in any case.
	Refusal func(head Head, action qladmission.Action, closing bool) (answer []byte, closes bool)
	// IdleTimeout returns how long a connection may stay idle after a refusal.
	IdleTimeout func() time.Duration
	// Offloader passes requests on to other routers; it may be nil.
	Offloader *qloffload.Offloader
	// TimeLimit returns for how long to wait for an answer of another router; 0 for no limit.
	// It may be nil.
	TimeLimit func(head Head) time.Duration
	// MaxPendingBytes bounds the parts of other routers' answers that wait for their callers, in
	// sum; 0 for no limit.
	MaxPendingBytes int64
	// Stamp returns what other routers are told about a request.
	Stamp func() qloffload.Stamp
	// OnState is called when a connection becomes active or idle by a request of which the
	// server does not know. It may be nil if there is no Offloader.
	OnState func(conn net.Conn, state http.ConnState)
	// Meter bounds the heads of requests; it may be nil.
	Meter *qlmeter.Meter
	// ReaderTimeout is how long a caller may leave no room for the next step of its answer; 0 for no limit.
	ReaderTimeout time.Duration
	// Pause is called between the steps of reading requests, of passing answers on and of
	// closing idle connections, for tests that let other goroutines run there. It may be
	// nil.
	Pause func()
}

// pause calls the function of the same name, if any.
func (c *Config) pause() {
	if c.Pause != nil {
		c.Pause()
	}
}

// recordLeft calls OnLeft, if any.
func (c *Config) recordLeft(service, customer string) {
	if c.OnLeft != nil {
		c.OnLeft(service, customer)
	}
}

// Intake wraps accepted connections, which share its buffers.
type Intake struct {
	config  Config
	buffers *qlbuffer.Pool
	// pending is the memory of what waits for callers.
	pending *qlmemory.Account
}

// New returns an intake with the given configuration.
func New(config Config) *Intake {
	return &Intake{
		config:  config,
		buffers: qlbuffer.NewPool(_bufferSize),
		pending: qlmemory.NewAccount(config.MaxPendingBytes),
	}
}

// Wrap returns a connection that refuses requests as configured. A connection without
// access to its file descriptor is returned unchanged.
func (i *Intake) Wrap(accepted net.Conn) net.Conn {
	tcp, ok := accepted.(*net.TCPConn)
	if !ok {
		return accepted
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return accepted
	}
	conn := &Conn{
		TCPConn: tcp,
		intake:  i,
		raw:     raw,
	}
	if i.config.Meter != nil {
		conn.reading = i.config.Meter.NewReading()
	}
	conn.reads = claimingConn{
		RawConn:  raw,
		claim:    &conn.claim,
		requests: &conn.requests,
		pause:    i.config.pause,
	}
	return conn
}

// Conn is a caller's connection. Only one goroutine may read at a time, as it is with
// the HTTP server.
type Conn struct {
	*net.TCPConn
	intake *Intake
	raw    syscall.RawConn
	// reads is raw for the reader of requests.
	reads claimingConn
	claim atomic.Int32
	// buffer holds data that was read from the caller and not passed on to the
	// server yet, which is buffered. It is nil if there is none.
	buffer   *[]byte
	buffered []byte
	// remaining is the number of bytes of the current request that the server has
	// not read.
	remaining int
	// admissionChecked is set if Decide was called for the current request.
	admissionChecked bool
	// decided is what RefuseFirst has decided on the current request, or 0.
	decided qladmission.Action
	// peeked is set if the server already has the first of the buffered bytes.
	peeked   bool
	requests requestState
	// passThrough is set once the boundaries of requests are unknown. All further
	// data is then passed on unexamined.
	passThrough bool
	// reading meters what the server reads; it may be nil.
	reading *qlmeter.Reading
	// writeDeadline is the last one that was set.
	writeDeadline atomic.Pointer[time.Time]
}

// AdmissionChecked reports whether Decide was called for the request that was read
// last, so that the server need not check its admission again.
func (c *Conn) AdmissionChecked() bool {
	return c.admissionChecked
}

// RequestPending reports whether an idle connection, as the server sees it, has read a
// request that is neither refused nor seen by the server yet. On a connection that is
// not idle, it may also return true while the server handles the request. Any goroutine
// may call it.
func (c *Conn) RequestPending() bool {
	return c.requests.pending()
}

// readRequests reads data of the requests that the server is to serve.
func (c *Conn) readRequests(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	switch {
	case c.passThrough:
		if len(c.buffered) == 0 {
			c.requests.clear(_requestHere)
			if err := c.fill(); err != nil {
				return 0, err
			}
		}
		return c.pass(p)
	case c.remaining > 0:
		n, err := c.pass(p[:min(len(p), c.remaining)])
		c.remaining -= n
		return n, err
	case len(p) == 1:
		return c.peek(p)
	}
	if err := c.nextRequest(); err != nil {
		return 0, err
	}
	return c.readRequests(p)
}

// peek serves the one-byte read by which the server detects that its caller
// disconnects while it serves a request. A byte that arrives is the first one of the
// next request.
func (c *Conn) peek(p []byte) (int, error) {
	if len(c.buffered) == 0 {
		if err := c.fill(); err != nil {
			return 0, err
		}
	}
	p[0] = c.buffered[0]
	c.peeked = true
	return 1, nil
}

// pass reads the buffered data or, if there is none, from the connection.
func (c *Conn) pass(p []byte) (int, error) {
	if len(c.buffered) == 0 {
		return c.TCPConn.Read(p)
	}
	n := copy(p, c.buffered)
	c.consume(n)
	return n, nil
}

func (c *Conn) consume(n int) {
	c.buffered = c.buffered[n:]
	if len(c.buffered) == 0 && c.buffer != nil {
		c.intake.buffers.Put(c.buffer)
		c.buffer = nil
	}
}

// nextRequest waits for a request that is to be served and refuses those before it.
func (c *Conn) nextRequest() error {
	for {
		if len(c.buffered) == 0 {
			c.requests.clear(_requestHere)
			if err := c.fill(); err != nil {
				return err
			}
		}
		head, length, ok := parse(c.buffered)
		c.passThrough, c.remaining, c.admissionChecked = !ok, length, false
		if c.peeked {
			c.peeked = false
			c.consume(1)
			c.remaining = max(c.remaining-1, 0)
			return nil
		}
		if !ok {
			return nil
		}
		if handle, err := c.admit(head); err != nil || handle {
			return err
		}
	}
}

// admit decides on the current request. It reports true if the server is to handle it;
// otherwise it was refused or offloaded.
func (c *Conn) admit(head Head) (handle bool, err error) {
	service, customer := c.intake.config.Customer(head)
	action := c.decided
	if c.decided = 0; action == 0 {
		action = c.intake.config.Decide(service, customer, c.canOffload(head, c.remaining))
	}
	if action == qladmission.Offload {
		if served, err := c.offload(head, service, customer); err != nil || served {
			return false, err
		}
		// Waiting for the rest of the request may have moved it.
		head, _, _ = parse(c.buffered)
		action = c.intake.config.DecideDeclined(service, customer)
	}
	c.admissionChecked = true
	if action == qladmission.Handle {
		return true, nil
	}
	return false, c.refuse(c.intake.config.Refusal(head, action, false))
}

// refuse answers the current request with a refusal.
func (c *Conn) refuse(answer []byte, closes bool) error {
	if err := c.drain(); err != nil {
		return err
	}
	if err := c.writeRefusal(answer, closes); err != nil {
		return err
	}
	if c.intake.config.OnState != nil && len(c.buffered) == 0 {
		c.requests.clear(_requestHere)
		c.intake.config.OnState(c, http.StateIdle)
	}
	return nil
}

// drain reads the rest of a refused request. If the connection were closed before
// that, the caller might not see the answer.
func (c *Conn) drain() error {
	if err := c.SetReadDeadline(time.Now().Add(c.intake.config.IdleTimeout())); err != nil {
		return errors.Trace(err)
	}
	return c.readRest()
}

// readRest reads the rest of the current request and discards it.
func (c *Conn) readRest() error {
	for {
		n := min(c.remaining, len(c.buffered))
		c.consume(n)
		if c.remaining -= n; c.remaining == 0 {
			return nil
		}
		if err := c.fill(); err != nil {
			return err
		}
	}
}

// fill reads the data that has arrived into a buffer. While it waits for data, it
// holds no buffer, so that idle connections need none.
func (c *Conn) fill() error {
	buffer, n, err := c.intake.buffers.Read(&c.reads)
	if err != nil {
		return err
	}
	c.buffer, c.buffered = buffer, (*buffer)[:n]
	return nil
}

func (c *Conn) writeRefusal(answer []byte, closes bool) error {
	if err := c.SetWriteDeadline(time.Now().Add(_writeTimeout)); err != nil {
		return errors.Trace(err)
	}
	if _, err := c.Write(answer); err != nil {
		return errors.Trace(err)
	}
	if closes {
		return io.EOF
	}
	if err := c.SetWriteDeadline(time.Time{}); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(c.SetReadDeadline(time.Now().Add(c.intake.config.IdleTimeout())))
}

// Head is the head of a request as received: the request line and the header fields.
type Head []byte

// Get returns the value of the first header field of that name, or an empty string.
func (h Head) Get(name string) string {
	rest := []byte(h)
	for len(rest) > 0 {
		var line []byte
		line, rest, _ = bytes.Cut(rest, _lineEnd)
		if value, ok := fieldValue(line, name); ok {
			return string(value)
		}
	}
	return ""
}

// Target returns the target of the request line, or an empty string.
func (h Head) Target() string {
	line, _, _ := bytes.Cut(h, _lineEnd)
	_, rest, _ := bytes.Cut(line, []byte(" "))
	target, _, ok := bytes.Cut(rest, []byte(" "))
	if !ok {
		return ""
	}
	return string(target)
}

func fieldValue(line []byte, name string) (value []byte, ok bool) {
	if len(line) <= len(name) || line[len(name)] != ':' || !bytes.EqualFold(line[:len(name)], []byte(name)) {
		return nil, false
	}
	return bytes.TrimSpace(line[len(name)+1:]), true
}

var (
	_lineEnd = []byte("\r\n")
	_headEnd = []byte("\r\n\r\n")
	_version = []byte(" HTTP/1.1")
	_colon   = []byte(":")

	_namePunctuation = []byte("!#$%&'*+-.^_`|~")
)

// _unsupportedFields are header fields that change how the end of a request is
// found, or that require more of the server than an answer.
var _unsupportedFields = []string{"Transfer-Encoding", "Expect", "Upgrade"}

// parse returns the head of the request at the start of the data, and the length of
// the whole request in bytes. ok is false if the server might interpret the request
// differently: intake and server must never disagree on where a request ends.
func parse(data []byte) (head Head, length int, ok bool) {
	end := bytes.Index(data, _headEnd)
	if end < 0 {
		return nil, 0, false
	}
	head = Head(data[:end])
	line, rest, _ := bytes.Cut(head, _lineEnd)
	if !bytes.HasSuffix(line, _version) || !isPlainLine(line) {
		return nil, 0, false
	}
	bodyLength, stated, hosts := 0, false, 0
	for len(rest) > 0 {
		line, rest, _ = bytes.Cut(rest, _lineEnd)
		if !isPlainLine(line) || !isField(line) {
			return nil, 0, false
		}
		if _, found := fieldValue(line, "Host"); found {
			hosts++
		}
		for _, name := range _unsupportedFields {
			if _, found := fieldValue(line, name); found {
				return nil, 0, false
			}
		}
		value, found := fieldValue(line, "Content-Length")
		if !found {
			continue
		}
		number, err := strconv.ParseUint(string(value), 10, 31)
		if stated || err != nil {
			return nil, 0, false
		}
		bodyLength, stated = int(number), true
	}
	if hosts != 1 {
		return nil, 0, false
	}
	return head, end + len(_headEnd) + bodyLength, true
}

// isField reports whether a line is a header field that each parser reads alike: a name of
// characters that names may have, a colon right after it, and a value without control characters.
// A field with a space before the colon, for example, is refused by the server, and ignored by
// others.
func isField(line []byte) bool {
	name, value, ok := bytes.Cut(line, _colon)
	if !ok || len(name) == 0 {
		return false
	}
	for _, c := range name {
		if !isNameByte(c) {
			return false
		}
	}
	for _, c := range value {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// isNameByte reports whether the name of a field may contain the byte.
func isNameByte(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || bytes.IndexByte(_namePunctuation, c) >= 0
}

// isPlainLine reports whether a line is not empty and contains no single CR or LF,
// which a server might take for a line end.
func isPlainLine(line []byte) bool {
	return len(line) > 0 && !bytes.ContainsAny(line, "\r\n")
}
