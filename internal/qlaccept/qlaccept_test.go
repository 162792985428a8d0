package qlaccept

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
)

// scriptedListener returns errors before it accepts.
type scriptedListener struct {
	net.Listener
	errs []error
}

func (l *scriptedListener) Accept() (net.Conn, error) {
	if len(l.errs) > 0 {
		err := l.errs[0]
		l.errs = l.errs[1:]
		return nil, &net.OpError{
			Op:  "accept",
			Err: os.NewSyscallError("accept4", err),
		}
	}
	return l.Listener.Accept()
}

func newScripted(t *testing.T, errs ...error) (listener *Listener, inner net.Listener) {
	t.Helper()
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener = New(Config{
		Listener: &scriptedListener{
			Listener: inner,
			errs:     errs,
		},
		Log: zap.NewNop(),
	})
	t.Cleanup(func() { _ = listener.Close() })
	return listener, inner
}

// TestAcceptsAfterErrorsThatPass guards against an accept loop that ends for good by an error
// of one connection, or for lack of resources.
func TestAcceptsAfterErrorsThatPass(t *testing.T) {
	for _, errno := range []error{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EPROTO, syscall.EPERM,
	} {
		listener, inner := newScripted(t, errno, errno, errno)
		caller, err := net.Dial("tcp4", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		conn, err := listener.Accept()
		if err != nil {
			t.Errorf("%v: got %v, want a connection", errno, err)
			continue
		}
		_, _ = conn.Close(), caller.Close()
	}
}

func TestReturnsErrorsThatLast(t *testing.T) {
	listener, _ := newScripted(t, syscall.EBADF)
	if _, err := listener.Accept(); !errors.Is(err, syscall.EBADF) {
		t.Errorf("got %v, want %v", err, syscall.EBADF)
	}
}

func TestCloseEndsPause(t *testing.T) {
	errs := make([]error, 1000)
	for i := range errs {
		errs[i] = syscall.EMFILE
	}
	listener, _ := newScripted(t, errs...)
	time.AfterFunc(20*time.Millisecond, func() { _ = listener.Close() })
	if _, err := listener.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("got %v, want %v", err, net.ErrClosed)
	}
}
