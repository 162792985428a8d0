package qlconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// resettingUpstream sends the head and the first bytes of an answer without a length, and resets
// the connection when it is told to.
type resettingUpstream struct {
	*fakeUpstream
	// readsBody is set if the body of a request is read before the answer.
	readsBody bool
	reset     chan struct{}
}

const _firstBytes = "a part of the answer"

func newResettingUpstream(t *testing.T, readsBody bool) *resettingUpstream {
	t.Helper()
	u := &resettingUpstream{
		readsBody: readsBody,
		reset:     make(chan struct{}),
	}
	u.fakeUpstream = newFakeUpstream(t, func(conn net.Conn, reader *bufio.Reader, _ int64) { u.serve(conn, reader) })
	return u
}

func (u *resettingUpstream) serve(conn net.Conn, reader *bufio.Reader) {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	if u.readsBody {
		_, _ = io.Copy(io.Discard, request.Body)
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\n%s", _idHeader, request.Header.Get(_idHeader), _firstBytes)
	<-u.reset
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// open sends a request and reads the first bytes of its answer.
func (u *resettingUpstream) open(t *testing.T, p *Pool, bodyBytes int) *Exchange {
	t.Helper()
	request := u.request("1")
	request.Body = make([]byte, bodyBytes)
	e, err := p.Do(context.Background(), request)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	if _, err := io.ReadFull(e.Response().Body, make([]byte, len(_firstBytes))); err != nil {
		t.Fatal(err)
	}
	return e
}

// _tcpClose is the kernel's TCP_CLOSE, the state of a connection that was reset.
const _tcpClose = 7

// awaitReset waits until this end has received the reset of the connection. It asks for the state,
// since calls that read would get the error.
func awaitReset(t *testing.T, conn net.Conn) {
	t.Helper()
	withDescriptor, ok := conn.(syscall.Conn)
	if !ok {
		t.Fatalf("got a connection of type %T, want one with a descriptor", conn)
	}
	raw, err := withDescriptor.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		var info *unix.TCPInfo
		var infoErr error
		err := raw.Control(func(descriptor uintptr) {
			info, infoErr = unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		})
		if err != nil || infoErr != nil {
			t.Fatal(err, infoErr)
		}
		if info.State == _tcpClose {
			return
		}
	}
	t.Fatal("the connection was not reset within 2 s")
}

// TestChecksDoNotConsumeTheErrorOfAReset guards against a cut answer without a length that looks
// complete: another request has checked the connection after its reset and before the next read.
func TestChecksDoNotConsumeTheErrorOfAReset(t *testing.T) {
	const exchanges = 3
	loss := func(p *Pool, e *Exchange) { p.Loss(e.conn.address, time.Now()) }
	for _, c := range []struct {
		name      string
		readsBody bool
		bodyBytes int
		check     func(p *Pool, e *Exchange)
	}{
		{name: "Loss", readsBody: true, check: loss},
		{name: "Loss, long body not read", bodyBytes: 64 << 10, check: loss},
		{name: "LostAll", readsBody: true, check: func(p *Pool, e *Exchange) { p.LostAll(e.conn.address, time.Now()) }},
		{name: "ClosedByPeer", readsBody: true, check: func(_ *Pool, e *Exchange) { ClosedByPeer(e.conn.Conn) }},
		{name: "HasUnreadBytes", readsBody: true, check: func(_ *Pool, e *Exchange) { HasUnreadBytes(e.conn.Conn) }},
	} {
		u, p := newResettingUpstream(t, c.readsBody), newPool()
		opened := make([]*Exchange, exchanges)
		for i := range opened {
			opened[i] = u.open(t, p, c.bodyBytes)
			// Loss leaves out younger connections.
			opened[i].conn.openedAt = opened[i].conn.openedAt.Add(-2 * _lossWindow)
		}
		close(u.reset)
		for _, e := range opened {
			awaitReset(t, e.conn.Conn)
		}
		for _, e := range opened {
			c.check(p, e)
		}
		for _, e := range opened {
			if rest, err := io.ReadAll(e.Response().Body); err == nil {
				t.Errorf("%s: got %q after the first bytes and no error, want one", c.name, rest)
			}
		}
	}
}

// TestUploadsResetTogetherAreNotAnswered has an upstream answer long uploads early and reset all
// of them at once, while the pool counts the connections that it has lost.
func TestUploadsResetTogetherAreNotAnswered(t *testing.T) {
	const uploads = 16
	u, p := newResettingUpstream(t, false), newPool()
	var ended, counted sync.WaitGroup
	for range uploads {
		ended.Go(func() {
			request := u.request("1")
			request.Body = make([]byte, 3<<20)
			if got, err := sendAndRead(t, p, request); err == nil {
				t.Errorf("got %q and no error, want one", got)
			}
		})
	}
	// Loss leaves out younger connections.
	time.Sleep(_lossWindow + 50*time.Millisecond)
	counting, stop := context.WithCancel(t.Context())
	for range 4 {
		counted.Go(func() {
			for counting.Err() == nil {
				p.Loss(u.listener.Addr().String(), time.Now())
			}
		})
	}
	close(u.reset)
	ended.Wait()
	stop()
	counted.Wait()
}

// TestClosedByPeer has a peer close or reset a connection, with or without unread bytes.
func TestClosedByPeer(t *testing.T) {
	for _, c := range []struct {
		name   string
		end    func(conn *net.TCPConn)
		unread string
		closed bool
	}{
		{name: "open", end: func(*net.TCPConn) {}},
		{name: "open, unread bytes", end: func(*net.TCPConn) {}, unread: "x"},
		{name: "closed", end: func(conn *net.TCPConn) { _ = conn.Close() }, closed: true},
		{name: "closed, unread bytes", end: func(conn *net.TCPConn) { _ = conn.Close() }, unread: "x"},
		{name: "half closed", end: func(conn *net.TCPConn) { _ = conn.CloseWrite() }, closed: true},
		{name: "reset", end: func(conn *net.TCPConn) { _, _ = conn.SetLinger(0), conn.Close() }, closed: true},
		{name: "reset, unread bytes", end: func(conn *net.TCPConn) { _, _ = conn.SetLinger(0), conn.Close() }, unread: "x", closed: true},
	} {
		accepted := make(chan *net.TCPConn, 1)
		u := newFakeUpstream(t, func(conn net.Conn, _ *bufio.Reader, _ int64) {
			tcp, _ := conn.(*net.TCPConn)
			accepted <- tcp
			<-t.Context().Done()
		})
		conn, err := net.Dial("tcp", u.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		peer := <-accepted
		_, _ = io.WriteString(peer, c.unread)
		c.end(peer)
		hasArrived := func() bool { return ClosedByPeer(conn) == c.closed && HasUnreadBytes(conn) == (c.unread != "") }
		for end := time.Now().Add(2 * time.Second); !hasArrived() && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		for check := range 2 {
			if got := ClosedByPeer(conn); got != c.closed {
				t.Errorf("%s, check %d: closed: got %v, want %v", c.name, check, got, c.closed)
			}
			if got, want := HasUnreadBytes(conn), c.unread != ""; got != want {
				t.Errorf("%s, check %d: unread bytes: got %v, want %v", c.name, check, got, want)
			}
		}
		_ = conn.Close()
		if !ClosedByPeer(conn) {
			t.Errorf("%s: got open after this end has closed the connection", c.name)
		}
	}
}
