// Package qlaccept accepts connections although the process or the machine is short of
// resources for a while.
//
// Accepting fails if file descriptors or memory of the kernel run out, or if a connection ends
// while it waits. Neither says anything about the listener: the next call may succeed. A
// server that returns on such an error leaves its callers in the kernel's queue, where nobody
// answers them.
//
// # Usage
//
//	listener := qlaccept.New(qlaccept.Config{Listener: tcpListener, Log: log})
//	err := server.Serve(listener) // returns once the listener is closed, or fails for good
package qlaccept

import (
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
)

const (
	// _minPause is the pause after a call that failed for lack of resources. It doubles with
	// each further one, up to _maxPause.
	_minPause = 5 * time.Millisecond
	_maxPause = 100 * time.Millisecond
	// _logInterval is the least time between log lines about failed calls.
	_logInterval = time.Second
)

// _shortages are the errors of accept for lack of resources.
var _shortages = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM}

// _connectionErrors are the errors of accept that concern one connection that has ended, or
// that Linux passes on from its network.
var _connectionErrors = []error{
	syscall.ECONNABORTED, syscall.ECONNRESET, syscall.EINTR, syscall.EPERM, syscall.EPROTO, syscall.ENOPROTOOPT, syscall.EOPNOTSUPP,
	syscall.ENETDOWN, syscall.ENETUNREACH, syscall.ENONET, syscall.EHOSTDOWN, syscall.EHOSTUNREACH, syscall.ETIMEDOUT,
}

// IsShortage reports whether a system call failed because the process or the machine lacks
// file descriptors, memory of the kernel or ports, which says nothing about the other end.
func IsShortage(err error) bool {
	return isAny(err, _shortages) || errors.Is(err, syscall.EADDRNOTAVAIL)
}

func isAny(err error, targets []error) bool {
	return slices.ContainsFunc(targets, func(target error) bool { return errors.Is(err, target) })
}

// Config configures a Listener.
type Config struct {
	Listener net.Listener
	Log      *zap.Logger
}

// Listener is a net.Listener whose Accept returns only errors after which no further
// connection can be accepted, and those of a deadline.
type Listener struct {
	net.Listener
	log *zap.Logger

	closeOnce sync.Once
	closed    chan struct{}

	mu sync.Mutex
	// failed counts the failed calls since the last log line, which was at loggedAt.
	failed   int
	loggedAt time.Time
}

// New returns a listener that accepts from the configured one.
func New(config Config) *Listener {
	return &Listener{
		Listener: config.Listener,
		log:      config.Log,
		closed:   make(chan struct{}),
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	pause := _minPause
	for {
		conn, err := l.Listener.Accept()
		switch {
		case err == nil:
			return conn, nil
		case isAny(err, _shortages):
			l.recordFailure(err)
			if !l.sleep(pause) {
				return nil, net.ErrClosed
			}
			pause = min(2*pause, _maxPause)
		case isAny(err, _connectionErrors):
			l.recordFailure(err)
		default:
			return nil, err
		}
	}
}

// Close implements net.Listener. It ends a pause of Accept.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// SetDeadline sets the deadline of Accept, as of net.TCPListener. It is an error if the
// listener has none.
func (l *Listener) SetDeadline(deadline time.Time) error {
	limited, ok := l.Listener.(interface {
		SetDeadline(deadline time.Time) error
	})
	if !ok {
		return errors.NotSupportedf("deadline of a listener of type %T", l.Listener)
	}
	return errors.Trace(limited.SetDeadline(deadline))
}

// sleep waits and reports false if the listener was closed meanwhile.
func (l *Listener) sleep(pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.closed:
		return false
	}
}

// recordFailure logs failed calls, one line for all within _logInterval.
func (l *Listener) recordFailure(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failed++
	if now := time.Now(); now.Sub(l.loggedAt) >= _logInterval {
		l.log.Warn("accept-failed", zap.Stringer("address", l.Addr()), zap.Int("calls", l.failed), zap.Error(err))
		l.failed, l.loggedAt = 0, now
	}
}
