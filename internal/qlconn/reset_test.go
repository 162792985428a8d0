package qlconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// resettingUpstream sends the head and the first bytes of an answer without a length, and resets
// the connection when it is told to.
type resettingUpstream struct {
	*fakeUpstream
	// readsBody is set if the body of a request is read before the answer.
	readsBody bool
	reset     chan struct{}
	// resets counts the connections that are still to be reset.
	resets sync.WaitGroup
}

const _firstBytes = "a part of the answer"

func newResettingUpstream(t *testing.T, connections int, readsBody bool) *resettingUpstream {
	t.Helper()
	u := &resettingUpstream{
		readsBody: readsBody,
		reset:     make(chan struct{}),
	}
	u.resets.Add(connections)
	u.fakeUpstream = newFakeUpstream(t, func(conn net.Conn, reader *bufio.Reader, _ int64) { u.serve(conn, reader) })
	return u
}

func (u *resettingUpstream) serve(conn net.Conn, reader *bufio.Reader) {
	defer u.resets.Done()
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

// TestOthersDoNotTakeTheErrorOfAReset guards against a cut answer without a length that looks
// complete: another request has looked at the connection after its reset and before the next read.
func TestOthersDoNotTakeTheErrorOfAReset(t *testing.T) {
	const exchanges = 3
	loss := func(p *Pool, e *Exchange) { p.Loss(e.conn.address, time.Now()) }
	for _, c := range []struct {
		name      string
		readsBody bool
		bodyBytes int
		look      func(p *Pool, e *Exchange)
	}{
		{name: "Loss", readsBody: true, look: loss},
		{name: "Loss, long body not read", bodyBytes: 64 << 10, look: loss},
		{name: "LostAll", readsBody: true, look: func(p *Pool, e *Exchange) { p.LostAll(e.conn.address, time.Now()) }},
		{name: "ClosedByPeer", readsBody: true, look: func(_ *Pool, e *Exchange) { ClosedByPeer(e.conn.Conn) }},
		{name: "HasUnreadBytes", readsBody: true, look: func(_ *Pool, e *Exchange) { HasUnreadBytes(e.conn.Conn) }},
	} {
		u, p := newResettingUpstream(t, exchanges, c.readsBody), newPool()
		opened := make([]*Exchange, exchanges)
		for i := range opened {
			opened[i] = u.open(t, p, c.bodyBytes)
			// Loss leaves out younger connections.
			opened[i].conn.openedAt = opened[i].conn.openedAt.Add(-2 * _lossWindow)
		}
		close(u.reset)
		u.resets.Wait()
		time.Sleep(10 * time.Millisecond)
		for _, e := range opened {
			c.look(p, e)
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
	u, p := newResettingUpstream(t, uploads, false), newPool()
	var ended sync.WaitGroup
	for range uploads {
		ended.Go(func() {
			request := u.request("1")
			request.Body = make([]byte, 3<<20)
			if got, err := sendAndRead(t, p, request); err == nil {
				t.Errorf("got %q and no error, want one", got)
			}
		})
	}
	time.Sleep(_lossWindow + 50*time.Millisecond)
	counting, stop := context.WithCancel(t.Context())
	for range 4 {
		ended.Go(func() {
			for counting.Err() == nil {
				p.Loss(u.listener.Addr().String(), time.Now())
			}
		})
	}
	close(u.reset)
	u.resets.Wait()
	time.Sleep(100 * time.Millisecond)
	stop()
	ended.Wait()
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
		time.Sleep(10 * time.Millisecond)
		for look := range 2 {
			if got := ClosedByPeer(conn); got != c.closed {
				t.Errorf("%s, look %d: closed: got %v, want %v", c.name, look, got, c.closed)
			}
			if got, want := HasUnreadBytes(conn), c.unread != ""; got != want {
				t.Errorf("%s, look %d: unread bytes: got %v, want %v", c.name, look, got, want)
			}
		}
		_ = conn.Close()
		if !ClosedByPeer(conn) {
			t.Errorf("%s: got open after this end has closed the connection", c.name)
		}
	}
}
