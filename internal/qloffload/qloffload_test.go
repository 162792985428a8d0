package qloffload

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
)

// testFleet is an offloading router and one that takes requests.
type testFleet struct {
	t         *testing.T
	offloader *Offloader
	server    *Server
	listener  net.Listener
	declines  atomic.Bool
	// ended receives the paths of requests whose context has ended.
	ended chan string
}

func newTestFleet(t *testing.T) *testFleet {
	t.Helper()
	f := &testFleet{
		t:     t,
		ended: make(chan string, 8),
	}
	var err error
	if f.listener, err = net.Listen("tcp4", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	f.server = NewServer(ServerConfig{
		Handler:  f,
		Declines: func(Stamp) bool { return f.declines.Load() },
		Log:      zap.NewNop(),
	})
	go func() { _ = f.server.Serve(f.listener) }()
	started := time.Now()
	f.offloader = New(Config{
		Lag:      func() time.Duration { return 0 },
		MemoryMB: 100,
		Clock:    func() time.Duration { return time.Since(started) },
		Log:      zap.NewNop(),
	})
	f.offloader.Peers().Set(0, []Peer{NewPeer(f.listener.Addr().String(), 1000)})
	t.Cleanup(func() {
		f.offloader.Close()
		_ = f.listener.Close()
	})
	return f
}

// ServeHTTP answers by the path of the request.
func (f *testFleet) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	controller := http.NewResponseController(w)
	switch r.URL.Path {
	case "/plain":
		body, _ := io.ReadAll(r.Body)
		_, _ = fmt.Fprintf(w, "got %s", body)
	case "/stream", "/broken", "/held":
		for i := range 3 {
			_, _ = fmt.Fprintf(w, "event %d\n", i)
			if err := controller.Flush(); err != nil {
				f.t.Errorf("flush: %v", err)
			}
		}
		if r.URL.Path == "/broken" {
			panic(http.ErrAbortHandler)
		}
		if r.URL.Path == "/held" {
			<-r.Context().Done()
			f.ended <- r.URL.Path
		}
	case "/silent":
		<-r.Context().Done()
		f.ended <- r.URL.Path
	case "/over-share", "/over-share-broken":
		if origin, ok := OriginOf(r.Context()); ok {
			origin.SetOverShare()
		}
		w.WriteHeader(http.StatusTooManyRequests)
		if r.URL.Path == "/over-share-broken" {
			panic(http.ErrAbortHandler)
		}
	case "/panic":
		panic("fault in the handler")
	}
}

// answer is what a caller got.
type answer struct {
	mu      sync.Mutex
	body    bytes.Buffer
	outcome chan Outcome
}

func (a *answer) String() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.body.String()
}

// awaitText waits up to 2 s until the answer has the text.
func (a *answer) awaitText(text string) {
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if strings.Contains(a.String(), text) {
			return
		}
	}
}

// start offloads a request. It tries until the link is open.
func (f *testFleet) start(request string) (*Exchange, *answer) {
	f.t.Helper()
	a := &answer{
		outcome: make(chan Outcome, 1),
	}
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		exchange := f.offloader.Start([]byte(request), Stamp{}, Caller{
			Write: func(data []byte) error {
				a.mu.Lock()
				defer a.mu.Unlock()
				a.body.Write(data)
				return nil
			},
			Finish: func(outcome Outcome) { a.outcome <- outcome },
		})
		if exchange != nil {
			return exchange, a
		}
	}
	f.t.Fatal("no link was opened within 2 s")
	return nil, nil
}

func (f *testFleet) awaitOutcome(a *answer, want Outcome) {
	f.t.Helper()
	select {
	case got := <-a.outcome:
		if got != want {
			f.t.Errorf("outcome: got %d, want %d", got, want)
		}
	case <-time.After(2 * time.Second):
		f.t.Errorf("outcome: got none within 2 s, want %d", want)
	}
}

func get(path string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n"
}

func TestAnswersArePassedOn(t *testing.T) {
	f := newTestFleet(t)
	for _, c := range []struct {
		request string
		want    string
	}{
		{request: "POST /plain HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody", want: "Content-Length: 8\r\n|got body"},
		{request: get("/stream"), want: "Transfer-Encoding: chunked\r\n|8\r\nevent 0\n\r\n8\r\nevent 1\n\r\n8\r\nevent 2\n\r\n0\r\n\r\n"},
	} {
		_, a := f.start(c.request)
		f.awaitOutcome(a, Answered)
		head, body, _ := strings.Cut(a.String(), "\r\n\r\n")
		field, want, _ := strings.Cut(c.want, "|")
		if got := head + "\r\n"; !strings.HasPrefix(got, "HTTP/1.1 200 OK\r\n") || !strings.Contains(got, field) {
			t.Errorf("head: got %q, want status 200 and %q", got, field)
		}
		if body != want {
			t.Errorf("body: got %q, want %q", body, want)
		}
	}
}

// TestManyRequestsShareOneLink checks that answers are not mixed up.
func TestManyRequestsShareOneLink(t *testing.T) {
	f := newTestFleet(t)
	var running sync.WaitGroup
	for i := range 200 {
		text := fmt.Sprintf("%04d", i)
		running.Go(func() {
			_, a := f.start("POST /plain HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n" + text)
			f.awaitOutcome(a, Answered)
			if got, want := a.String(), "\r\n\r\ngot "+text; !strings.HasSuffix(got, want) {
				t.Errorf("answer: got %q, want one that ends with %q", got, want)
			}
		})
	}
	running.Wait()
	if got, want := len(f.offloader.links), 1; got != want {
		t.Errorf("links: got %d, want %d", got, want)
	}
}

func TestBrokenAnswerIsNotComplete(t *testing.T) {
	f := newTestFleet(t)
	for _, path := range []string{"/broken", "/panic"} {
		_, a := f.start(get(path))
		f.awaitOutcome(a, Broken)
		if got := a.String(); strings.HasSuffix(got, "0\r\n\r\n") {
			t.Errorf("%s: got a complete answer %q", path, got)
		}
	}
}

func TestDeclinedRequestIsNotHandled(t *testing.T) {
	f := newTestFleet(t)
	f.declines.Store(true)
	_, a := f.start(get("/plain"))
	f.awaitOutcome(a, NotTaken)
	if got := a.String(); got != "" {
		t.Errorf("answer: got %q, want none", got)
	}
	if got, want := f.server.Taken(), uint64(0); got != want {
		t.Errorf("handled: got %d, want %d", got, want)
	}
	if _, ok := f.offloader.Peers().Choose(f.offloader.config.Clock(), 0); ok {
		t.Error("the router that has declined is asked again at once")
	}
}

func TestLeavingCallerCancelsItsRequest(t *testing.T) {
	f := newTestFleet(t)
	exchange, a := f.start(get("/held"))
	a.awaitText("event 2")
	exchange.Cancel()
	f.awaitOutcome(a, Broken)
	select {
	case <-f.ended:
	case <-time.After(2 * time.Second):
		t.Error("the request's context did not end within 2 s")
	}
}

// TestLostLinkBreaksAnswers guards against an answer that looks complete, and against a
// request that waits for ever.
func TestLostLinkBreaksAnswers(t *testing.T) {
	f := newTestFleet(t)
	_, a := f.start(get("/held"))
	a.awaitText("event 2")
	f.server.mu.Lock()
	for l := range f.server.links {
		_ = l.conn.SetLinger(0)
		_ = l.conn.Close()
	}
	f.server.mu.Unlock()
	f.awaitOutcome(a, Broken)
	if got, want := f.offloader.Active(), int64(0); got != want {
		t.Errorf("active requests: got %d, want %d", got, want)
	}
}

// TestUnsentRequestIsNotTaken breaks a link while a request waits in its queue.
func TestUnsentRequestIsNotTaken(t *testing.T) {
	f := newTestFleet(t)
	tcp, _ := newTestPair(t)
	fillConnection(t, tcp)
	l := &link{
		offloader: f.offloader,
		address:   "x",
		conn:      tcp,
		exchanges: make(map[uint32]*Exchange),
	}
	var err error
	if l.queue, err = newSendQueue(tcp, l.markSent); err != nil {
		t.Fatal(err)
	}
	a := &answer{
		outcome: make(chan Outcome, 1),
	}
	exchange := &Exchange{
		offloader: f.offloader,
		caller: Caller{
			Finish: func(outcome Outcome) { a.outcome <- outcome },
		},
		done: make(chan struct{}),
	}
	if sent, _ := l.start(exchange, Stamp{}, []byte(get("/plain"))); !sent {
		t.Fatal("the request was not queued")
	}
	l.fail(io.EOF)
	f.awaitOutcome(a, NotTaken)
}

func TestShutdownFinishesRequests(t *testing.T) {
	f := newTestFleet(t)
	_, a := f.start(get("/held"))
	a.awaitText("event 2")
	_, other := f.start(get("/plain"))
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	began := time.Now()
	f.server.Shutdown(ctx)
	if took := time.Since(began); took < 200*time.Millisecond {
		t.Errorf("the shutdown took %v, want it to wait for the request", took)
	}
	f.awaitOutcome(other, Answered)
}

func TestStampIsCarried(t *testing.T) {
	want := Stamp{
		Revision:   1 << 40,
		Waited:     1500 * time.Millisecond,
		AskToClose: true,
	}
	frame := appendRequest(nil, 7, want, []byte("request"))
	var frames frameReader
	calls := 0
	for i := range frame {
		err := frames.read(frame[i:i+1], func(kind frameKind, id uint32, payload []byte) error {
			calls++
			got, request, err := splitRequest(payload)
			if got != want || string(request) != "request" || kind != frameRequest || id != 7 || err != nil {
				t.Errorf("got %+v %q %d %d %v, want %+v", got, request, kind, id, err, want)
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if calls != 1 {
		t.Errorf("frames: got %d, want 1", calls)
	}
}

// FuzzFrames feeds arbitrary bytes, cut at an arbitrary place: the frames must not depend
// on that.
func FuzzFrames(f *testing.F) {
	f.Add(appendFrame(appendRequest(nil, 1, Stamp{}, []byte("x")), frameEnd, 2, nil), 5)
	f.Add([]byte{3, 0, 0, 0, 1, 255, 255, 255, 255}, 2)
	f.Fuzz(func(t *testing.T, data []byte, cut int) {
		collect := func(parts ...[]byte) string {
			var frames frameReader
			var got strings.Builder
			for _, part := range parts {
				err := frames.read(part, func(kind frameKind, id uint32, payload []byte) error {
					fmt.Fprintf(&got, "%d %d %x\n", kind, id, payload)
					return nil
				})
				if err != nil {
					got.WriteString("error")
					break
				}
			}
			return got.String()
		}
		cut = min(max(cut, 0), len(data))
		if got, want := collect(data[:cut], data[cut:]), collect(data); got != want {
			t.Errorf("cut at %d: got %q, want %q", cut, got, want)
		}
	})
}
