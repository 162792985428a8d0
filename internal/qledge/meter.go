package qledge

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlintake"
	"github.com/quetzallane/quetzallane/internal/qlmeter"
	"github.com/quetzallane/quetzallane/internal/qlsetting"
	"go.uber.org/zap"
)

const (
	// _operationsHeaderBytes bounds the heads of readiness checks and operators' requests.
	_operationsHeaderBytes = 16 << 10
	// _operationsTimeout limits the time to read a request and to write its answer there.
	_operationsTimeout = 10 * time.Second
	// _operationsPart, _minOperations and _maxOperations bound the connections of each of these
	// servers, as a part of the descriptors.
	_operationsPart = 1.0 / 32
	_minOperations  = 16
	_maxOperations  = 128
	// _operationsInterval is the least mean time between connections that each of these servers
	// accepts, for a tenth of a small VM's core at most, and _operationsBurst for how long of that
	// they may come at once. A balancer and operators open a few a second.
	_operationsInterval = 2 * time.Millisecond
	_operationsBurst    = 100 * time.Millisecond
)

// newMeter returns the meter of callers' connections.
func newMeter(settings *qlsetting.Edge, clock func() time.Duration) *qlmeter.Meter {
	cores := settings.ProcessorFraction * float64(settings.Processors)
	return qlmeter.New(qlmeter.Config{
		MaxHeadBytes:  int64(settings.HeadMemoryPart() * float64(settings.MemoryMB) * _megabyte),
		ShortLineRate: settings.ShortLineBytes() * cores,
		Clock:         clock,
		Sleep:         time.Sleep,
	})
}

// meteredHandler returns the forwarder, which is called once a head has been read.
func (e *Edge) meteredHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if conn, ok := request.Context().Value(connectionKey{}).(*qlintake.Conn); ok {
			conn.EndHead(request.ContentLength < 0)
		}
		if request.ContentLength != 0 {
			// The server reads the rest of a refused request's body, which may never come.
			err := http.NewResponseController(w).SetReadDeadline(time.Now().Add(e.settings.BodyIdleTimeout()))
			if err != nil {
				e.log.Debug("body-timeout-not-set", zap.Error(err))
			}
		}
		e.forwarder.ServeHTTP(w, request)
	})
}

// recordHeads tells a connection that its server awaits the next head, or has closed it.
func recordHeads(accepted net.Conn, state http.ConnState) {
	conn, ok := accepted.(*qlintake.Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		conn.BeginHead()
	case http.StateClosed, http.StateHijacked:
		conn.Release()
	case http.StateNew, http.StateActive:
	}
}

// newOperationsServer returns a server with few connections. A further one replaces the one that
// was answered the longest ago: the balancer is served whoever holds the others.
func newOperationsServer(handler http.Handler, descriptors int) *http.Server {
	connections := &fewConnections{
		limit:    min(max(int(_operationsPart*float64(descriptors)), _minOperations), _maxOperations),
		order:    list.New(),
		elements: make(map[net.Conn]*list.Element),
	}
	return &http.Server{
		Handler:           withoutBodies(handler),
		ReadHeaderTimeout: _defaultHeaderTimeout,
		ReadTimeout:       _operationsTimeout,
		WriteTimeout:      _operationsTimeout,
		IdleTimeout:       _defaultIdleTimeout,
		MaxHeaderBytes:    _operationsHeaderBytes,
		ConnState:         connections.onStateChange,
	}
}

// withoutBodies returns a handler that reads no bodies: it closes the connection after its answer
// to a request with one. Without the deadline, the server would read up to 256 KiB of it first,
// which takes all processor time if that comes in chunks of one byte.
func withoutBodies(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if request.ContentLength != 0 {
			w.Header().Set("Connection", "close")
			if err := http.NewResponseController(w).SetReadDeadline(time.Now()); err != nil {
				http.Error(w, err.Error(), http.StatusInternalServerError)
				return
			}
		}
		handler.ServeHTTP(w, request)
	})
}

// pacedListener limits the rate of accepted connections.
type pacedListener struct {
	net.Listener
	// free is when the connections that were accepted so far are worth their time.
	free time.Time
}

// Accept returns the next connection.
func (l *pacedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	now := time.Now()
	if earliest := now.Add(-_operationsBurst); l.free.Before(earliest) {
		l.free = earliest
	}
	l.free = l.free.Add(_operationsInterval)
	time.Sleep(l.free.Sub(now))
	return conn, nil
}

// fewConnections bounds the connections of a server.
type fewConnections struct {
	limit int

	mu       sync.Mutex
	order    *list.List
	elements map[net.Conn]*list.Element
}

// onStateChange records a new state of a connection, and closes another if there are too many.
func (c *fewConnections) onStateChange(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.elements[conn] = c.order.PushBack(conn)
	case http.StateIdle:
		if element := c.elements[conn]; element != nil {
			c.order.MoveToBack(element)
		}
	case http.StateClosed, http.StateHijacked:
		c.remove(conn)
	case http.StateActive:
	}
	if c.order.Len() <= c.limit {
		return
	}
	if oldest, ok := c.order.Front().Value.(net.Conn); ok {
		c.remove(oldest)
		_ = oldest.Close()
	}
}

func (c *fewConnections) remove(conn net.Conn) {
	if element := c.elements[conn]; element != nil {
		c.order.Remove(element)
		delete(c.elements, conn)
	}
}
