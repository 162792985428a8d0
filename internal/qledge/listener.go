package qledge

import (
	"net"
	"net/http"
	"os"
	"runtime"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qlintake"
	"go.uber.org/zap"
)

const (
	// _firstRequestWait is how long to wait for the request on a connection above the
	// limit: some round trips to a caller.
	_firstRequestWait = 20 * time.Millisecond
	// _drainedWait is for how long no connection comes once all that waited were accepted.
	_drainedWait = 20 * time.Millisecond
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
	// MaxWaiting bounds the connections above the limit that wait for their request. Further
	// ones are rejected at once.
	MaxWaiting int
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
	// drained is closed once all connections that waited were accepted, after Drain.
	drained chan struct{}

	mu sync.Mutex
	// draining is set by Drain until that is so, unpaced from then on.
	draining bool
	unpaced  bool
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
		waiting:  make(chan struct{}, config.MaxWaiting),
		drained:  make(chan struct{}),

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
		l.awaitPace()
		conn, err := l.acceptNext()
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

// awaitPace waits until the next connection may be accepted.
func (l *limitListener) awaitPace() {
	for delay := l.config.Delay(); delay > 0 && !l.isUnpaced(); delay = l.config.Delay() {
		time.Sleep(delay)
	}
}

func (l *limitListener) isUnpaced() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unpaced
}

// acceptNext accepts the next connection. It closes drained if there is none for a while after
// Drain.
func (l *limitListener) acceptNext() (net.Conn, error) {
	for {
		draining, err := l.limitAccept()
		if err != nil {
			return nil, err
		}
		conn, err := l.Listener.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, err
		}
		if draining {
			l.endDrain()
		}
	}
}

// limitAccept limits the wait for the next connection while the listener is drained, and
// reports whether it is.
func (l *limitListener) limitAccept() (draining bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	deadline := time.Time{}
	if l.draining {
		deadline = time.Now().Add(_drainedWait)
	}
	if !l.unpaced {
		return false, nil
	}
	return l.draining, l.setAcceptDeadline(deadline)
}

func (l *limitListener) endDrain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = false
	close(l.drained)
}

func (l *limitListener) setAcceptDeadline(deadline time.Time) error {
	limited, ok := l.Listener.(interface {
		SetDeadline(deadline time.Time) error
	})
	if !ok {
		return errors.NotSupportedf("listener of type %T", l.Listener)
	}
	return errors.Trace(limited.SetDeadline(deadline))
}

// Drain accepts the connections that wait to be accepted, without a pace, and waits within the
// time until they are and their requests are answered or passed to the server. It is called
// once, before the listener is closed: that would reset them.
func (l *limitListener) Drain(within time.Duration) error {
	end := time.Now().Add(within)
	l.mu.Lock()
	l.draining, l.unpaced = true, true
	// The wait for the next connection begins again, with a limit.
	err := l.setAcceptDeadline(time.Now())
	l.mu.Unlock()
	if err != nil {
		return err
	}
	select {
	case <-l.drained:
	case <-l.closed:
	case <-time.After(within):
	}
	for time.Now().Before(end) && l.anyPendingRequest() {
		time.Sleep(_drainedWait)
	}
	return nil
}

// anyPendingRequest reports whether a connection that Accept has not returned holds a request.
func (l *limitListener) anyPendingRequest() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.unreturned {
		if hasPendingRequest(conn) {
			return true
		}
	}
	return false
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
