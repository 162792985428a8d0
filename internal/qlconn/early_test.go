package qlconn

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// _longBodyBytes is more than the sockets of a connection hold.
const _longBodyBytes = 16 << 20

// earlyAnswer is what an upstream sends before it has read a long body, and how its connection
// ends.
type earlyAnswer struct {
	name string
	text string
	// reset is set if the connection is reset while the rest of the body is written.
	reset bool
	// want is the body of the answer if it is whole, or "".
	want string
}

// serve answers once the head of a request has come.
func (a *earlyAnswer) serve(conn net.Conn, reader *bufio.Reader) {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+_idHeader+": 1\r\n"+a.text)
	// The rest of the body waits for room meanwhile.
	time.Sleep(100 * time.Millisecond)
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	if a.reset {
		_ = tcp.SetLinger(0)
		return
	}
	_ = tcp.CloseWrite()
	_, _ = io.Copy(io.Discard, request.Body)
}

// TestEarlyAnswerThatIsResetIsNoWholeAnswer guards against a part of an answer without a length
// that is taken for the whole one: the write of the request's rest gets the error of the reset,
// and the reads after it a plain end.
func TestEarlyAnswerThatIsResetIsNoWholeAnswer(t *testing.T) {
	const half = "half of an "
	for _, a := range []earlyAnswer{
		{name: "no length, reset", text: "\r\n" + half, reset: true},
		{name: "no length, reset after the head", text: "\r\n", reset: true},
		{name: "part of a length, reset", text: "Content-Length: 17\r\n\r\n" + half, reset: true},
		{name: "part of the chunks, reset", text: "Transfer-Encoding: chunked\r\n\r\nb\r\n" + half + "\r\n", reset: true},
		{name: "no length", text: "\r\n" + half, want: half},
		{name: "length, reset", text: "Content-Length: 11\r\n\r\n" + half, reset: true, want: half},
		{name: "chunks, reset", text: "Transfer-Encoding: chunked\r\n\r\nb\r\n" + half + "\r\n0\r\n\r\n", reset: true, want: half},
	} {
		u := newFakeUpstream(t, func(conn net.Conn, reader *bufio.Reader, _ int64) { a.serve(conn, reader) })
		request := u.request("1")
		request.Body = make([]byte, _longBodyBytes)
		request.HeadTimeout = 2 * time.Second
		got, err := sendAndRead(t, newPool(), request)
		switch {
		case a.want == "" && err == nil:
			t.Errorf("%s: got %q and no error", a.name, got)
		case a.want != "" && (got != a.want || err != nil):
			t.Errorf("%s: got %q, %v, want %q", a.name, got, err, a.want)
		}
	}
}

// TestConnectionWithUnsentBodyIsNotReused guards against an upstream that reads other requests
// where the rest of a long body is due: it has answered before it had read the body, keeps the
// connection and reads on later.
func TestConnectionWithUnsentBodyIsNotReused(t *testing.T) {
	var foreign atomic.Int64
	u := newFakeUpstream(t, func(conn net.Conn, reader *bufio.Reader, n int64) {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, response(request.Header.Get(_idHeader), "early"))
		if n > 1 {
			return
		}
		// The writer gives up after _writeTimeout.
		time.Sleep(_writeTimeout + 500*time.Millisecond)
		body, _ := io.ReadAll(request.Body)
		foreign.Add(int64(len(body) - bytes.Count(body, []byte{0})))
	})
	p := newPool()
	request := u.request("1")
	request.Body = make([]byte, _longBodyBytes)
	if got, err := sendAndRead(t, p, request); got != "early" || err != nil {
		t.Fatalf("got %q, %v, want the early answer", got, err)
	}
	next := u.request("2")
	next.HeadTimeout = 2 * time.Second
	if got, err := sendAndRead(t, p, next); got != "early" || err != nil {
		t.Errorf("the next request: got %q, %v, want its answer", got, err)
	}
	time.Sleep(700 * time.Millisecond)
	if got := foreign.Load(); got != 0 {
		t.Errorf("got %d foreign bytes in a body, want none", got)
	}
	if got, want := u.connections.Load(), int64(2); got != want {
		t.Errorf("connections: got %d, want %d", got, want)
	}
}
