package qlintake

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qladmission"
	"github.com/quetzallane/quetzallane/internal/qlconn"
)

const _refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n\r\nno"

// listener wraps the connections that it accepts in an intake.
type listener struct {
	net.Listener
	intake *Intake
	// accepted receives each accepted connection before it is wrapped.
	accepted chan net.Conn
}

func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.accepted <- conn
	return l.intake.Wrap(conn), nil
}

// serve runs a server that answers with the path and the length of the body, behind
// an intake that refuses requests with a header field Refuse. It returns a caller with
// a connection to the server.
func serve(t *testing.T, closes bool) *testCaller {
	t.Helper()
	done := make(chan struct{}, 16)
	accepted := make(chan net.Conn, 1)
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				t.Errorf("body: %v", err)
			}
			if r.Header.Get("Hold") != "" {
				<-r.Context().Done()
				return
			}
			_, _ = fmt.Fprintf(w, "%s %d", r.URL.Path, len(body))
		}),
		ConnState: func(_ net.Conn, state http.ConnState) {
			if state == http.StateIdle {
				done <- struct{}{}
			}
		},
	}
	go func() {
		_ = server.Serve(&listener{
			Listener: inner,
			accepted: accepted,
			intake: New(Config{
				Customer: func(head Head) (service, customer string) { return "", head.Get("refuse") },
				Decide: func(_, customer string, _ bool) qladmission.Action {
					if customer == "" {
						return qladmission.Handle
					}
					return qladmission.Refuse
				},
				Refusal:     func(Head, qladmission.Action, bool) ([]byte, bool) { return []byte(_refusal), closes },
				IdleTimeout: func() time.Duration { return time.Minute },
			}),
		})
	}()
	t.Cleanup(func() { _ = server.Close() })
	conn, err := net.Dial("tcp4", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return &testCaller{
		t:      t,
		conn:   conn,
		reader: bufio.NewReader(conn),
		server: <-accepted,
		idle:   done,
	}
}

func post(path, fields string, body int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\n%sContent-Length: %d\r\n\r\n%s", path, fields, body, strings.Repeat("x", body))
}

// testCaller sends requests on one connection.
type testCaller struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
	// server is the server's end of the connection. idle receives a value when the
	// server has finished a request.
	server net.Conn
	idle   <-chan struct{}
}

// send writes the pieces, each one after the previous one was read.
func (c *testCaller) send(pieces ...string) {
	c.t.Helper()
	for i, piece := range pieces {
		for end := time.Now().Add(2 * time.Second); i > 0 && qlconn.HasUnreadBytes(c.server) && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		if _, err := io.WriteString(c.conn, piece); err != nil {
			c.t.Fatal(err)
		}
	}
}

// answer returns the body of the next answer.
func (c *testCaller) answer() string {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Fatalf("answer: %v", err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		c.t.Fatalf("answer: %v", err)
	}
	return string(body)
}

func TestRefusalsLeaveOtherRequestsIntact(t *testing.T) {
	refused := post("/r", "Refuse: 1\r\n", 9200)
	chunked := "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
	for _, c := range []struct {
		name string
		// requests are sent in pieces, each one after the previous one was answered.
		requests [][]string
		want     []string
	}{
		{name: "in turn", requests: [][]string{{post("/a", "", 9200)}, {refused}, {refused}, {post("/b", "", 0)}}, want: []string{"/a 9200", "no", "no", "/b 0"}},
		{name: "without a body", requests: [][]string{{"GET /g HTTP/1.1\r\nHost: h\r\n\r\n"}, {refused}}, want: []string{"/g 0", "no"}},
		{name: "a body beyond the buffer", requests: [][]string{{post("/l", "", 300_000)}, {refused}}, want: []string{"/l 300000", "no"}},
		{name: "a body in pieces", requests: [][]string{{refused[:4000], refused[4000:]}, {post("/a", "", 1)}}, want: []string{"no", "/a 1"}},
		{name: "a refused body beyond the buffer", requests: [][]string{{post("/l", "Refuse: 1\r\n", 300_000)}, {post("/a", "", 1)}}, want: []string{"no", "/a 1"}},
		{name: "a head in pieces", requests: [][]string{{refused[:20], refused[20:]}, {refused}}, want: []string{"/r 9200", "/r 9200"}},
		{name: "chunked", requests: [][]string{{chunked}, {post("/a", "", 5)}}, want: []string{"/c 3", "/a 5"}},
	} {
		caller := serve(t, false)
		var got []string
		for _, pieces := range c.requests {
			caller.send(pieces...)
			got = append(got, caller.answer())
			if got[len(got)-1] != "no" {
				<-caller.idle
			}
		}
		if strings.Join(got, ",") != strings.Join(c.want, ",") {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
	}
}

func TestPipelinedRequestsAreAllServed(t *testing.T) {
	caller := serve(t, false)
	caller.send(post("/a", "", 5) + post("/b", "", 7) + post("/c", "", 9200) + post("/d", "", 0))
	for _, want := range []string{"/a 5", "/b 7", "/c 9200", "/d 0"} {
		if got := caller.answer(); got != want {
			t.Errorf("answer: got %q, want %q", got, want)
		}
	}
}

func TestRefusalMayCloseTheConnection(t *testing.T) {
	caller := serve(t, true)
	caller.send(post("/r", "Refuse: 1\r\n", 100))
	if got, want := caller.answer(), "no"; got != want {
		t.Errorf("answer: got %q, want %q", got, want)
	}
	if _, err := caller.conn.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("after the refusal: got %v, want %v", err, io.EOF)
	}
}

func TestServerNoticesDisconnectThroughIntake(t *testing.T) {
	caller := serve(t, false)
	caller.send(post("/h", "Hold: 1\r\n", 9200))
	time.Sleep(20 * time.Millisecond)
	tcp, _ := caller.conn.(*net.TCPConn)
	if err := tcp.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	// The handler returns when its context ends, and the server then closes.
	if _, err := io.ReadAll(caller.conn); err != nil {
		t.Errorf("reading until the server closes the connection: %v", err)
	}
}

// FuzzRequestEnds compares the end of a request as found by parse with the end as
// found by the standard library's server.
func FuzzRequestEnds(f *testing.F) {
	f.Add([]byte(post("/a", "", 10)))
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\nGET"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nA: b\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\n Content-Length: 1\r\n\r\nx"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +1\r\n\r\nx"))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, length, ok := parse(data)
		if !ok || length > len(data) {
			return
		}
		source := bytes.NewReader(data)
		reader := bufio.NewReader(source)
		request, err := http.ReadRequest(reader)
		if err != nil {
			// The server answers 400 and closes the connection.
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			t.Fatalf("body of %q: %v", data, err)
		}
		if got, want := len(data)-source.Len()-reader.Buffered(), length; got != want {
			t.Errorf("%q: the server reads %d bytes, the intake expects %d", data, got, want)
		}
	})
}
