package qledge

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qlengine"
	"github.com/quetzallane/quetzallane/internal/qlforward"
	"github.com/quetzallane/quetzallane/internal/qlroute"
	"github.com/quetzallane/quetzallane/internal/qlsetting"
	"go.uber.org/zap"
)

// The headers of the tests' requests and answers.
const (
	_idHeader        = "Id"
	_promptHeader    = "Prompt"
	_signatureHeader = "Signature"
	// _workHeader states for how long an upstream works on a request, in milliseconds.
	_workHeader = "Work"
	// _largeHeader asks an upstream for an answer of _largeBytes.
	_largeHeader = "Large"
)

// _largeBytes is more than the socket of a caller that does not read holds, see dialSlow.
const _largeBytes = 240 << 10

// The paths of the routes of addRoutes.
const (
	_lookupPath = "/look/x"
	_orderPath  = "/order/x"
	_streamPath = "/stream/x"
)

// _streamEvents is how many events upstreams send on a stream.
const _streamEvents = 4

// _processVariable holds the parameters of a router that runs as a process of its own.
const _processVariable = "QLEDGE_TEST_PROCESS"

// testDialect returns a dialect whose headers are named after what they carry.
func testDialect() qlforward.Dialect {
	return qlforward.Dialect{
		ReadCaller: func(header http.Header) qlforward.Caller {
			caller := qlforward.Caller{
				ID:          header.Get(_idHeader),
				Key:         header.Get(_keyHeader),
				LastEventID: -1,
			}
			if header.Get(_promptHeader) != "" {
				caller.Prompt = &qlengine.Prompt{
					Tokens:          10,
					MaxOutputTokens: 10,
				}
			}
			return caller
		},
		ReadHead:    func(get func(name string) string) (id, key string) { return get(_idHeader), get(_keyHeader) },
		ReadTimeout: func(func(name string) string) time.Duration { return 0 },
		SetOutgoing: func(http.Header, qlforward.Outgoing) {},
		ReadAnswer: func(response *http.Response) qlforward.Answer {
			return qlforward.Answer{
				Signed: response.Header.Get(_signatureHeader) != "",
			}
		},
	}
}

// addRoutes adds a route for lookups, one for orders, which must not run twice, and one for
// streams of an engine, to one upstream of each service.
func (s *fakeStore) addRoutes(address string) {
	route := func(path, service string, kind qlroute.Kind, attempts int) qlroute.RouteConfig {
		return qlroute.RouteConfig{
			Name:        strings.Trim(path, "/x"),
			Host:        "h",
			Prefix:      strings.TrimSuffix(path, "x"),
			Kind:        kind,
			Timeout:     15 * time.Second,
			Goal:        500 * time.Millisecond,
			Targets:     []qlroute.Target{{Service: service, Weight: 1}},
			MaxAttempts: attempts,
		}
	}
	s.routes = []qlroute.RouteConfig{
		route(_lookupPath, "plain", qlroute.Idempotent, 1),
		route(_orderPath, "plain", qlroute.NonIdempotent, 1),
		route(_streamPath, "engines", qlroute.Streaming, 1),
	}
	s.services = []qlroute.ServiceConfig{
		{Name: "plain"},
		{Name: "engines", Engine: &qlroute.EngineConfig{Slots: 100, Memory: 100000, TokensPerEvent: 10}},
	}
	s.upstreams = map[string]uint64{"plain": 5, "engines": 5}
	s.addresses = map[string]string{"plain": address, "engines": address}
}

// workingUpstream works on each request for the time that it states, and records which
// have begun.
type workingUpstream struct {
	*httptest.Server
	mu    sync.Mutex
	begun map[string]int
}

func newWorkingUpstream(t testing.TB) *workingUpstream {
	t.Helper()
	u := &workingUpstream{
		begun: make(map[string]int),
	}
	u.Server = httptest.NewServer(u)
	t.Cleanup(func() {
		u.CloseClientConnections()
		u.Close()
	})
	return u
}

func (u *workingUpstream) address() string {
	return strings.TrimPrefix(u.URL, "http://")
}

func (u *workingUpstream) runs(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.begun[id]
}

// ServeHTTP answers after the work. A stream's events come evenly spread over it.
func (u *workingUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	u.mu.Lock()
	u.begun[r.Header.Get(_idHeader)]++
	u.mu.Unlock()
	ms, err := strconv.Atoi(r.Header.Get(_workHeader))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	work := time.Duration(ms) * time.Millisecond
	w.Header().Set(_idHeader, r.Header.Get(_idHeader))
	w.Header().Set(_signatureHeader, "s")
	if r.URL.Path != _streamPath {
		sleep(r.Context(), work)
		if r.Header.Get(_largeHeader) != "" {
			_, _ = io.WriteString(w, strings.Repeat("x", _largeBytes))
			return
		}
		_, _ = io.WriteString(w, "whole")
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range _streamEvents {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i)
		_ = http.NewResponseController(w).Flush()
		sleep(r.Context(), work/_streamEvents)
	}
	_, _ = io.WriteString(w, "id: 4\ndata: whole\n\n")
}

// processParameters are what a router's process is told.
type processParameters struct {
	Settings *qlsetting.Edge
	Upstream string
}

// TestRouterProcess is not a test: it is the process that startProcess starts.
func TestRouterProcess(t *testing.T) {
	text := os.Getenv(_processVariable)
	if text == "" {
		t.Skip("runs only as a process of other tests")
	}
	var parameters processParameters
	if err := json.Unmarshal([]byte(text), &parameters); err != nil {
		t.Fatal(err)
	}
	store := newFakeStore()
	store.addRoutes(parameters.Upstream)
	edge, err := New(Config{
		Settings: parameters.Settings,
		Source:   store.source(),
		Dialect:  testDialect(),
		Log:      zap.NewExample(zap.IncreaseLevel(zap.WarnLevel)),
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer cancel()
	if err := edge.Run(ctx); err != nil {
		t.Log(err)
		os.Exit(1)
	}
	os.Exit(0)
}

// routerProcess is a router that runs as a process of its own, so that its end closes what
// is still open.
type routerProcess struct {
	callers string
	command *exec.Cmd
	// exited is closed once the process has ended.
	exited chan struct{}
	output processOutput
}

// processOutput holds what a process has written.
type processOutput struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (o *processOutput) Write(data []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(data)
}

func (o *processOutput) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// startProcess starts a router and waits until it serves requests.
func startProcess(t *testing.T, settings *qlsetting.Edge, upstream string) *routerProcess {
	t.Helper()
	text, err := json.Marshal(processParameters{
		Settings: settings,
		Upstream: upstream,
	})
	if err != nil {
		t.Fatal(err)
	}
	p := &routerProcess{
		callers: settings.CallerAddress,
		command: exec.Command(os.Args[0], "-test.run=^TestRouterProcess$"),
		exited:  make(chan struct{}),
	}
	p.command.Stdout, p.command.Stderr = &p.output, &p.output
	p.command.Env = append(os.Environ(), _processVariable+"="+string(text))
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		defer close(p.exited)
		_ = p.command.Wait()
	}()
	t.Cleanup(func() {
		_ = p.command.Process.Kill()
		<-p.exited
		if t.Failed() {
			t.Logf("output of the router:\n%s", p.output.String())
		}
	})
	for _, path := range []string{_orderPath, _streamPath} {
		for end := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
			if c, err := dialRouter(p.callers); err == nil && c.ask(path, "first", 0).status == http.StatusOK {
				break
			}
			if time.Now().After(end) {
				t.Fatalf("the router did not serve %s within 5 s", path)
			}
		}
	}
	return p
}

// stop sends the signal of a planned stop and waits until answers ask to close connections.
func (p *routerProcess) stop(t *testing.T) {
	t.Helper()
	if err := p.command.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(time.Second); ; time.Sleep(time.Millisecond) {
		if c, err := dialRouter(p.callers); err == nil && c.ask(_lookupPath, "stopping", 0).closes {
			return
		}
		if time.Now().After(end) {
			t.Fatal("the router did not begin its stop within 1 s")
		}
	}
}

// routerCaller is a caller with one kept connection.
type routerCaller struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dialRouter(address string) (*routerCaller, error) {
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &routerCaller{
		conn:   conn,
		reader: bufio.NewReader(conn),
	}, errors.Trace(conn.SetDeadline(time.Now().Add(15 * time.Second)))
}

// routerAnswer is what a caller got.
type routerAnswer struct {
	// status is 0 if no head of an answer came.
	status     int
	retryAfter string
	closes     bool
	// whole is set if the answer is complete.
	whole bool
	body  string
	err   error
}

// routerRequest returns the bytes of a request on which an upstream works for the time.
func routerRequest(path, id string, work time.Duration) string {
	prompt := ""
	if path == _streamPath {
		prompt = _promptHeader + ": 1\r\n"
	}
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: %s\r\n%s: %d\r\n%sContent-Length: 4\r\n\r\nbody",
		path, _keyHeader, _lightCustomer, _idHeader, id, _workHeader, work.Milliseconds(), prompt)
}

// ask sends a request and reads its answer.
func (c *routerCaller) ask(path, id string, work time.Duration) routerAnswer {
	if _, err := io.WriteString(c.conn, routerRequest(path, id, work)); err != nil {
		return routerAnswer{err: err}
	}
	return c.read()
}

// read reads an answer.
func (c *routerCaller) read() routerAnswer {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return routerAnswer{err: err}
	}
	body, err := io.ReadAll(response.Body)
	if closeErr := response.Body.Close(); err == nil && closeErr != nil && !errors.Is(closeErr, net.ErrClosed) {
		err = closeErr
	}
	return routerAnswer{
		status:     response.StatusCode,
		retryAfter: response.Header.Get("Retry-After"),
		closes:     response.Close,
		whole:      err == nil,
		body:       string(body),
		err:        err,
	}
}
