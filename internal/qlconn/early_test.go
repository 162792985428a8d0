package qlconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
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
