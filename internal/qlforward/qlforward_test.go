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

	"github.com/quetzallane/quetzallane/internal/qlengine"
)

func TestPlainRequestAndAnswerPassUnchanged(t *testing.T) {
	u := newStandIn(t, "u1", say(201, "Signature: s\r\nX-Other: y\r\nKeep-Alive: timeout=3\r\n", "done"))
	b := newBench(t, u)
	got := b.send(t, "POST", "/order/a%2Fb?q=%20", map[string]string{"X-Unknown": "v", "Customer": "forged"}, "body")
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
	if left, err := strconv.Atoi(r.Header.Get("Left")); err != nil || left > 1500 || left < 1000 {
		t.Errorf("time left at the upstream: got %q, want what is left of 1500", r.Header.Get("Left"))
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
		u := newStandIn(t, "u1", say(200, "Signature: s\r\n", "ok"))
		got := newBench(t, u).send(t, "POST", c.path, c.header, c.body)
		if got.status != c.want || u.count() != 0 {
			t.Errorf("%s: got status %d and %d sends, want %d and none", c.name, got.status, u.count(), c.want)
		}
	}
}

func TestWithoutConfigurationNothingIsDenied(t *testing.T) {
	b := newBench(t)
	b.forwarder.view.Store(nil)
	got := b.send(t, "GET", "/look/x", nil, "")
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("got status %d, Retry-After %q, want 503 with a time", got.status, got.header.Get("Retry-After"))
	}
}

// TestNonIdempotentRunsAtMostOnce goes through all ways in which an attempt
// can end.
func TestNonIdempotentRunsAtMostOnce(t *testing.T) {
	for _, c := range []struct {
		name  string
		reply func(net.Conn, *http.Request)
		want  int
		sends int
	}{
		{name: "no answer", reply: func(net.Conn, *http.Request) {}, want: 502, sends: 1},
		{name: "garbage", reply: func(c net.Conn, _ *http.Request) { _, _ = io.WriteString(c, "\x16\x03") }, want: 502, sends: 1},
		{name: "unsigned", reply: say(200, "", "x"), want: 502, sends: 1},
		{name: "failure", reply: say(500, "Signature: s\r\n", "x"), want: 500, sends: 1},
		{name: "turned away", reply: say(503, "Not-Run: 1\r\n", ""), want: 429, sends: 2},
	} {
		u1, u2 := newStandIn(t, "u1", c.reply), newStandIn(t, "u2", c.reply)
		got := newBench(t, u1, u2).send(t, "POST", "/order/x", nil, "body")
		if sends := u1.count() + u2.count(); got.status != c.want || sends != c.sends {
			t.Errorf("%s: got status %d after %d sends, want %d after %d", c.name, got.status, sends, c.want, c.sends)
		}
		if got.status == 502 && got.header.Get("Signature") != "" {
			t.Errorf("%s: our 502 bears an upstream's signature", c.name)
		}
	}
}

func TestIdempotentIsTriedAgain(t *testing.T) {
	for _, reply := range []func(net.Conn, *http.Request){
		func(net.Conn, *http.Request) {},
		say(500, "Signature: s\r\n", "x"),
		say(503, "Not-Run: 1\r\n", ""),
		func(conn net.Conn, _ *http.Request) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: i1\r\nSignature: s\r\nContent-Length: 9\r\n\r\nbro")
		},
	} {
		bad, good := newStandIn(t, "a", reply), newStandIn(t, "b", say(200, "Signature: s\r\n", "ok"))
		b := newBench(t, bad, good)
		for range 4 {
			if got := b.send(t, "GET", "/look/x", nil, ""); got.status != 200 || got.body != "ok" {
				t.Errorf("got %d %q, want 200 ok", got.status, got.body)
			}
		}
		if bad.count() == 0 {
			t.Error("the failing upstream was never tried")
		}
	}
}

func TestUnreachedUpstreamIsPassedOver(t *testing.T) {
	gone := newStandIn(t, "a", nil)
	gone.address = "127.0.0.1:1"
	good := newStandIn(t, "b", say(200, "Signature: s\r\n", "ok"))
	b := newBench(t, gone, good)
	for range 4 {
		if got := b.send(t, "POST", "/order/x", nil, ""); got.status != 200 {
			t.Errorf("got %d, want 200 from the upstream that is there", got.status)
		}
	}
	only := newBench(t, gone)
	if got := only.send(t, "POST", "/order/x", nil, ""); got.status != 503 || got.header.Get("Retry-After") == "" {
		t.Errorf("with no other: got %d, Retry-After %q, want 503 with a time", got.status, got.header.Get("Retry-After"))
	}
}

const _prompt = "Prompt"

func chat() map[string]string {
	return map[string]string{
		_prompt: "1",
	}
}

func TestStreamPassesWhole(t *testing.T) {
	u := newStandIn(t, "u1", stream(1, 3, true))
	b := newBench(t, u)
	got := b.send(t, "POST", "/chat/x", chat(), "prompt")
	if want := "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n"; got.body != want || got.err != nil {
		t.Errorf("stream: got %q, %v, want %q", got.body, got.err, want)
	}
	if got, want := fmt.Sprint(b.outcomes), fmt.Sprint([]qlengine.Outcome{qlengine.Completed}); got != want {
		t.Errorf("outcomes: got %s, want %s", got, want)
	}
}

func TestRefusedStreamHasNotRun(t *testing.T) {
	b := newBench(t)
	got := b.send(t, "POST", "/chat/x", chat(), "prompt")
	if got.status != http.StatusTooManyRequests || got.header.Get("Retry-After") != "0.250" {
		t.Errorf("got %d, Retry-After %q, want 429 and 0.250", got.status, got.header.Get("Retry-After"))
	}
}

func TestStreamThatBreaksOffDoesNotLookComplete(t *testing.T) {
	u1, u2 := newStandIn(t, "u1", stream(1, 2, false)), newStandIn(t, "u2", stream(1, 3, true))
	got := newBench(t, u1, u2).send(t, "POST", "/chat/x", chat(), "prompt")
	if got.err == nil || strings.Contains(got.body, "99") {
		t.Errorf("got %q, %v, want whole events and an error", got.body, got.err)
	}
	if u2.count() != 0 {
		t.Error("a stream that may not be repeated was sent again")
	}
}

func TestResumableStreamGoesOnElsewhere(t *testing.T) {
	u1, u2 := newStandIn(t, "u1", stream(1, 2, false)), newStandIn(t, "u2", stream(2, 4, true))
	got := newBench(t, u1, u2).send(t, "POST", "/resume/x", chat(), "prompt")
	if want := "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\nid: 4\ndata: x\n\n"; got.body != want || got.err != nil {
		t.Errorf("stream: got %q, %v, want %q", got.body, got.err, want)
	}
	if got, want := u2.requests[0].Header.Get("After"), "2"; got != want {
		t.Errorf("last event told to the second engine: got %q, want %q", got, want)
	}
}

func TestResumedStreamThatLacksAnEventIsCut(t *testing.T) {
	u1, u2 := newStandIn(t, "u1", stream(1, 2, false)), newStandIn(t, "u2", stream(4, 5, true))
	got := newBench(t, u1, u2).send(t, "POST", "/resume/x", chat(), "prompt")
	if got.err == nil || strings.Contains(got.body, "id: 4") {
		t.Errorf("got %q, %v, want the stream cut after event 2", got.body, got.err)
	}
}

// TestHeadOfABrokenStreamLeavesNoTrace plays the fault by which our 502 bore
// the signature of an engine that broke off before its first event.
func TestHeadOfABrokenStreamLeavesNoTrace(t *testing.T) {
	u := newStandIn(t, "u1", stream(1, 0, false))
	got := newBench(t, u).send(t, "POST", "/chat/x", chat(), "prompt")
	if got.status != http.StatusBadGateway || got.header.Get("Signature") != "" {
		t.Errorf("got %d, signature %q, want 502 without one", got.status, got.header.Get("Signature"))
	}
}

func TestEngineThatTurnsAwayIsPassedOver(t *testing.T) {
	u1, u2 := newStandIn(t, "u1", say(421, "Not-Run: 1\r\n", "")), newStandIn(t, "u2", stream(1, 1, true))
	if got := newBench(t, u1, u2).send(t, "POST", "/chat/x", chat(), "prompt"); got.status != 200 {
		t.Errorf("got %d, want 200 from the second engine", got.status)
	}
	only := newBench(t, u1)
	if got := only.send(t, "POST", "/chat/x", chat(), "prompt"); got.status != 429 {
		t.Errorf("with no other: got %d, want 429, since it has not run", got.status)
	}
}

// TestUnreachedEnginesAreARefusal plays the fault by which a request that
// reached no engine was answered 502, which promises nothing.
func TestUnreachedEnginesAreARefusal(t *testing.T) {
	var gone []*standIn
	for _, id := range []string{"a", "b", "c", "d"} {
		u := newStandIn(t, id, nil)
		u.address = "127.0.0.1:1"
		gone = append(gone, u)
	}
	got := newBench(t, gone...).send(t, "POST", "/chat/x", chat(), "prompt")
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("got %d, Retry-After %q, want 503 with a time", got.status, got.header.Get("Retry-After"))
	}
}

func TestStoppingRouterRefusesAndCloses(t *testing.T) {
	u := newStandIn(t, "u1", say(200, "Signature: s\r\n", "ok"))
	b := newBench(t, u)
	b.forwarder.SetClosing()
	got := b.send(t, "GET", "/look/x", nil, "")
	if got.status != 200 || !got.closed {
		t.Errorf("while closing: got %d, closed %v, want 200 and closed", got.status, got.closed)
	}
	b.forwarder.SetRefusing()
	if got := b.send(t, "GET", "/look/x", nil, ""); got.status != 503 || u.count() != 1 {
		t.Errorf("while refusing: got %d after %d sends, want 503 and no further send", got.status, u.count())
	}
}

func TestMemoryForBodiesIsBounded(t *testing.T) {
	u := newStandIn(t, "u1", say(200, "Signature: s\r\n", "ok"))
	b := newBench(t, u)
	b.forwarder.config.MaxMemoryBytes = _requestMemory
	if got := b.send(t, "POST", "/order/x", nil, "body"); got.status != 429 || u.count() != 0 {
		t.Errorf("got %d after %d sends, want 429 and none", got.status, u.count())
	}
	if got := b.send(t, "GET", "/look/x", nil, ""); got.status != 200 {
		t.Errorf("a request that fits: got %d, want 200", got.status)
	}
}

func TestTimeoutIsAnswered(t *testing.T) {
	u := newStandIn(t, "u1", func(net.Conn, *http.Request) { time.Sleep(time.Second) })
	b := newBench(t, u)
	began := time.Now()
	got := b.send(t, "POST", "/order/x", map[string]string{"Wait": "200"}, "body")
	if got.status != http.StatusGatewayTimeout {
		t.Errorf("status: got %d, want 504", got.status)
	}
	if took := time.Since(began); took > 600*time.Millisecond {
		t.Errorf("answered after %v, want it soon after 200ms", took)
	}
}

// TestOverloadedRouterRefusesBeforeTheBody has a router without room: what
// comes is refused as not run, to be sent again at once.
func TestOverloadedRouterRefusesBeforeTheBody(t *testing.T) {
	upstream := newStandIn(t, "u1", say(200, "Signature: s\r\n", "x"))
	b := newBench(t, upstream)
	customers := ""
	b.forwarder.config.Admit = func(_ context.Context, customer string) bool {
		customers += customer
		return false
	}
	b.forwarder.config.Backoff = func() (time.Duration, bool) { return 70 * time.Millisecond, true }
	request, err := http.NewRequest(http.MethodPost, b.server.URL+"/order/1", strings.NewReader("body"))
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
		t.Error("the caller was not asked to connect anew, though another router takes it")
	}
	if upstream.count() != 0 || customers != "depot" {
		t.Errorf("got %d requests sent and customer %q asked for, want none and depot", upstream.count(), customers)
	}
}

// TestServiceThatAnswersLateIsPaced has an upstream that tells of a queue and
// answers later than the objective.
func TestServiceThatAnswersLateIsPaced(t *testing.T) {
	upstream := newStandIn(t, "u1", func(conn net.Conn, request *http.Request) {
		time.Sleep(110 * time.Millisecond)
		say(200, "Signature: s\r\nLoad: 6\r\n", "x")(conn, request)
	})
	b := newBench(t, upstream)
	b.forwarder.config.Dialect.ReadAnswer = func(_ *http.Response) Answer {
		return Answer{
			Signed:  true,
			HasLoad: true,
			Running: 6,
			Waiting: 6,
		}
	}
	statuses := make(map[int]int)
	for range 20 {
		statuses[b.send(t, http.MethodGet, "/look/1", nil, "").status]++
	}
	if statuses[http.StatusOK] == 0 || statuses[http.StatusTooManyRequests] == 0 {
		t.Errorf("statuses: got %v, want some requests answered and some refused", statuses)
	}
}

// TestPanicEndsOneRequest has the handling of a request fail before and after
// it was sent.
func TestPanicEndsOneRequest(t *testing.T) {
	b := newBench(t, newStandIn(t, "u1", say(200, "Signature: s\r\n", "x")))
	setOutgoing, readAnswer := b.forwarder.config.Dialect.SetOutgoing, b.forwarder.config.Dialect.ReadAnswer
	b.forwarder.config.Dialect.SetOutgoing = func(http.Header, Outgoing) { panic("before") }
	if got := b.send(t, http.MethodPost, "/order/1", nil, "body"); got.status != 500 || got.header.Get(_resultHeader) != "215" {
		t.Errorf("before the send: got status %d and code %s, want 500 and 215", got.status, got.header.Get(_resultHeader))
	}
	b.forwarder.config.Dialect.SetOutgoing = setOutgoing
	b.forwarder.config.Dialect.ReadAnswer = func(*http.Response) Answer { panic("after") }
	if got := b.send(t, http.MethodPost, "/order/1", nil, "body"); got.status/100 != 5 || got.header.Get(_resultHeader) != "305" {
		t.Errorf("after the send: got status %d and code %s, want a failure and 305", got.status, got.header.Get(_resultHeader))
	}
	b.forwarder.config.Dialect.ReadAnswer = readAnswer
	if got := b.send(t, http.MethodPost, "/order/1", nil, "body"); got.status != 200 {
		t.Errorf("the next request: got status %d, want 200", got.status)
	}
	if got := b.forwarder.Active(); got != 0 {
		t.Errorf("requests under way: got %d, want none", got)
	}
}

// TestDeadlineCountsTheWaitUntilARequestIsRead has a router that reads requests
// a second after they came.
func TestDeadlineCountsTheWaitUntilARequestIsRead(t *testing.T) {
	upstream := newStandIn(t, "u1", say(200, "Signature: s\r\n", "x"))
	b := newBench(t, upstream)
	b.forwarder.config.ReadDelay = func() time.Duration { return time.Second }
	if got, want := b.send(t, http.MethodPost, "/order/1", nil, "body").status, http.StatusOK; got != want {
		t.Fatalf("status: got %d, want %d", got, want)
	}
	left, err := strconv.Atoi(upstream.requests[0].Header.Get("Left"))
	if err != nil || left > 500 {
		t.Errorf("time left of 1,500 ms: got %d ms (%v), want 500 at most", left, err)
	}
	b.forwarder.config.ReadDelay = func() time.Duration { return 2 * time.Second }
	if got, want := b.send(t, http.MethodPost, "/order/1", nil, "body").status, http.StatusServiceUnavailable; got != want {
		t.Errorf("status of a request out of time: got %d, want %d", got, want)
	}
	if got, want := upstream.count(), 1; got != want {
		t.Errorf("requests sent: got %d, want %d", got, want)
	}
}
