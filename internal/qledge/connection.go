package qledge

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlconn"
	"github.com/quetzallane/quetzallane/internal/qlforward"
	"github.com/quetzallane/quetzallane/internal/qlintake"
	"go.uber.org/zap"
)

const (
	// _crowdedPart is the part of the descriptors from which on callers are
	// asked to close their connections after an answer.
	_crowdedPart = 0.35
	// _fullPart is the part from which on idle connections are closed, those
	// that were idle for longest first.
	_fullPart = 0.6
	// _mostPart is the part from which on new connections are rejected:
	// their callers come to another router.
	_mostPart = 0.85
	// _connectionPart is the part of the memory that callers' connections may
	// take; each takes _connectionBytes, an estimate: half for buffers and
	// stacks here, half for a prompt of the users' sheets in the kernel.
	_connectionPart  = 0.5
	_connectionBytes = 32 << 10
)

// callerConnections keeps callers' connections within the process's
// descriptors and memory. It answers storms of repeats, each of which comes on a
// connection of its own and leaves it idle.
type callerConnections struct {
	crowded int
	full    int
	most    int

	mu   sync.Mutex
	open int
	idle *list.List
	// places holds each idle connection's place in the list.
	places   map[net.Conn]*list.Element
	closed   uint64
	rejected uint64
}

func newCallerConnections(descriptors, megabytes int) *callerConnections {
	most := min(float64(descriptors), _connectionPart*float64(megabytes)*_megabyte/_connectionBytes)
	return &callerConnections{
		crowded: int(_crowdedPart * float64(descriptors)),
		full:    int(_fullPart * most),
		most:    int(_mostPart * most),
		idle:    list.New(),
		places:  make(map[net.Conn]*list.Element),
	}
}

// isCrowded reports whether callers should close their connections.
func (c *callerConnections) isCrowded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open > c.crowded
}

// counts returns the open connections, how many idle ones were closed and how
// many new ones rejected.
func (c *callerConnections) counts() (open int, closed, rejected uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open, c.closed, c.rejected
}

// takes reports whether to keep a new connection.
func (c *callerConnections) takes() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open < c.most {
		return true
	}
	c.rejected++
	return false
}

// anyUnread reports whether an idle connection holds a request that was not
// read yet.
func (c *callerConnections) anyUnread() bool {
	c.mu.Lock()
	idle := make([]net.Conn, 0, len(c.places))
	for conn := range c.places {
		idle = append(idle, conn)
	}
	c.mu.Unlock()
	for _, conn := range idle {
		if holdsRequest(conn) {
			return true
		}
	}
	return false
}

// holdsRequest reports whether a connection that looks idle has a request that
// its server has not seen yet.
func holdsRequest(conn net.Conn) bool {
	taken, ok := conn.(*qlintake.Conn)
	return ok && taken.RequestPending() || qlconn.HasUnreadBytes(conn)
}

// changed follows the states of the server's connections.
func (c *callerConnections) changed(conn net.Conn, state http.ConnState) {
	// One that holds a request is not idle: the server is late to read it.
	if victim := c.follow(conn, state); victim != nil && !holdsRequest(victim) {
		// The server notices and reports the connection closed.
		_ = victim.Close()
	}
}

func (c *callerConnections) follow(conn net.Conn, state http.ConnState) (victim net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if place := c.places[conn]; place != nil {
		c.idle.Remove(place)
		delete(c.places, conn)
	}
	switch state {
	case http.StateNew:
		c.open++
	case http.StateIdle:
		c.places[conn] = c.idle.PushBack(conn)
	case http.StateClosed, http.StateHijacked:
		c.open--
	case http.StateActive:
	}
	if c.open <= c.full || c.idle.Len() == 0 {
		return nil
	}
	victim, _ = c.idle.Remove(c.idle.Front()).(net.Conn)
	delete(c.places, victim)
	c.closed++
	return victim
}

const (
	// _rejectWait is how long a request is waited for on a connection for which
	// there is no room, and _rejectRead how much of it is read.
	_rejectWait = time.Millisecond
	_rejectRead = 64 << 10
)

// limitListener is a listener that rejects connections for which there is no
// room.
type limitListener struct {
	net.Listener
	takes  func() bool
	intake *qlintake.Intake
	log    *zap.Logger
	// buffer is used by Accept alone.
	buffer [_rejectRead]byte
}

// Accept returns the next connection that is kept.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.takes() {
			return l.intake.Wrap(conn), nil
		}
		l.reject(conn)
	}
}

// reject refuses a request that has come, so that its caller need not guess; a
// caller that sent nothing yet finds the connection closed and unused.
func (l *limitListener) reject(conn net.Conn) {
	err := conn.SetDeadline(time.Now().Add(_rejectWait))
	n := 0
	if err == nil {
		n, err = conn.Read(l.buffer[:])
	}
	if n > 0 {
		_, err = conn.Write(qlforward.RawRefusal())
	}
	if closeErr := conn.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		// Most often nothing came in time; counts tells how many there were.
		l.log.Debug("connection-rejected", zap.Stringer("caller", conn.RemoteAddr()), zap.Error(err))
	}
}
