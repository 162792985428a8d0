package qledge

import (
	"net"
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
	_maxWaitingConnections = 256
)

// listenerConfig configures a limitListener.
type listenerConfig struct {
	Listener net.Listener
	Intake   *qlintake.Intake
	// Admit reports whether a new connection is within the limit.
	Admit func() bool
	// AdmitRequest reports whether a connection above the limit is kept for the customer
	// of its request, of which this is the first part.
	AdmitRequest func(request []byte) bool
	// Refusal returns the answer to a request whose connection is rejected.
	Refusal func() []byte
	Log     *zap.Logger
}

// limitListener is a listener that rejects connections above the limit. It never waits for
// a caller, so that those of a customer that opens thousands of connections do not keep
// others in the accept queue until they give up.
type limitListener struct {
	net.Listener
	config   listenerConfig
	start    sync.Once
	accepted chan net.Conn
	failed   chan error
	closed   chan struct{}
	waiting  chan struct{}
}

func newLimitListener(config listenerConfig) *limitListener {
	return &limitListener{
		Listener: config.Listener,
		config:   config,
		accepted: make(chan net.Conn),
		failed:   make(chan error, 1),
		closed:   make(chan struct{}),
		waiting:  make(chan struct{}, _maxWaitingConnections),
	}
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
		conn, err := l.Listener.Accept()
		if err != nil {
			l.failed <- err
			return
		}
		if l.config.Admit() {
			l.accepted <- l.config.Intake.Wrap(conn)
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
		select {
		case l.accepted <- conn:
			return
		case <-l.closed:
		}
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
