package qledge

import (
	"net"
	"net/http"
	"runtime"
	"sync"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlintake"
	"go.uber.org/zap"
)

const (
	// _firstRequestWait is how long to wait for the request on a connection above the
	// limit: some round trips to a caller.
	_firstRequestWait = 20 * time.Millisecond
	// _maxWaitingConnections bounds the connections above the limit that wait for their
	// request. Further ones are rejected at once.
	_maxWaitingConnections = 128
)

// listenerConfig configures a limitListener.
type listenerConfig struct {
	Listener net.Listener
	Intake   *qlintake.Intake
	// Delay returns how long to wait before the next connection is accepted, 0 to accept
	// it.
	Delay func() time.Duration
	// Paced reports whether connections are paced at present. What is refused of them is
	// refused at once.
	Paced func() bool
	// Admit reports whether a new connection is within the limit.
	Admit func() bool
	// AdmitRequest reports whether a connection above the limit is kept for the customer
	// of its request, of which this is the first part.
	AdmitRequest func(request []byte) bool
	// Refusal returns the answer to a request whose connection is rejected.
	Refusal func() []byte
	// OnState is called when a connection is accepted, and when it ends before Accept has
	// returned it.
	OnState func(conn net.Conn, state http.ConnState)
	// FirstRequestTimeout returns how long to wait for the first request on a connection.
	FirstRequestTimeout func() time.Duration
	Log                 *zap.Logger
}

// limitListener is a listener that rejects connections above the limit, and returns others
// once they have a request for the server. Most connections of an overloaded router never
// have one: their requests are refused or offloaded, for which the server's memory and
// processor time are not needed. It never waits for a caller, so that those of a customer
// that opens thousands of connections do not keep others in the accept queue until they
// give up.
type limitListener struct {
	net.Listener
	config   listenerConfig
	start    sync.Once
	accepted chan net.Conn
	failed   chan error
	closed   chan struct{}
	waiting  chan struct{}

	mu sync.Mutex
	// unreturned are the connections that Accept has not returned yet.
	unreturned map[*qlintake.Conn]struct{}
}

func newLimitListener(config listenerConfig) *limitListener {
	return &limitListener{
		Listener: config.Listener,
		config:   config,
		accepted: make(chan net.Conn),
		failed:   make(chan error, 1),
		closed:   make(chan struct{}),
		waiting:  make(chan struct{}, _maxWaitingConnections),

		unreturned: make(map[*qlintake.Conn]struct{}),
	}
}

// Close stops accepting and closes the connections that Accept has not returned, except
// those with a request.
func (l *limitListener) Close() error {
	err := l.Listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.unreturned {
		// Its reader notices this.
		conn.CloseIdle()
	}
	return err
}

// Accept returns the next connection that is kept.
func (l *limitListener) Accept() (net.Conn, error) {
	l.start.Do(func() { go l.run() })
	select {
	case conn := <-l.accepted:
		return conn, nil
	case err := <-l.failed:
		l.failed <- err
		return nil, err
	}
}

// run accepts connections until the listener is closed.
func (l *limitListener) run() {
	defer close(l.closed)
	for {
		// Without this, the loop would accept connections for a time slice of the scheduler
		// before any of them is served.
		runtime.Gosched()
		for delay := l.config.Delay(); delay > 0; delay = l.config.Delay() {
			time.Sleep(delay)
		}
		conn, err := l.Listener.Accept()
		if err != nil {
			l.failed <- err
			return
		}
		if l.config.Admit() {
			wrapped := l.config.Intake.Wrap(conn)
			if !l.config.Paced() || !l.refuseFirst(wrapped) {
				l.keep(wrapped)
			}
			continue
		}
		select {
		case l.waiting <- struct{}{}:
			go func() {
				defer func() { <-l.waiting }()
				l.admitOrReject(conn, _firstRequestWait)
			}()
		default:
			l.admitOrReject(conn, 0)
		}
	}
}

// refuseFirst reports whether the first request of a connection was refused, or the connection
// has ended.
func (l *limitListener) refuseFirst(accepted net.Conn) bool {
	conn, ok := accepted.(*qlintake.Conn)
	if !ok {
		return false
	}
	refused, err := conn.RefuseFirst()
	if err == nil {
		return refused
	}
	l.config.Log.Debug("connection-ended", zap.Stringer("caller", conn.RemoteAddr()), zap.Error(err))
	if !refused {
		_ = conn.Close()
	}
	return true
}

// keep serves a connection until it has a request for the server.
func (l *limitListener) keep(accepted net.Conn) {
	l.config.OnState(accepted, http.StateNew)
	conn, ok := accepted.(*qlintake.Conn)
	if !ok {
		l.accepted <- accepted
		return
	}
	l.mu.Lock()
	l.unreturned[conn] = struct{}{}
	l.mu.Unlock()
	go func() {
		err := conn.AwaitRequest(l.config.FirstRequestTimeout())
		l.mu.Lock()
		delete(l.unreturned, conn)
		l.mu.Unlock()
		if err == nil {
			select {
			case l.accepted <- conn:
				return
			case <-l.closed:
				err = conn.Reject(l.config.Refusal)
			}
		}
		_ = conn.Close()
		l.config.OnState(conn, http.StateClosed)
		l.config.Log.Debug("connection-ended", zap.Stringer("caller", conn.RemoteAddr()), zap.Error(err))
	}()
}

// admitOrReject decides by the request on a connection above the limit. A refused request
// is answered, so that its caller knows that it was not processed. A caller that has sent
// nothing yet finds the connection closed and unused.
func (l *limitListener) admitOrReject(accepted net.Conn, wait time.Duration) {
	conn, ok := l.config.Intake.Wrap(accepted).(*qlintake.Conn)
	if !ok {
		_ = accepted.Close()
		return
	}
	request, err := conn.ReadFirst(wait)
	if l.config.AdmitRequest(request) {
		l.keep(conn)
		return
	}
	if rejectErr := conn.Reject(l.config.Refusal); err == nil {
		err = rejectErr
	}
	if err != nil {
		// Usually no request arrived in time. How many connections were rejected is
		// logged and exported as a metric.
		l.config.Log.Debug("connection-rejected", zap.Stringer("caller", conn.RemoteAddr()), zap.Error(err))
	}
}
