package qlforward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlbudget"
	"github.com/quetzallane/quetzallane/internal/qlcatalog"
	"github.com/quetzallane/quetzallane/internal/qlengine"
	"github.com/quetzallane/quetzallane/internal/qlplace"
	"github.com/quetzallane/quetzallane/internal/qlposition"
	"github.com/quetzallane/quetzallane/internal/qlquarantine"
	"github.com/quetzallane/quetzallane/internal/qlroute"
	"go.uber.org/zap"
)

// testDialect returns a dialect whose headers are named after the fields that
// they carry.
func testDialect() Dialect {
	return Dialect{
		ReadCaller: func(header http.Header) Caller {
			caller := Caller{
				ID:          header.Get("Id"),
				Key:         header.Get("Key"),
				LastEventID: -1,
			}
			if ms, err := strconv.Atoi(header.Get("Timeout")); err == nil {
				caller.Timeout = time.Duration(ms) * time.Millisecond
			}
			if header.Get("Prompt") != "" {
				caller.Prompt = testPrompt(header.Get("Prompt"))
			}
			return caller
		},
		ReadHead: func(get func(name string) string) (id, key string) { return get("Id"), get("Key") },
		ReadTimeout: func(get func(name string) string) time.Duration {
			ms, err := strconv.Atoi(get("Timeout"))
			if err != nil {
				return 0
			}
			return time.Duration(ms) * time.Millisecond
		},
		SetOutgoing: func(header http.Header, outgoing Outgoing) {
			header.Del("Customer")
			header.Set("Remaining-Timeout", strconv.FormatInt(outgoing.Timeout.Milliseconds(), 10))
			header.Set("Expect-Id", outgoing.Upstream)
			if outgoing.Customer != "" {
				header.Set("Customer", outgoing.Customer)
			}
			if outgoing.HideKey {
				header.Del("Key")
			}
			if outgoing.LastEventID >= 0 {
				header.Set("Last-Event-Id", strconv.FormatInt(outgoing.LastEventID, 10))
			}
		},
		ReadAnswer: func(response *http.Response) Answer {
			return Answer{
				NotRun: response.Header.Get("Not-Run") != "",
				Signed: response.Header.Get("Signature") != "",
			}
		},
	}
}

// testPrompt returns a prompt with the segments of a comma-separated list of IDs in
// hexadecimal.
func testPrompt(list string) *qlengine.Prompt {
	prompt := &qlengine.Prompt{
		Tokens: 100,
	}
	for _, text := range strings.Split(list, ",") {
		if id, err := strconv.ParseUint(text, 16, 64); err == nil && strings.Contains(list, ",") {
			prompt.Segments = append(prompt.Segments, qlengine.Segment{
				ID: id,
			})
		}
	}
	return prompt
}

// fakeUpstream is an upstream that answers with a function and records the
// requests that it receives.
type fakeUpstream struct {
	id      string
	address string
	// crash makes the upstream refuse further connections.
	crash func()

	mu       sync.Mutex
	requests []*http.Request
	bodies   []string
}

func (s *fakeUpstream) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests)
}

func newFakeUpstream(t testing.TB, id string, reply func(conn net.Conn, request *http.Request)) *fakeUpstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &fakeUpstream{
		id:      id,
		address: listener.Addr().String(),
		crash:   func() { _ = listener.Close() },
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn, reply)
		}
	}()
	return s
}

func (s *fakeUpstream) serve(conn net.Conn, reply func(conn net.Conn, request *http.Request)) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	body, _ := io.ReadAll(request.Body)
	s.mu.Lock()
	s.requests = append(s.requests, request)
	s.bodies = append(s.bodies, string(body))
	s.mu.Unlock()
	reply(conn, request)
}

// respond returns a function that writes a complete response.
func respond(status int, header, body string) func(net.Conn, *http.Request) {
	return func(conn net.Conn, request *http.Request) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d Status\r\nId: %s\r\nConnection: close\r\n%sContent-Length: %d\r\n\r\n%s",
			status, request.Header.Get("Id"), header, len(body), body)
	}
}

// streamEvents returns a function that writes the events numbered from one
// number to the other. If the stream is not whole, it breaks off within event
// 99.
func streamEvents(from, to int, whole bool) func(net.Conn, *http.Request) {
	return func(conn net.Conn, request *http.Request) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
			request.Header.Get("Id"))
		for n := from; n <= to; n++ {
			event := fmt.Sprintf("id: %d\ndata: x\n\n", n)
			_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
		}
		if whole {
			_, _ = io.WriteString(conn, "0\r\n\r\n")
			return
		}
		_, _ = io.WriteString(conn, "9\r\nid: 99\nda\r\n")
	}
}

const (
	// _maxAnswerBytes bounds what the forwarder of a harness holds of answers.
	_maxAnswerBytes = 4 << 20
	// _bodyIdle is for how long nothing may come of a caller's body.
	_bodyIdle = 300 * time.Millisecond
)

// harness is a forwarder behind an HTTP server, with fake upstreams.
type harness struct {
	forwarder *Forwarder
	server    *httptest.Server
	engines   []string

	mu                sync.Mutex
	placementRequests []qlplace.Request
	outcomes          []qlengine.Outcome
	// quarantines are those in force. crashes and ongoingAnswers hold the segments of
	// which the forwarder has reported a crash or a whole answer.
	quarantines    atomic.Pointer[qlquarantine.List]
	crashes        [][]uint64
	ongoingAnswers [][]uint64
	// answered holds the segments of each crash of which answers had gone on.
	// possible are the possible causes that were reported.
	possible [][]uint64
	answered [][]uint64
}

func (h *harness) recordCrash(crash *qlquarantine.Crash) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.possible = append(h.possible, crash.Possible...)
	if len(crash.Suspects) > 0 {
		h.crashes = append(h.crashes, crash.Suspects...)
		h.answered = append(h.answered, crash.Answered)
	}
}

func (h *harness) possibleCauses() [][]uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.possible)
}

func (h *harness) recordOngoingAnswer(_ time.Duration, segments []uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ongoingAnswers = append(h.ongoingAnswers, segments)
}

// newHarness returns a forwarder whose upstreams serve both the plain service
// and the service with engines.
func newHarness(t testing.TB, upstreams ...*fakeUpstream) *harness {
	t.Helper()
	h := &harness{}
	h.forwarder = New(Config{
		Dialect: testDialect(),
		Quarantine: Quarantine{
			Await:        func(context.Context) {},
			List:         h.quarantines.Load,
			ReportCrash:  h.recordCrash,
			ReportAnswer: h.recordOngoingAnswer,
			Answers:      &qlquarantine.Answers{},
		},
		Placement: Placement{
			Decide:      h.decide,
			FirstEvent:  func(uint64, float64) {},
			End:         h.end,
			RouterCount: func() int { return 1 },
		},
		Budget: qlbudget.Config{
			Ratio:     1,
			Window:    time.Second,
			Allowance: 100,
		},
		CloseConnections: func() bool { return false },
		Admit:            func(context.Context, string) bool { return true },
		Backoff:          func() (time.Duration, bool) { return time.Second, false },
		ReadDelay:        func() time.Duration { return 0 },
		Lagging:          func() bool { return false },
		CallerLeft:       func(context.Context) bool { return false },
		MaxMemoryBytes:   1 << 20,
		MaxAnswerBytes:   _maxAnswerBytes,
		BodyIdleTimeout:  _bodyIdle,
		Clock:            func() time.Duration { return 0 },
		Random:           rand.New(rand.NewPCG(1, 2)),
		Log:              zap.NewNop(),
	})
	entries := make([]qlcatalog.Entry, 0, len(upstreams))
	for _, u := range upstreams {
		h.engines = append(h.engines, u.id)
		for _, service := range []string{"plain", "engines"} {
			entries = append(entries, qlcatalog.Entry{
				ID:      u.id,
				Service: service,
				Address: u.address,
				Slots:   4,
				State:   qlcatalog.Ready,
			})
		}
	}
	h.forwarder.SetView(NewView(testTable(t), entries, qlposition.Position{Revision: 30}))
	h.server = httptest.NewServer(h.forwarder)
	t.Cleanup(h.server.Close)
	return h
}

// testTable returns a table with a route for each kind of request.
func testTable(t testing.TB) *qlroute.Table {
	t.Helper()
	route := func(prefix, service string, kind qlroute.Kind, attempts int, resumable bool) qlroute.RouteConfig {
		return qlroute.RouteConfig{
			Name:    strings.Trim(prefix, "/"),
			Host:    "127.0.0.1",
			Prefix:  prefix,
			Kind:    kind,
			Timeout: 2 * time.Second,
			Goal:    100 * time.Millisecond,
			Targets: []qlroute.Target{{
				Service: service,
				Weight:  1,
			}},
			MaxAttempts: attempts,
			Resumable:   resumable,
		}
	}
	table, err := qlroute.Build(&qlroute.Document{
		Revision: 1,
		Routes: []qlroute.RouteConfig{
			route("/look/", "plain", qlroute.Idempotent, 2, false),
			route("/find/", "plain", qlroute.Idempotent, 4, false),
			route("/order/", "plain", qlroute.NonIdempotent, 2, false),
			route("/chat/", "engines", qlroute.Streaming, 2, false),
			route("/resume/", "engines", qlroute.Streaming, 2, true),
		},
		Services: []qlroute.ServiceConfig{
			{
				Name: "plain",
			},
			{
				Name:   "engines",
				Engine: &qlroute.EngineConfig{},
			},
		},
		Customers: []qlroute.CustomerConfig{{
			Name: "depot",
			Keys: []string{"k1"},
		}},
		Limits: qlroute.Limits{
			BodyBytes: 1000,
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// decide chooses the first engine that was not tried yet.
func (h *harness) decide(_ context.Context, request *qlplace.Request) qlplace.Decision {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.placementRequests = append(h.placementRequests, *request)
	for _, id := range h.engines {
		tried := false
		for _, excluded := range request.Excluded {
			tried = tried || excluded == id
		}
		if !tried {
			return qlplace.Decision{
				Engine: id,
			}
		}
	}
	return qlplace.Decision{
		Reason:     qlplace.Late,
		RetryAfter: 250 * time.Millisecond,
	}
}

func (h *harness) end(_ uint64, outcome qlengine.Outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.outcomes = append(h.outcomes, outcome)
}

// result is the response that a caller received.
type result struct {
	status int
	header http.Header
	body   string
	err    error
	// closed is set if the caller was asked to close its connection.
	closed bool
}

func (h *harness) send(t *testing.T, method, path string, header map[string]string, body string) result {
	t.Helper()
	request, err := http.NewRequest(method, h.server.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Id", "i1")
	request.Header.Set("Key", "k1")
	request.Header.Set("Timeout", "1500")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return result{
			err: err,
		}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return result{
		status: response.StatusCode,
		header: response.Header,
		body:   string(data),
		err:    err,
		closed: response.Close,
	}
}
