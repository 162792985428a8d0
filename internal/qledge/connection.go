package qledge

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"syscall"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qlconn"
	"github.com/quetzallane/quetzallane/internal/qlintake"
	"github.com/quetzallane/quetzallane/internal/qloutcome"
	"github.com/quetzallane/quetzallane/internal/qlshed"
)

const (
	// _crowdedFraction is the fraction of the file descriptors above which
	// callers are asked to close their connections after an answer.
	_crowdedFraction = 0.35
	// _evictFraction is the fraction of the connection limit above which idle
	// connections are closed, those idle for longest first.
	_evictFraction = 0.6
	// _fullFraction is the fraction of that number of connections from which on a router
	// that has left the balancer's rotation for its connections does not return.
	_fullFraction = 0.7
	// _rejectFraction is the fraction of the connection limit from which on new
	// connections are rejected, so that their callers try another router.
	_rejectFraction = 0.85
	// _evictPart, _rejectPart and _rejectLightPart are the parts of the usable descriptors that
	// bound these connections, too. The rest is for connections to upstreams.
	_evictPart       = 0.7
	_rejectPart      = 0.75
	_rejectLightPart = 0.8
	// _connectionMemoryFraction is the fraction of the memory that callers'
	// connections may use. Each is estimated to use _connectionBytes: half for
	// buffers and stacks in this process, half for a prompt of the size in the
	// users' requirements, held in the kernel.
	_connectionMemoryFraction = 0.5
	_connectionBytes          = 32 << 10
	// _acceptQueuePerCore is how many connections may wait to be accepted, per core. Their
	// unread requests count as the process's memory, and their callers wait.
	_acceptQueuePerCore = 1000
	_minAcceptQueue     = 100
)

// limitAcceptQueue bounds the connections that wait to be accepted by a VM with so many
// cores.
func limitAcceptQueue(listener net.Listener, cores float64) error {
	limited, ok := listener.(syscall.Conn)
	if !ok {
		return errors.NotSupportedf("listener of type %T", listener)
	}
	raw, err := limited.SyscallConn()
	if err != nil {
		return errors.Trace(err)
	}
	length := max(int(_acceptQueuePerCore*cores), _minAcceptQueue)
	var listenErr error
	if err := raw.Control(func(descriptor uintptr) { listenErr = syscall.Listen(int(descriptor), length) }); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(listenErr)
}

const (
	// _fileDescriptors are those that the platform keeps for files.
	_fileDescriptors = 200
	// _ownDescriptorFraction is the fraction of the descriptors for links and fetches between
	// routers, the store, status checks and operators.
	_ownDescriptorFraction = 1.0 / 16
	// _waitingFraction is the fraction for connections above the limit that wait for their
	// request, and _maxWaiting bounds their number.
	_waitingFraction = 1.0 / 8
	_maxWaiting      = 128
	// _maxReservedFraction bounds all of these on a VM with few descriptors.
	_maxReservedFraction = 0.4
)

// usableDescriptors returns how many of a process's file descriptors its connections to callers and
// to upstreams may use together. An active request needs one of each.
func usableDescriptors(descriptors int) int {
	total := float64(descriptors)
	reserved := _fileDescriptors + _ownDescriptorFraction*total + float64(maxWaitingConnections(descriptors))
	return int(total - min(reserved, _maxReservedFraction*total))
}

// maxWaitingConnections returns how many connections above the limit may wait for their request.
// Further ones are rejected at once.
func maxWaitingConnections(descriptors int) int {
	return max(min(int(_waitingFraction*float64(descriptors)), _maxWaiting), 1)
}

// callerConnections keeps callers' connections within the process's file
// descriptors and memory. Without it, a retry storm would exhaust them: each
// retry comes on a connection of its own and leaves it idle.
type callerConnections struct {
	crowdedThreshold int
	evictThreshold   int
	maxOpen          int
	// maxOpenLight is the maximum for customers that send no more than an even share.
	maxOpenLight int
	// usable is how many descriptors callers and upstreams may use together, and upstreams
	// returns how many upstreams use.
	usable    int
	upstreams func() int

	// outcomes counts what becomes of connections; it may be nil.
	outcomes *qloutcome.Counter

	mu   sync.Mutex
	open int
	idle *list.List
	// idleElements holds each idle connection's element of the list.
	idleElements map[net.Conn]*list.Element
	// closing are the idle connections that were closed and are still counted as open: the
	// server of a lagging router reports their end late.
	closing    map[net.Conn]struct{}
	idleClosed uint64
	accepted   uint64
	rejected   uint64
	// rejectedByCustomer counts the rejected connections since the last call of
	// takeRejections; the customer is "" if no request with a key had arrived.
	rejectedByCustomer map[string]int
}

// _maxCountedCustomers bounds the customers whose rejected connections are counted.
const _maxCountedCustomers = 1000

// newCallerConnections returns the limits for a process with the given number
// of file descriptors and megabytes of memory.
func newCallerConnections(descriptors, megabytes int) *callerConnections {
	usable := usableDescriptors(descriptors)
	limit := min(float64(descriptors), _connectionMemoryFraction*float64(megabytes)*_megabyte/_connectionBytes)
	return &callerConnections{
		crowdedThreshold: int(_crowdedFraction * float64(descriptors)),
		evictThreshold:   int(min(_evictFraction*limit, _evictPart*float64(usable))),
		maxOpen:          int(min(_rejectFraction*limit, _rejectPart*float64(usable))),
		usable:           usable,
		upstreams:        func() int { return 0 },
		maxOpenLight:     int(min(limit, _rejectLightPart*float64(usable))),
		idle:             list.New(),
		idleElements:     make(map[net.Conn]*list.Element),
		closing:          make(map[net.Conn]struct{}),

		rejectedByCustomer: make(map[string]int),
	}
}

// isCrowded reports whether callers should be asked to close their connections.
func (c *callerConnections) isCrowded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open > c.crowdedThreshold
}

// crowding returns how far the open connections exceed what they may use.
func (c *callerConnections) crowding() qlshed.Crowding {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.open >= c.evictThreshold:
		return qlshed.Crowded
	case float64(c.open) >= _fullFraction*float64(c.evictThreshold):
		return qlshed.Full
	}
	return qlshed.Roomy
}

// counts returns the number of open connections, of idle ones that were closed
// and of new ones that were rejected.
func (c *callerConnections) counts() (open int, closed, rejected uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open, c.idleClosed, c.rejected
}

// admit reports whether to keep a new connection of any customer.
func (c *callerConnections) admit() bool {
	upstreams := c.upstreams()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open < c.maxOpen && c.open+upstreams < int(_rejectFraction*float64(c.usable))
}

// admitLight reports whether to keep a new connection of a customer that sends no more than
// an even share. One customer's many connections must not keep it out.
func (c *callerConnections) admitLight() bool {
	upstreams := c.upstreams()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open < c.maxOpenLight && c.open+upstreams < c.usable
}

// forUpstreams returns how many connections to upstreams may be open at present.
func (c *callerConnections) forUpstreams() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.usable - c.open
}

// acceptedCount returns how many connections were accepted and kept since the start.
func (c *callerConnections) acceptedCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.accepted
}

// countRejection counts a rejected connection of the customer.
func (c *callerConnections) countRejection(customer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rejected++
	if _, counted := c.rejectedByCustomer[customer]; counted || len(c.rejectedByCustomer) < _maxCountedCustomers {
		c.rejectedByCustomer[customer]++
	}
}

// takeRejections returns how many connections of each customer were rejected since its
// last call.
func (c *callerConnections) takeRejections() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	rejections := c.rejectedByCustomer
	c.rejectedByCustomer = make(map[string]int)
	return rejections
}

// anyPendingRequest reports whether an idle connection holds a request that has
// not been read yet.
func (c *callerConnections) anyPendingRequest() bool {
	c.mu.Lock()
	idle := make([]net.Conn, 0, len(c.idleElements))
	for conn := range c.idleElements {
		idle = append(idle, conn)
	}
	c.mu.Unlock()
	for _, conn := range idle {
		if hasPendingRequest(conn) {
			return true
		}
	}
	return false
}

// hasPendingRequest reports whether a connection that looks idle holds a
// request that its server has not seen yet: one that the intake has read, or
// bytes that were not read from the kernel.
func hasPendingRequest(conn net.Conn) bool {
	wrapped, ok := conn.(*qlintake.Conn)
	return ok && wrapped.RequestPending() || qlconn.HasUnreadBytes(conn)
}

// onStateChange records a new state of one of the server's connections, and
// closes an idle connection if there are too many.
func (c *callerConnections) onStateChange(conn net.Conn, state http.ConnState) {
	victim := c.recordState(conn, state)
	switch {
	case victim == nil:
	case closeIdle(victim):
		c.outcomes.Add("", qloutcome.IdleClosed)
	default:
		// A connection that holds a request is not idle: the server has not read it yet.
		c.keep(victim)
	}
}

// closeIdle closes a connection that looks idle unless it holds a request, and reports
// whether it did. The server notices this and reports the connection as closed.
func closeIdle(conn net.Conn) bool {
	if wrapped, ok := conn.(*qlintake.Conn); ok {
		return wrapped.CloseIdle()
	}
	if qlconn.HasUnreadBytes(conn) {
		return false
	}
	_ = conn.Close()
	return true
}

// keep takes back that a connection was closed.
func (c *callerConnections) keep(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.closing, conn)
	c.idleClosed--
}

// recordState updates the counts and the list of idle connections. If there are
// too many connections it returns the one that was idle for longest, removed
// from the list; otherwise nil.
func (c *callerConnections) recordState(conn net.Conn, state http.ConnState) (victim net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if element := c.idleElements[conn]; element != nil {
		c.idle.Remove(element)
		delete(c.idleElements, conn)
	}
	switch state {
	case http.StateNew:
		c.open++
		c.accepted++
		c.outcomes.Add("", qloutcome.Accepted)
	case http.StateIdle:
		if _, closing := c.closing[conn]; !closing {
			c.idleElements[conn] = c.idle.PushBack(conn)
		}
	case http.StateClosed, http.StateHijacked:
		c.open--
		delete(c.closing, conn)
	case http.StateActive:
	}
	if c.open-len(c.closing) <= c.evictThreshold || c.idle.Len() == 0 {
		return nil
	}
	victim, _ = c.idle.Remove(c.idle.Front()).(net.Conn)
	delete(c.idleElements, victim)
	c.closing[victim] = struct{}{}
	c.idleClosed++
	return victim
}
