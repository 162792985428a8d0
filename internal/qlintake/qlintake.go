// Package qlintake refuses callers' requests before the HTTP server handles
// them.
//
// It answers a VM that gets many times the requests that it can serve: what
// the server spends on a request that is refused, a few times what reading and
// answering it takes, is then most of the processor. While the VM is
// overloaded, a connection looks at each request's head as it comes, answers
// those that are refused by itself and passes the others on unchanged.
//
// What it cannot tell apart for certain it leaves to the server: heads that
// have not come whole, bodies without a stated length, and requests that were
// sent before the one in front was answered.
//
// # Usage
//
//	intake := qlintake.New(qlintake.Config{Overloaded: overloaded, Refuse: refuse, IdleTimeout: timeout})
//	conn := intake.Wrap(accepted) // to be handed to the server
package qlintake

import (
	"bytes"
	"io"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
)

const (
	// _bufferSize holds a usual request of the users' sheets, in bytes. Only
	// connections of which a request is under way hold a buffer.
	_bufferSize = 16 << 10
	// _writeTimeout bounds the writing of a refusal to a caller that does not
	// read.
	_writeTimeout = time.Second
)

// Config configures an Intake.
type Config struct {
	// Overloaded reports whether Refuse is to be asked.
	Overloaded func() bool
	// Refuse returns the answer to a request that is refused, and whether the
	// connection is to be closed after it; nil when the request is served.
	Refuse func(head Head) (answer []byte, closes bool)
	// IdleTimeout is how long a connection may rest after a refusal.
	IdleTimeout func() time.Duration
}

// Intake wraps accepted connections.
type Intake struct {
	config  Config
	buffers sync.Pool
}

// New returns an intake.
func New(config Config) *Intake {
	return &Intake{
		config: config,
		buffers: sync.Pool{
			New: func() any {
				buffer := make([]byte, _bufferSize)
				return &buffer
			},
		},
	}
}

// Wrap returns the connection with the intake in front of it; one that gives
// no access to its descriptor is returned as it is.
func (i *Intake) Wrap(accepted net.Conn) net.Conn {
	tcp, ok := accepted.(*net.TCPConn)
	if !ok {
		return accepted
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return accepted
	}
	return &Conn{
		TCPConn: tcp,
		intake:  i,
		raw:     raw,
	}
}

// Conn is a caller's connection. As the server does, only one goroutine may
// read at a time.
type Conn struct {
	*net.TCPConn
	intake *Intake
	raw    syscall.RawConn
	// buffer holds what was read and not passed on; nil when nothing is.
	buffer *[]byte
	unread []byte
	// left is how much of the request under way the server has not read.
	left int
	// asked is set when Refuse let the request under way pass.
	asked bool
	// begun is set when the server has the first of the unread bytes.
	begun bool
	// busy is set while a request that was read is being refused or passed on.
	busy atomic.Bool
	// blind is set once requests cannot be told apart.
	blind bool
}

// AdmissionChecked reports whether Refuse was asked about the request that was read last.
func (c *Conn) AdmissionChecked() bool {
	return c.asked
}

// RequestPending reports whether a request was read that is neither refused nor seen by
// the server yet, for which the connection still looks idle. It may be asked by
// any goroutine.
func (c *Conn) RequestPending() bool {
	return c.busy.Load()
}

// Read passes on what the server is to serve.
func (c *Conn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	switch {
	case c.blind:
		c.busy.Store(false)
		return c.pass(p)
	case c.left > 0:
		n, err := c.pass(p[:min(len(p), c.left)])
		c.left -= n
		return n, err
	case len(p) == 1:
		return c.peek(p)
	}
	if err := c.next(); err != nil {
		return 0, err
	}
	return c.Read(p)
}

// peek answers the server's look for its caller's leaving while it serves a
// request: a byte that comes begins the next one.
func (c *Conn) peek(p []byte) (int, error) {
	if len(c.unread) == 0 {
		if err := c.fill(); err != nil {
			return 0, err
		}
	}
	p[0] = c.unread[0]
	c.begun = true
	return 1, nil
}

// pass hands on what is buffered, or else what comes.
func (c *Conn) pass(p []byte) (int, error) {
	if len(c.unread) == 0 {
		return c.TCPConn.Read(p)
	}
	n := copy(p, c.unread)
	c.consume(n)
	return n, nil
}

func (c *Conn) consume(n int) {
	c.unread = c.unread[n:]
	if len(c.unread) == 0 && c.buffer != nil {
		c.intake.buffers.Put(c.buffer)
		c.buffer = nil
	}
}

// next waits for a request that is to be served and refuses those before it.
func (c *Conn) next() error {
	for {
		c.busy.Store(len(c.unread) > 0)
		if len(c.unread) == 0 {
			if err := c.fill(); err != nil {
				return err
			}
		}
		head, length, ok := parse(c.unread)
		c.blind, c.left, c.asked = !ok, length, false
		if c.begun {
			c.begun = false
			c.consume(1)
			c.left = max(c.left-1, 0)
			return nil
		}
		if !ok || !c.intake.config.Overloaded() {
			return nil
		}
		c.asked = true
		answer, closes := c.intake.config.Refuse(head)
		if answer == nil {
			return nil
		}
		if err := c.drain(); err != nil {
			return err
		}
		if err := c.answer(answer, closes); err != nil {
			return err
		}
	}
}

// drain reads what is left of a request that is refused: were the connection
// closed before that, its caller might not see the answer.
func (c *Conn) drain() error {
	if err := c.SetReadDeadline(time.Now().Add(c.intake.config.IdleTimeout())); err != nil {
		return errors.Trace(err)
	}
	for {
		n := min(c.left, len(c.unread))
		c.consume(n)
		if c.left -= n; c.left == 0 {
			return nil
		}
		if err := c.fill(); err != nil {
			return err
		}
	}
}

// fill reads what has come, waiting for it without a buffer.
func (c *Conn) fill() error {
	n, readErr := 0, error(nil)
	err := c.raw.Read(func(descriptor uintptr) bool {
		buffer, _ := c.intake.buffers.Get().(*[]byte)
		for {
			n, readErr = syscall.Read(int(descriptor), *buffer)
			if readErr != syscall.EINTR {
				break
			}
		}
		if readErr == nil && n > 0 {
			c.busy.Store(true)
			c.buffer, c.unread = buffer, (*buffer)[:n]
			return true
		}
		c.intake.buffers.Put(buffer)
		return readErr != syscall.EAGAIN
	})
	switch {
	case err != nil:
		return err
	case readErr != nil:
		return errors.Trace(readErr)
	case n <= 0:
		return io.EOF
	}
	return nil
}

func (c *Conn) answer(answer []byte, closes bool) error {
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

// Head is the head of a request as it came.
type Head []byte

// Get returns the value of the first field of that name, or nothing.
func (h Head) Get(name string) string {
	rest := []byte(h)
	for len(rest) > 0 {
		var line []byte
		line, rest, _ = bytes.Cut(rest, _lineEnd)
		if value, ok := field(line, name); ok {
			return string(value)
		}
	}
	return ""
}

func field(line []byte, name string) (value []byte, ok bool) {
	if len(line) <= len(name) || line[len(name)] != ':' || !bytes.EqualFold(line[:len(name)], []byte(name)) {
		return nil, false
	}
	return bytes.TrimSpace(line[len(name)+1:]), true
}

var (
	_lineEnd = []byte("\r\n")
	_headEnd = []byte("\r\n\r\n")
	_version = []byte(" HTTP/1.1")
)

// _special are fields that change how a request's end is found, or that ask
// the server for more than an answer.
var _special = []string{"Transfer-Encoding", "Expect", "Upgrade"}

// parse returns the head of the request that the bytes begin with, and the
// length of the whole request. ok is false where a server might read it
// otherwise: the two must never differ on where a request ends.
func parse(data []byte) (head Head, length int, ok bool) {
	end := bytes.Index(data, _headEnd)
	if end < 0 {
		return nil, 0, false
	}
	head = Head(data[:end])
	line, rest, _ := bytes.Cut(head, _lineEnd)
	if !bytes.HasSuffix(line, _version) || !plain(line) {
		return nil, 0, false
	}
	body, stated := 0, false
	for len(rest) > 0 {
		line, rest, _ = bytes.Cut(rest, _lineEnd)
		if !plain(line) || line[0] == ' ' || line[0] == '\t' {
			return nil, 0, false
		}
		for _, name := range _special {
			if _, is := field(line, name); is {
				return nil, 0, false
			}
		}
		value, is := field(line, "Content-Length")
		if !is {
			continue
		}
		number, err := strconv.ParseUint(string(value), 10, 31)
		if stated || err != nil {
			return nil, 0, false
		}
		body, stated = int(number), true
	}
	return head, end + len(_headEnd) + body, true
}

// plain reports whether a line has no line end of another kind inside it.
func plain(line []byte) bool {
	return len(line) > 0 && !bytes.ContainsAny(line, "\r\n")
}
