package qlintake

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qladmission"
	"github.com/quetzallane/quetzallane/internal/qloffload"
	"go.uber.org/zap"
)

// offloadingServer is a server whose intake offloads all requests to another router.
type offloadingServer struct {
	t        *testing.T
	address  string
	declines atomic.Bool
	// handles makes the intake leave all requests to the server.
	handles atomic.Bool
	// idleTimeout is how long connections may be idle, and lateEnd for how long the end of
	// the next offloaded answer pauses; both are in nanoseconds.
	idleTimeout atomic.Int64
	lateEnd     atomic.Int64
	// waited is how long the last request had waited when the other router began to handle it,
	// in nanoseconds.
	waited atomic.Int64
	// timeLimit is for how long answers of the other router are waited for, in nanoseconds; 0
	// for no limit.
	timeLimit atomic.Int64
	// asksToClose makes offloaded answers the last ones of their connections.
	asksToClose atomic.Bool
	// begun counts the requests that the server has begun to handle.
	begun atomic.Int64
	other *qloffload.Server
	// others is the address at which the other router takes requests.
	others    string
	offloader *qloffload.Offloader
	intake    *Intake
	// left receives a value when the other router's request is canceled.
	left chan struct{}
	// held makes the other router hold requests to /held until it is closed.
	held chan struct{}
	// states counts what the intake told about connections, and callersLeft about callers.
	active      atomic.Int64
	idle        atomic.Int64
	callersLeft atomic.Int64
}

func newOffloadingServer(t *testing.T) *offloadingServer {
	t.Helper()
	s := &offloadingServer{
		t:    t,
		left: make(chan struct{}, 1),
		held: make(chan struct{}),
	}
	s.idleTimeout.Store(int64(time.Minute))
	s.other = qloffload.NewServer(qloffload.ServerConfig{
		Handler:  http.HandlerFunc(s.serveOther),
		Declines: func(qloffload.Stamp) bool { return s.declines.Load() },
		Log:      zap.NewNop(),
	})
	others := s.listen()
	s.others = others.Addr().String()
	go func() { _ = s.other.Serve(others) }()
	started := time.Now()
	s.offloader = qloffload.New(qloffload.Config{
		Lag:      func() time.Duration { return 0 },
		MemoryMB: 100,
		TimedOut: func() []byte { return []byte(_timedOutAnswer) },
		Clock:    func() time.Duration { return time.Since(started) },
		Log:      zap.NewNop(),
	})
	s.offloader.Peers().Set(0, []qloffload.Peer{qloffload.NewPeer(s.others, 1)})
	t.Cleanup(s.offloader.Close)
	inner := s.listen()
	s.address = inner.Addr().String()
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.begun.Add(1)
			body, _ := io.ReadAll(r.Body)
			if r.URL.Path == "/work" {
				select {
				case <-r.Context().Done():
					panic(http.ErrAbortHandler)
				case <-time.After(_work):
				}
			}
			_, _ = fmt.Fprintf(w, "here %d", len(body))
		}),
	}
	s.intake = New(Config{
		Customer: func(Head) (service, customer string) { return "", "" },
		Decide: func(_, _ string, offloadable bool) qladmission.Action {
			if ready, _ := s.offloader.Ready(); offloadable && ready && !s.handles.Load() {
				return qladmission.Offload
			}
			return qladmission.Handle
		},
		DecideDeclined: func(string, string) qladmission.Action { return qladmission.Handle },
		OnLeft:         func(string, string) { s.callersLeft.Add(1) },
		IdleTimeout: func() time.Duration {
			time.Sleep(time.Duration(s.lateEnd.Swap(0)))
			return time.Duration(s.idleTimeout.Load())
		},
		Offloader: s.offloader,

		MaxPendingBytes: _maxPendingSum,
		TimeLimit:       func(Head) time.Duration { return time.Duration(s.timeLimit.Load()) },
		Stamp: func() qloffload.Stamp {
			return qloffload.Stamp{
				AskToClose: s.asksToClose.Load(),
			}
		},
		OnState: func(_ net.Conn, state http.ConnState) {
			if state == http.StateActive {
				s.active.Add(1)
				return
			}
			s.idle.Add(1)
		},
	})
	go func() {
		_ = server.Serve(&listener{
			Listener: inner,
			accepted: make(chan net.Conn, 100),
			intake:   s.intake,
		})
	}()
	t.Cleanup(func() { _ = server.Close() })
	s.dial().awaitOffloading()
	return s
}

func (s *offloadingServer) listen() net.Listener {
	s.t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = l.Close() })
	return l
}

// _hugeBlocks is the length of an answer that is larger than all buffers together, in units of
// 16 KiB.
const _hugeBlocks = 1024

// _largeBytes is more than the connection of a caller of dialSlow holds, if it does not read.
const _largeBytes = 16 * (32 << 10)

const (
	_timedOutBody   = "timed out"
	_timedOutAnswer = "HTTP/1.1 504 Gateway Timeout\r\nContent-Length: 9\r\n\r\n" + _timedOutBody
)

// _maxPendingSum is how much may wait for all callers together.
const _maxPendingSum = 2 << 20

// _work is how long a request to /work takes.
const _work = 600 * time.Millisecond

func (s *offloadingServer) serveOther(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if origin, ok := qloffload.OriginOf(r.Context()); ok {
		s.waited.Store(int64(origin.Waited()))
	}
	_, _ = fmt.Fprintf(w, "there %d", len(body))
	controller := http.NewResponseController(w)
	switch r.URL.Path {
	case "/broken":
		_ = controller.Flush()
		panic(http.ErrAbortHandler)
	case "/large", "/huge":
		blocks, size := _largeBytes/(32<<10), 32<<10
		if r.URL.Path == "/huge" {
			blocks, size = _hugeBlocks, 16<<10
		}
		for range blocks {
			_, _ = w.Write(bytes.Repeat([]byte("x"), size))
			_ = controller.Flush()
		}
	case "/work":
		_ = controller.Flush()
		select {
		case <-r.Context().Done():
		case <-time.After(_work):
		}
		_, _ = w.Write(bytes.Repeat([]byte("x"), _largeBytes))
	case "/events":
		for range 2 {
			_ = controller.Flush()
			_, _ = io.WriteString(w, " event")
		}
		_ = controller.Flush()
	case "/held", "/heldbroken", "/largeheld":
		if r.URL.Path == "/largeheld" {
			_, _ = w.Write(bytes.Repeat([]byte("x"), _largeBytes))
		}
		_ = controller.Flush()
		select {
		case <-r.Context().Done():
			s.left <- struct{}{}
		case <-s.held:
		}
		if r.URL.Path == "/heldbroken" {
			panic(http.ErrAbortHandler)
		}
	}
}

// offloadCaller is a caller with one connection.
type offloadCaller struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func (s *offloadingServer) dial() *offloadCaller {
	s.t.Helper()
	conn, err := net.Dial("tcp4", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	return s.caller(conn)
}

func (s *offloadingServer) caller(conn net.Conn) *offloadCaller {
	s.t.Helper()
	s.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	return &offloadCaller{
		t:      s.t,
		conn:   conn,
		reader: bufio.NewReader(conn),
	}
}

// dialSlow opens a connection with small buffers.
func (s *offloadingServer) dialSlow() *offloadCaller {
	s.t.Helper()
	const (
		segmentBytes = 536
		bufferBytes  = 4096
	)
	dialer := net.Dialer{
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optionErr error
			err := raw.Control(func(descriptor uintptr) {
				optionErr = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes)
				if optionErr == nil {
					optionErr = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bufferBytes)
				}
			})
			if err != nil {
				return err
			}
			return optionErr
		},
	}
	conn, err := dialer.Dial("tcp4", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	return s.caller(conn)
}

// ask sends a request, in pieces, and returns the body of the answer, or the error.
func (c *offloadCaller) ask(pieces ...string) string {
	c.t.Helper()
	for _, piece := range pieces {
		if _, err := io.WriteString(c.conn, piece); err != nil {
			return err.Error()
		}
		if len(pieces) > 1 {
			time.Sleep(10 * time.Millisecond)
		}
	}
	return c.read()
}

// awaitDelivery waits until a whole answer waits for its caller.
func (s *offloadingServer) awaitDelivery() {
	s.t.Helper()
	for end := time.Now().Add(2 * time.Second); s.offloader.Delivering() == 0 || s.offloader.Active() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatal("no answer waits for its caller within 2 s")
		}
	}
}

// awaitOffloading sends requests until one is offloaded.
func (c *offloadCaller) awaitOffloading() {
	c.t.Helper()
	for end := time.Now().Add(2 * time.Second); !strings.HasPrefix(c.ask(post("/", "", 1)), "there"); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			c.t.Fatal("no request was offloaded within 2 s")
		}
	}
}

func (c *offloadCaller) read() string {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err.Error()
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err.Error()
	}
	return string(body)
}

// TestRequestWhoseCallerLeftBeforeItWasPassedOnIsReported guards against requests that nobody
// has decided on and that count as placed.
func TestRequestWhoseCallerLeftBeforeItWasPassedOnIsReported(t *testing.T) {
	s := newOffloadingServer(t)
	taken := s.other.Taken()
	caller := s.dial()
	if _, err := io.WriteString(caller.conn, post("/", "", 5000)[:3000]); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond)
	if err := caller.conn.Close(); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(time.Second); s.callersLeft.Load() == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if got, want := s.callersLeft.Load(), int64(1); got != want || s.other.Taken() != taken {
		t.Errorf("callers that left: got %d, want %d; passed on %d, want none", got, want, s.other.Taken()-taken)
	}
}

func TestOffloadedAndOtherRequestsTakeTurns(t *testing.T) {
	s := newOffloadingServer(t)
	caller := s.dial()
	for i, c := range []struct {
		declines bool
		pieces   []string
		want     string
	}{
		{pieces: []string{post("/", "", 10)}, want: "there 10"},
		{declines: true, pieces: []string{post("/", "", 11)}, want: "here 11"},
		{pieces: []string{post("/", "", 9000)}, want: "there 9000"},
		{pieces: []string{post("/", "", 40000)}, want: "there 40000"},
		{declines: true, pieces: []string{post("/", "", 40001)}, want: "here 40001"},
		{pieces: []string{post("/", "", qloffload.MaxRequestBytes)}, want: fmt.Sprint("here ", qloffload.MaxRequestBytes)},
		{pieces: []string{post("/", "", 5000)[:3000], post("/", "", 5000)[3000:]}, want: "there 5000"},
		{pieces: []string{"GET / HTTP/1.1\r\nHost: h\r\nExpect: x\r\n\r\n"}, want: ""},
	} {
		s.declines.Store(c.declines)
		got := caller.ask(c.pieces...)
		if c.want != "" && got != c.want {
			t.Errorf("request %d: got %q, want %q", i, got, c.want)
		}
		if strings.HasPrefix(c.want, "here") {
			// A router that has declined a request is left alone for a while. The server
			// also gets a request that arrives before it has ended the one before.
			time.Sleep(250 * time.Millisecond)
		}
	}
	if got, want := s.idle.Load(), s.active.Load(); got == 0 || got > want {
		t.Errorf("connections became idle %d times and active %d times", got, want)
	}
}

func TestPipelinedRequestsAreNotOffloaded(t *testing.T) {
	s := newOffloadingServer(t)
	caller := s.dial()
	if got, want := caller.ask(post("/", "", 3)+post("/", "", 4)), "here 3"; got != want {
		t.Errorf("first: got %q, want %q", got, want)
	}
	if got, want := caller.read(), "here 4"; !strings.HasSuffix(got, " 4") {
		t.Errorf("second: got %q, want %q", got, want)
	}
}

// TestBrokenOffloadedAnswerIsNotComplete guards against half an answer that a caller takes
// for a whole one.
func TestBrokenOffloadedAnswerIsNotComplete(t *testing.T) {
	s := newOffloadingServer(t)
	if got := s.dial().ask(post("/broken", "", 1)); strings.HasPrefix(got, "there") {
		t.Errorf("got a complete answer %q", got)
	}
}

func TestLargeOffloadedAnswerIsWhole(t *testing.T) {
	s := newOffloadingServer(t)
	caller := s.dialSlow()
	if _, err := io.WriteString(caller.conn, post("/large", "", 1)); err != nil {
		t.Fatal(err)
	}
	// The caller reads late, so that the answer does not fit its connection.
	s.awaitDelivery()
	if got, want := len(caller.read()), len("there 1")+_largeBytes; got != want {
		t.Errorf("body: got %d bytes, want %d", got, want)
	}
	if got, want := caller.ask(post("/", "", 2)), "there 2"; got != want {
		t.Errorf("next request: got %q, want %q", got, want)
	}
}

// TestRequestOfCallerThatHasLeftIsNotOffloaded guards against requests that wait unread at
// an overloaded router until their callers give up, and run then.
func TestRequestOfCallerThatHasLeftIsNotOffloaded(t *testing.T) {
	s := newOffloadingServer(t)
	inner := s.listen()
	caller, err := net.Dial("tcp4", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := inner.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = accepted.Close() }()
	if _, err := io.WriteString(caller, post("/", "", 1)); err != nil {
		t.Fatal(err)
	}
	_ = caller.Close()
	time.Sleep(50 * time.Millisecond)
	taken := s.other.Taken()
	if n, err := s.intake.Wrap(accepted).Read(make([]byte, 4096)); err != io.EOF {
		t.Errorf("read: got %d bytes, %v, want io.EOF", n, err)
	}
	time.Sleep(50 * time.Millisecond)
	if got := s.other.Taken(); got != taken {
		t.Errorf("requests at the other router: got %d, want %d", got, taken)
	}
}

func TestCallerThatLeavesCancelsOffloadedRequest(t *testing.T) {
	s := newOffloadingServer(t)
	caller := s.dial()
	if _, err := io.WriteString(caller.conn, post("/held", "", 1)); err != nil {
		t.Fatal(err)
	}
	if _, err := caller.reader.ReadByte(); err != nil {
		t.Fatal(err)
	}
	_ = caller.conn.Close()
	select {
	case <-s.left:
	case <-time.After(2 * time.Second):
		t.Error("the request was not canceled within 2 s")
	}
}

// TestSlowCallerGetsNoAnswerWithAGap guards against a part of an answer that is dropped since
// its caller reads slowly, while the parts after it arrive and end the answer.
func TestSlowCallerGetsNoAnswerWithAGap(t *testing.T) {
	s := newOffloadingServer(t)
	caller := s.dial()
	tcp, _ := caller.conn.(*net.TCPConn)
	if err := tcp.SetReadBuffer(128 << 10); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(caller.conn, post("/huge", "", 1)); err != nil {
		t.Fatal(err)
	}
	time.Sleep(300 * time.Millisecond)
	got := caller.read()
	if want := len("there 1") + _hugeBlocks*(16<<10); strings.HasPrefix(got, "there 1") && len(got) != want {
		t.Errorf("got an answer of %d bytes that looks whole, want %d", len(got), want)
	}
}
