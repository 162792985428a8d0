package qledge

import (
	"container/list"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlconn"
)

const (
	// _crowdedPart is the part of the descriptors from which on callers are
	// asked to close their connections after an answer.
	_crowdedPart = 0.35
	// _fullPart is the part from which on idle connections are closed, those
	// that were idle for longest first.
	_fullPart = 0.6
	// _mostPart is the part from which on new connections are turned away:
	// their callers come to another router.
	_mostPart = 0.85
	// _connectionPart is the part of the memory that callers' connections may
	// take; each takes _connectionBytes, of which half are buffers and stacks
	// here and half what the kernel holds of a prompt that was not read yet.
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
	places map[net.Conn]*list.Element
	closed uint64
	turned uint64
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
// many new ones turned away.
func (c *callerConnections) counts() (open int, closed, turned uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open, c.closed, c.turned
}

// takes reports whether to keep a new connection.
func (c *callerConnections) takes() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open < c.most {
		return true
	}
	c.turned++
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
		if qlconn.Unread(conn) {
			return true
		}
	}
	return false
}

// changed follows the states of the server's connections.
func (c *callerConnections) changed(conn net.Conn, state http.ConnState) {
	// One that holds a request is not idle: the server is late to read it.
	if victim := c.follow(conn, state); victim != nil && !qlconn.Unread(victim) {
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
	// _turnWait is how long a request is waited for on a connection for which
	// there is no room, and _turnRead how much of it is read.
	_turnWait = time.Millisecond
	_turnRead = 64 << 10
	// _turnAnswer refuses whatever was sent: nothing of it has run.
	_turnAnswer = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.04\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// gate is a listener that turns away connections for which there is no room.
type gate struct {
	net.Listener
	takes func() bool
	// buffer is used by Accept alone.
	buffer [_turnRead]byte
}

// Accept returns the next connection that is kept.
func (g *gate) Accept() (net.Conn, error) {
	for {
		conn, err := g.Listener.Accept()
		if err != nil || g.takes() {
			return conn, err
		}
		g.turnAway(conn)
	}
}

// turnAway refuses a request that has come, so that its caller need not guess;
// a caller that sent nothing yet turns elsewhere by itself. Errors mean that it
// is gone.
func (g *gate) turnAway(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(_turnWait)); err != nil {
		return
	}
	if n, _ := conn.Read(g.buffer[:]); n > 0 {
		_, _ = io.WriteString(conn, _turnAnswer)
	}
}
