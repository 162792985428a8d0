package qlconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
)

const _idHeader = "X-Request-Id"

// fakeUpstream serves each of its connections with a function.
type fakeUpstream struct {
	listener    net.Listener
	connections atomic.Int64
}

func newFakeUpstream(t *testing.T, serve func(conn net.Conn, reader *bufio.Reader, n int64)) *fakeUpstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &fakeUpstream{
		listener: listener,
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			n := u.connections.Add(1)
			go func() {
				defer func() { _ = conn.Close() }()
				serve(conn, bufio.NewReader(conn), n)
			}()
		}
	}()
	return u
}

func readRequest(reader *bufio.Reader) (id string, ok bool) {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return "", false
	}
	_, _ = io.Copy(io.Discard, request.Body)
	return request.Header.Get(_idHeader), true
}

func response(id, body string) string {
	return "HTTP/1.1 200 OK\r\n" + _idHeader + ": " + id + "\r\nContent-Length: " +
		string(rune('0'+len(body))) + "\r\n\r\n" + body
}

func newPool() *Pool {
	return New(Config{
		DialTimeout: time.Second,
		IdleTimeout: time.Minute,
		Matches: func(response *http.Response, id string) bool {
			return response.Header.Get(_idHeader) == id
		},
	})
}

func (u *fakeUpstream) request(id string) *Request {
	return &Request{
		Address: u.listener.Addr().String(),
		ID:      id,
		Method:  http.MethodPost,
		Target:  "/a%2Fb?c=%20d",
		Host:    "h.example",
		Header: http.Header{
			_idHeader: {id},
		},
		Body: []byte("body"),
	}
}

func sendAndRead(t *testing.T, p *Pool, request *Request) (string, error) {
	t.Helper()
	e, err := p.Do(context.Background(), request)
	if err != nil {
		return "", err
	}
	defer e.Close()
	body, err := io.ReadAll(e.Response().Body)
	return string(body), err
}

func TestRequestArrivesUnchanged(t *testing.T) {
	got := make(chan string, 1)
	u := newFakeUpstream(t, func(conn net.Conn, reader *bufio.Reader, _ int64) {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(request.Body)
		got <- request.Method + " " + request.RequestURI + " " + request.Host + " " + string(body)
		_, _ = io.WriteString(conn, response("1", "ok"))
	})
	if _, err := sendAndRead(t, newPool(), u.request("1")); err != nil {
		t.Fatal(err)
	}
	if got, want := <-got, "POST /a%2Fb?c=%20d h.example body"; got != want {
		t.Errorf("request: got %q, want %q", got, want)
	}
}

func TestConnectionIsReused(t *testing.T) {
	u := newFakeUpstream(t, func(conn net.Conn, reader *bufio.Reader, _ int64) {
		for {
			id, ok := readRequest(reader)
			if !ok {
				return
			}
			_, _ = io.WriteString(conn, response(id, "ok"))
		}
	})
	p := newPool()
	for _, id := range []string{"1", "2", "3"} {
		if got, err := sendAndRead(t, p, u.request(id)); got != "ok" {
			t.Errorf("answer: got %q, %v, want ok", got, err)
		}
	}
	if got, want := u.connections.Load(), int64(1); got != want {
		t.Errorf("connections: got %d, want %d", got, want)
	}
}

// TestReadTimeoutDoesNotOutlastTheExchange guards against a reused connection
// that still has the read timeout of the previous exchange.
func TestReadTimeoutDoesNotOutlastTheExchange(t *testing.T) {
	u := newFakeUpstream(t, func(conn net.Conn, reader *bufio.Reader, _ int64) {
		for {
			id, ok := readRequest(reader)
			if !ok {
				return
			}
			if id == "2" {
				time.Sleep(100 * time.Millisecond)
			}
			_, _ = io.WriteString(conn, response(id, "ok"))
		}
	})
	p := newPool()
	e, err := p.Do(context.Background(), u.request("1"))
	if err != nil {
		t.Fatal(err)
	}
	e.SetReadTimeout(50 * time.Millisecond)
	if _, err := io.Copy(io.Discard, e.Response().Body); err != nil {
		t.Fatal(err)
	}
	e.Close()
	if got, err := sendAndRead(t, p, u.request("2")); got != "ok" {
		t.Errorf("second answer: got %q, %v, want ok", got, err)
	}
}

func TestClosedConnectionIsNotUsed(t *testing.T) {
	u := newFakeUpstream(t, func(conn net.Conn, reader *bufio.Reader, _ int64) {
		if id, ok := readRequest(reader); ok {
			_, _ = io.WriteString(conn, response(id, "ok"))
		}
	})
	p := newPool()
	for _, id := range []string{"1", "2", "3"} {
		if got, err := sendAndRead(t, p, u.request(id)); got != "ok" {
			t.Fatalf("answer %s: got %q, %v, want ok", id, got, err)
		}
		// Wait until the close has arrived.
		time.Sleep(20 * time.Millisecond)
	}
	if got, want := u.connections.Load(), int64(3); got != want {
		t.Errorf("connections: got %d, want %d", got, want)
	}
}

func TestLateAnswerOfAnotherRequestIsSkipped(t *testing.T) {
	u := newFakeUpstream(t, func(conn net.Conn, reader *bufio.Reader, _ int64) {
		for {
			id, ok := readRequest(reader)
			if !ok {
				return
			}
			if id == "2" {
				// A second response to request 1 precedes the one to request 2.
				_, _ = io.WriteString(conn, response("1", "old"))
			}
			_, _ = io.WriteString(conn, response(id, "new"))
		}
	})
	p := newPool()
	for _, id := range []string{"1", "2"} {
		if got, err := sendAndRead(t, p, u.request(id)); got != "new" {
			t.Errorf("answer %s: got %q, %v, want new", id, got, err)
		}
	}
}

func TestUnsolicitedBytesCloseTheConnection(t *testing.T) {
	u := newFakeUpstream(t, func(conn net.Conn, reader *bufio.Reader, _ int64) {
		for {
			id, ok := readRequest(reader)
			if !ok {
				return
			}
			_, _ = io.WriteString(conn, response(id, "ok")+response(id, "no"))
		}
	})
	p := newPool()
	for _, id := range []string{"1", "2"} {
		if got, err := sendAndRead(t, p, u.request(id)); got != "ok" {
			t.Errorf("answer %s: got %q, %v, want ok", id, got, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if got, want := u.connections.Load(), int64(2); got != want {
		t.Errorf("connections: got %d, want %d", got, want)
	}
}

func TestUnsentRequestIsReportedAsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	_, err = newPool().Do(context.Background(), &Request{
		Address: address,
		Method:  http.MethodGet,
		Target:  "/",
	})
	if !errors.Is(err, ErrNotSent) {
		t.Errorf("refused connection: got %v, want ErrNotSent", err)
	}
}

func TestSentRequestIsNotReportedAsUnsent(t *testing.T) {
	for _, c := range []struct {
		name  string
		reply string
	}{
		{name: "no answer", reply: ""},
		{name: "no http", reply: "\x16\x03\x01\x00"},
		{name: "broken head", reply: "HTTP/1.1 200 OK\r\nX-Req"},
		{name: "other id", reply: response("9", "no")},
	} {
		u := newFakeUpstream(t, func(conn net.Conn, reader *bufio.Reader, _ int64) {
			if _, ok := readRequest(reader); ok {
				_, _ = io.WriteString(conn, c.reply)
			}
		})
		_, err := newPool().Do(context.Background(), u.request("1"))
		if err == nil || errors.Is(err, ErrNotSent) {
			t.Errorf("%s: got %v, want an error that is not ErrNotSent", c.name, err)
		}
	}
}

func TestBodyThatBreaksOffIsAnError(t *testing.T) {
	u := newFakeUpstream(t, func(conn net.Conn, reader *bufio.Reader, _ int64) {
		if id, ok := readRequest(reader); ok {
			_, _ = io.WriteString(conn, strings.TrimSuffix(response(id, "whole"), "le"))
		}
	})
	if got, err := sendAndRead(t, newPool(), u.request("1")); err == nil {
		t.Errorf("answer: got %q and no error", got)
	}
}

func TestAnswerWithoutLengthEndsWithItsConnection(t *testing.T) {
	u := newFakeUpstream(t, func(conn net.Conn, reader *bufio.Reader, n int64) {
		id, ok := readRequest(reader)
		if !ok {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+_idHeader+": "+id+"\r\n\r\nwhole")
		if tcp, ok := conn.(*net.TCPConn); ok && n == 2 {
			// Reset the connection, as a crashed upstream does.
			_ = tcp.SetLinger(0)
			time.Sleep(20 * time.Millisecond)
		}
	})
	p := newPool()
	if got, err := sendAndRead(t, p, u.request("1")); got != "whole" || err != nil {
		t.Errorf("closed answer: got %q, %v, want whole", got, err)
	}
	if got, err := sendAndRead(t, p, u.request("2")); err == nil {
		t.Errorf("reset answer: got %q and no error", got)
	}
}

func TestCanceledContextClosesTheConnection(t *testing.T) {
	ended := make(chan struct{})
	u := newFakeUpstream(t, func(_ net.Conn, reader *bufio.Reader, _ int64) {
		if _, ok := readRequest(reader); ok {
			_, _ = reader.ReadByte()
			close(ended)
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	if _, err := newPool().Do(ctx, u.request("1")); err == nil {
		t.Error("got no error after the context was canceled")
	}
	select {
	case <-ended:
	case <-time.After(time.Second):
		t.Error("the upstream's connection is still open after a second")
	}
}

func TestConnectionsAreBounded(t *testing.T) {
	release := make(chan struct{})
	u := newFakeUpstream(t, func(conn net.Conn, reader *bufio.Reader, _ int64) {
		if id, ok := readRequest(reader); ok {
			<-release
			_, _ = io.WriteString(conn, response(id, "ok"))
		}
	})
	p := newPool()
	done := make(chan string, 1)
	first := u.request("1")
	first.MaxConnections = 1
	go func() {
		got, _ := sendAndRead(t, p, first)
		done <- got
	}()
	for dials := uint64(0); dials == 0; dials, _ = p.Counts() {
		time.Sleep(time.Millisecond)
	}
	second := u.request("2")
	second.MaxConnections = 1
	_, err := p.Do(context.Background(), second)
	if !errors.Is(err, ErrTooManyConnections) && !errors.Is(err, ErrNotSent) {
		t.Errorf("second connection: got %v, want it refused as not sent", err)
	}
	close(release)
	if got, want := <-done, "ok"; got != want {
		t.Errorf("first answer: got %q, want %q", got, want)
	}
}

func TestEarlyAnswerToALongBody(t *testing.T) {
	u := newFakeUpstream(t, func(conn net.Conn, reader *bufio.Reader, _ int64) {
		for {
			line, err := reader.ReadString('\n')
			if err != nil || line == "\r\n" {
				break
			}
		}
		_, _ = io.WriteString(conn, response("1", "no"))
		time.Sleep(50 * time.Millisecond)
		_, _ = io.Copy(io.Discard, reader)
	})
	request := u.request("1")
	request.Body = make([]byte, 1<<20)
	if got, err := sendAndRead(t, newPool(), request); got != "no" {
		t.Errorf("answer: got %q, %v, want no", got, err)
	}
}

func TestRequestAbandonedDuringTheDialIsNotSent(t *testing.T) {
	u := newFakeUpstream(t, func(conn net.Conn, reader *bufio.Reader, _ int64) {
		for {
			id, ok := readRequest(reader)
			if !ok {
				return
			}
			_, _ = io.WriteString(conn, response(id, "whole"))
		}
	})
	p := newPool()
	request := u.request("1")
	request.Abandoned = func() bool {
		dials, _ := p.Counts()
		return dials == 1
	}
	if _, err := p.Do(context.Background(), request); !errors.Is(err, ErrNotSent) {
		t.Errorf("abandoned request: got %v, want ErrNotSent", err)
	}
	if got, err := sendAndRead(t, p, u.request("2")); got != "whole" || err != nil {
		t.Errorf("next request: got %q, %v, want whole", got, err)
	}
	if got, want := u.connections.Load(), int64(1); got != want {
		t.Errorf("connections: got %d, want %d, the first one kept", got, want)
	}
}

// TestRefusedConnectionIsTold checks that an upstream whose process is gone is told from
// one that is there or silent, and that a connection to one that is there is used for the
// next request.
func TestRefusedConnectionIsTold(t *testing.T) {
	u := newFakeUpstream(t, func(conn net.Conn, reader *bufio.Reader, _ int64) {
		if id, ok := readRequest(reader); ok {
			_, _ = io.WriteString(conn, response(id, "ok"))
		}
	})
	pool := newPool()
	began := time.Now()
	if pool.Refuses(t.Context(), u.request("1").Address, began) {
		t.Error("an upstream that listens is told as refusing")
	}
	if got, err := sendAndRead(t, pool, u.request("1")); got != "ok" || err != nil {
		t.Errorf("got %q, %v, want ok", got, err)
	}
	if dials, _ := pool.Counts(); dials != 1 {
		t.Errorf("got %d dials, want 1", dials)
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if pool.Refuses(ctx, listener.Addr().String(), began) {
		t.Error("a canceled dial is told as refused")
	}
	if !pool.Refuses(t.Context(), listener.Addr().String(), began) {
		t.Error("an address without a listener is not told as refusing")
	}
	if !pool.Refuses(ctx, listener.Addr().String(), began) {
		t.Error("a refusal since then is not remembered")
	}
	if pool.Refuses(ctx, listener.Addr().String(), time.Now()) {
		t.Error("a refusal before that time is told as one since then")
	}
}
