package qlforward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlmemory"

	"github.com/quetzallane/quetzallane/internal/qlengine"
)

func TestPlainRequestAndAnswerPassUnchanged(t *testing.T) {
	u := newFakeUpstream(t, "u1", respond(201, "Signature: s\r\nX-Other: y\r\nKeep-Alive: timeout=3\r\n", "done"))
	h := newHarness(t, u)
	got := h.send(t, "POST", "/order/a%2Fb?q=%20", map[string]string{"X-Unknown": "v", "Customer": "forged"}, "body")
	if got.status != 201 || got.body != "done" || got.header.Get("Signature") != "s" || got.header.Get("X-Other") != "y" {
		t.Errorf("answer: got %+v, want the upstream's", got)
	}
	if got.header.Get("Keep-Alive") != "" {
		t.Error("a header of the upstream's connection was passed on")
	}
	r := u.requests[0]
	for name, want := range map[string]string{"X-Unknown": "v", "Customer": "depot", "Key": "", "Expect-Id": "u1", "Id": "i1"} {
		if got := r.Header.Get(name); got != want {
			t.Errorf("header %s at the upstream: got %q, want %q", name, got, want)
		}
	}
	if got, want := r.Method+" "+r.RequestURI+" "+u.bodies[0], "POST /order/a%2Fb?q=%20 body"; got != want {
		t.Errorf("request at the upstream: got %q, want %q", got, want)
	}
	if remaining, err := strconv.Atoi(r.Header.Get("Remaining-Timeout")); err != nil || remaining > 1500 || remaining < 1000 {
		t.Errorf("time limit sent to the upstream: got %q, want the remainder of 1500", r.Header.Get("Remaining-Timeout"))
	}
}

func TestRefusalsThatReachNoUpstream(t *testing.T) {
	for _, c := range []struct {
		name   string
		path   string
		header map[string]string
		body   string
		want   int
	}{
		{name: "no route", path: "/none/x", want: http.StatusNotFound},
		{name: "unknown key", path: "/order/x", header: map[string]string{"Key": "k9"}, want: http.StatusUnauthorized},
		{name: "long body", path: "/order/x", body: strings.Repeat("x", 1001), want: http.StatusRequestEntityTooLarge},
	} {
		u := newFakeUpstream(t, "u1", respond(200, "Signature: s\r\n", "ok"))
		got := newHarness(t, u).send(t, "POST", c.path, c.header, c.body)
		if got.status != c.want || u.count() != 0 {
			t.Errorf("%s: got status %d and %d sends, want %d and none", c.name, got.status, u.count(), c.want)
		}
	}
}

func TestRequestsWithoutConfigurationAreRefusedAsNotRun(t *testing.T) {
	h := newHarness(t)
	h.forwarder.view.Store(nil)
	got := h.send(t, "GET", "/look/x", nil, "")
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("got status %d, Retry-After %q, want 503 with a time", got.status, got.header.Get("Retry-After"))
	}
}

// TestNonIdempotentRunsAtMostOnce covers all ways in which an attempt can end
// after the request was sent: only a request that the upstream states it did
// not run is sent again.
func TestNonIdempotentRunsAtMostOnce(t *testing.T) {
	for _, c := range []struct {
		name  string
		reply func(net.Conn, *http.Request)
		want  int
		sends int
	}{
		{name: "no answer", reply: func(net.Conn, *http.Request) {}, want: 502, sends: 1},
		{name: "garbage", reply: func(c net.Conn, _ *http.Request) { _, _ = io.WriteString(c, "\x16\x03") }, want: 502, sends: 1},
		{name: "unsigned", reply: respond(200, "", "x"), want: 502, sends: 1},
		{name: "failure", reply: respond(500, "Signature: s\r\n", "x"), want: 500, sends: 1},
		{name: "refused", reply: respond(503, "Not-Run: 1\r\n", ""), want: 429, sends: 2},
	} {
		u1, u2 := newFakeUpstream(t, "u1", c.reply), newFakeUpstream(t, "u2", c.reply)
		got := newHarness(t, u1, u2).send(t, "POST", "/order/x", nil, "body")
		if sends := u1.count() + u2.count(); got.status != c.want || sends != c.sends {
			t.Errorf("%s: got status %d after %d sends, want %d after %d", c.name, got.status, sends, c.want, c.sends)
		}
		if got.status == 502 && got.header.Get("Signature") != "" {
			t.Errorf("%s: the router's 502 carries an upstream's signature", c.name)
		}
	}
}

func TestIdempotentRequestIsRetried(t *testing.T) {
	for _, reply := range []func(net.Conn, *http.Request){
		func(net.Conn, *http.Request) {},
		respond(500, "Signature: s\r\n", "x"),
		respond(503, "Not-Run: 1\r\n", ""),
		func(conn net.Conn, _ *http.Request) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: i1\r\nSignature: s\r\nContent-Length: 9\r\n\r\nbro")
		},
	} {
		failing, healthy := newFakeUpstream(t, "a", reply), newFakeUpstream(t, "b", respond(200, "Signature: s\r\n", "ok"))
		h := newHarness(t, failing, healthy)
		for range 4 {
			if got := h.send(t, "GET", "/look/x", nil, ""); got.status != 200 || got.body != "ok" {
				t.Errorf("got %d %q, want 200 ok", got.status, got.body)
			}
		}
		if failing.count() == 0 {
			t.Error("the failing upstream was never tried")
		}
	}
}

func TestUnreachableUpstreamIsSkipped(t *testing.T) {
	unreachable := newFakeUpstream(t, "a", nil)
	unreachable.address = "127.0.0.1:1"
	healthy := newFakeUpstream(t, "b", respond(200, "Signature: s\r\n", "ok"))
	h := newHarness(t, unreachable, healthy)
	for range 4 {
		if got := h.send(t, "POST", "/order/x", nil, ""); got.status != 200 {
			t.Errorf("got %d, want 200 from the reachable upstream", got.status)
		}
	}
	only := newHarness(t, unreachable)
	if got := only.send(t, "POST", "/order/x", nil, ""); got.status != 503 || got.header.Get("Retry-After") == "" {
		t.Errorf("without another upstream: got %d, Retry-After %q, want 503 with a time", got.status, got.header.Get("Retry-After"))
	}
}

const _promptHeader = "Prompt"

func promptHeaders() map[string]string {
	return map[string]string{
		_promptHeader: "1",
	}
}

func TestStreamIsForwardedWhole(t *testing.T) {
	u := newFakeUpstream(t, "u1", streamEvents(1, 3, true))
	h := newHarness(t, u)
	got := h.send(t, "POST", "/chat/x", promptHeaders(), "prompt")
	if want := "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n"; got.body != want || got.err != nil {
		t.Errorf("stream: got %q, %v, want %q", got.body, got.err, want)
	}
	if got, want := fmt.Sprint(h.outcomes), fmt.Sprint([]qlengine.Outcome{qlengine.Completed}); got != want {
		t.Errorf("outcomes: got %s, want %s", got, want)
	}
}

func TestRefusedStreamHasNotRun(t *testing.T) {
	h := newHarness(t)
	got := h.send(t, "POST", "/chat/x", promptHeaders(), "prompt")
	if got.status != http.StatusTooManyRequests || got.header.Get("Retry-After") != "0.250" {
		t.Errorf("got %d, Retry-After %q, want 429 and 0.250", got.status, got.header.Get("Retry-After"))
	}
}

func TestStreamThatBreaksOffDoesNotLookComplete(t *testing.T) {
	u1, u2 := newFakeUpstream(t, "u1", streamEvents(1, 2, false)), newFakeUpstream(t, "u2", streamEvents(1, 3, true))
	got := newHarness(t, u1, u2).send(t, "POST", "/chat/x", promptHeaders(), "prompt")
	if got.err == nil || strings.Contains(got.body, "99") {
		t.Errorf("got %q, %v, want whole events and an error", got.body, got.err)
	}
	if u2.count() != 0 {
		t.Error("a stream that is not resumable was sent again")
	}
}

func TestResumableStreamContinuesAtAnotherEngine(t *testing.T) {
	u1, u2 := newFakeUpstream(t, "u1", streamEvents(1, 2, false)), newFakeUpstream(t, "u2", streamEvents(2, 4, true))
	got := newHarness(t, u1, u2).send(t, "POST", "/resume/x", promptHeaders(), "prompt")
	if want := "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\nid: 4\ndata: x\n\n"; got.body != want || got.err != nil {
		t.Errorf("stream: got %q, %v, want %q", got.body, got.err, want)
	}
	if got, want := u2.requests[0].Header.Get("Last-Event-Id"), "2"; got != want {
		t.Errorf("last event id sent to the second engine: got %q, want %q", got, want)
	}
}

func TestResumedStreamThatLacksAnEventIsCut(t *testing.T) {
	u1, u2 := newFakeUpstream(t, "u1", streamEvents(1, 2, false)), newFakeUpstream(t, "u2", streamEvents(4, 5, true))
	got := newHarness(t, u1, u2).send(t, "POST", "/resume/x", promptHeaders(), "prompt")
	if got.err == nil || strings.Contains(got.body, "id: 4") {
		t.Errorf("got %q, %v, want the stream cut after event 2", got.body, got.err)
	}
}

// TestHeadOfABrokenStreamIsNotForwarded guards against a 502 of the router that
// carries the signature of an engine which failed before its first event.
func TestHeadOfABrokenStreamIsNotForwarded(t *testing.T) {
	u := newFakeUpstream(t, "u1", streamEvents(1, 0, false))
	got := newHarness(t, u).send(t, "POST", "/chat/x", promptHeaders(), "prompt")
	if got.status != http.StatusBadGateway || got.header.Get("Signature") != "" {
		t.Errorf("got %d, signature %q, want 502 without one", got.status, got.header.Get("Signature"))
	}
}

func TestEngineThatRefusesIsSkipped(t *testing.T) {
	u1, u2 := newFakeUpstream(t, "u1", respond(421, "Not-Run: 1\r\n", "")), newFakeUpstream(t, "u2", streamEvents(1, 1, true))
	if got := newHarness(t, u1, u2).send(t, "POST", "/chat/x", promptHeaders(), "prompt"); got.status != 200 {
		t.Errorf("got %d, want 200 from the second engine", got.status)
	}
	only := newHarness(t, u1)
	if got := only.send(t, "POST", "/chat/x", promptHeaders(), "prompt"); got.status != 429 {
		t.Errorf("without another engine: got %d, want 429, since it has not run", got.status)
	}
}

// TestUnreachableEnginesAreReportedAsNotRun guards against answering a request
// that reached no engine with 502, which leaves its outcome unknown.
func TestUnreachableEnginesAreReportedAsNotRun(t *testing.T) {
	var unreachable []*fakeUpstream
	for _, id := range []string{"a", "b", "c", "d"} {
		u := newFakeUpstream(t, id, nil)
		u.address = "127.0.0.1:1"
		unreachable = append(unreachable, u)
	}
	got := newHarness(t, unreachable...).send(t, "POST", "/chat/x", promptHeaders(), "prompt")
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("got %d, Retry-After %q, want 503 with a time", got.status, got.header.Get("Retry-After"))
	}
}

func TestStoppingRouterRefusesAndCloses(t *testing.T) {
	u := newFakeUpstream(t, "u1", respond(200, "Signature: s\r\n", "ok"))
	h := newHarness(t, u)
	h.forwarder.SetClosing()
	got := h.send(t, "GET", "/look/x", nil, "")
	if got.status != 200 || !got.closed {
		t.Errorf("while closing: got %d, closed %v, want 200 and closed", got.status, got.closed)
	}
	h.forwarder.SetRefusing()
	if got := h.send(t, "GET", "/look/x", nil, ""); got.status != 503 || u.count() != 1 {
		t.Errorf("while refusing: got %d after %d sends, want 503 and no further send", got.status, u.count())
	}
}

func TestRequestMemoryIsBounded(t *testing.T) {
	u := newFakeUpstream(t, "u1", respond(200, "Signature: s\r\n", "ok"))
	h := newHarness(t, u)
	h.forwarder.memory = qlmemory.NewAccount(_requestMemoryBytes)
	if got := h.send(t, "POST", "/order/x", nil, "body"); got.status != 429 || u.count() != 0 {
		t.Errorf("got %d after %d sends, want 429 and none", got.status, u.count())
	}
	if got := h.send(t, "GET", "/look/x", nil, ""); got.status != 200 {
		t.Errorf("a request that fits: got %d, want 200", got.status)
	}
}

func TestTimeoutIsAnswered(t *testing.T) {
	u := newFakeUpstream(t, "u1", func(net.Conn, *http.Request) { time.Sleep(time.Second) })
	h := newHarness(t, u)
	start := time.Now()
	got := h.send(t, "POST", "/order/x", map[string]string{"Timeout": "200"}, "body")
	if got.status != http.StatusGatewayTimeout {
		t.Errorf("status: got %d, want 504", got.status)
	}
	if took := time.Since(start); took > 600*time.Millisecond {
		t.Errorf("answered after %v, want it soon after 200ms", took)
	}
}

// TestOverloadedRouterRefusesBeforeTheBody has a VM without processor time
// refuse a request. The answer states that the request was not run, with a
// Retry-After, and asks the caller to connect to another router.
func TestOverloadedRouterRefusesBeforeTheBody(t *testing.T) {
	upstream := newFakeUpstream(t, "u1", respond(200, "Signature: s\r\n", "x"))
	h := newHarness(t, upstream)
	customers := ""
	h.forwarder.config.Admit = func(_ context.Context, customer string) bool {
		customers += customer
		return false
	}
	h.forwarder.config.Backoff = func() (time.Duration, bool) { return 70 * time.Millisecond, true }
	request, err := http.NewRequest(http.MethodPost, h.server.URL+"/order/1", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Key", "k1")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if got, want := response.StatusCode, http.StatusServiceUnavailable; got != want {
		t.Errorf("status: got %d, want %d", got, want)
	}
	if got, want := response.Header.Get(_resultHeader), "216"; got != want {
		t.Errorf("code: got %s, want %s", got, want)
	}
	if got, want := response.Header.Get("Retry-After"), "0.070"; got != want {
		t.Errorf("Retry-After: got %s, want %s", got, want)
	}
	if !response.Close {
		t.Error("the caller was not asked to reconnect, although new connections reach other routers")
	}
	if upstream.count() != 0 || customers != "depot" {
		t.Errorf("got %d requests sent and admission checked for customer %q, want none and depot", upstream.count(), customers)
	}
}

// TestServiceThatAnswersLateIsPaced has an upstream report a queue and answer
// later than the latency objective.
func TestServiceThatAnswersLateIsPaced(t *testing.T) {
	upstream := newFakeUpstream(t, "u1", func(conn net.Conn, request *http.Request) {
		time.Sleep(110 * time.Millisecond)
		respond(200, "Signature: s\r\nLoad: 6\r\n", "x")(conn, request)
	})
	h := newHarness(t, upstream)
	h.forwarder.config.Dialect.ReadAnswer = func(_ *http.Response) Answer {
		return Answer{
			Signed:  true,
			HasLoad: true,
			Running: 6,
			Waiting: 6,
		}
	}
	statuses := make(map[int]int)
	for range 20 {
		statuses[h.send(t, http.MethodGet, "/look/1", nil, "").status]++
	}
	if statuses[http.StatusOK] == 0 || statuses[http.StatusTooManyRequests] == 0 {
		t.Errorf("statuses: got %v, want some requests answered and some refused", statuses)
	}
}

// TestPanicEndsOneRequest has the handling of a request panic before and after
// the request was sent.
func TestPanicEndsOneRequest(t *testing.T) {
	h := newHarness(t, newFakeUpstream(t, "u1", respond(200, "Signature: s\r\n", "x")))
	setOutgoing, readAnswer := h.forwarder.config.Dialect.SetOutgoing, h.forwarder.config.Dialect.ReadAnswer
	h.forwarder.config.Dialect.SetOutgoing = func(http.Header, Outgoing) { panic("before") }
	if got := h.send(t, http.MethodPost, "/order/1", nil, "body"); got.status != 500 || got.header.Get(_resultHeader) != "215" {
		t.Errorf("before the send: got status %d and code %s, want 500 and 215", got.status, got.header.Get(_resultHeader))
	}
	h.forwarder.config.Dialect.SetOutgoing = setOutgoing
	h.forwarder.config.Dialect.ReadAnswer = func(*http.Response) Answer { panic("after") }
	if got := h.send(t, http.MethodPost, "/order/1", nil, "body"); got.status/100 != 5 || got.header.Get(_resultHeader) != "305" {
		t.Errorf("after the send: got status %d and code %s, want a failure and 305", got.status, got.header.Get(_resultHeader))
	}
	h.forwarder.config.Dialect.ReadAnswer = readAnswer
	if got := h.send(t, http.MethodPost, "/order/1", nil, "body"); got.status != 200 {
		t.Errorf("the next request: got status %d, want 200", got.status)
	}
	if got := h.forwarder.Active(); got != 0 {
		t.Errorf("active requests: got %d, want none", got)
	}
}

// TestDeadlineIncludesTheReadDelay has requests wait for a second, and then for
// longer than their time limit, before the router reads them.
func TestDeadlineIncludesTheReadDelay(t *testing.T) {
	upstream := newFakeUpstream(t, "u1", respond(200, "Signature: s\r\n", "x"))
	h := newHarness(t, upstream)
	h.forwarder.config.ReadDelay = func() time.Duration { return time.Second }
	if got, want := h.send(t, http.MethodPost, "/order/1", nil, "body").status, http.StatusOK; got != want {
		t.Fatalf("status: got %d, want %d", got, want)
	}
	remaining, err := strconv.Atoi(upstream.requests[0].Header.Get("Remaining-Timeout"))
	if err != nil || remaining > 500 {
		t.Errorf("time limit sent, of 1,500 ms: got %d ms (%v), want 500 at most", remaining, err)
	}
	h.forwarder.config.ReadDelay = func() time.Duration { return 2 * time.Second }
	if got, want := h.send(t, http.MethodPost, "/order/1", nil, "body").status, http.StatusServiceUnavailable; got != want {
		t.Errorf("status of a request out of time: got %d, want %d", got, want)
	}
	if got, want := upstream.count(), 1; got != want {
		t.Errorf("requests sent: got %d, want %d", got, want)
	}
}
