package qlforward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/quetzallane/quetzallane/internal/qlconn"
)

const (
	_warmID    = "warm"
	_plainBody = "whole answer"
	_cutEvents = 3
)

// cutCase is a kind of answer that upstreams cut after some byte.
type cutCase struct {
	path string
	// framing is the header field that states the answer's end, if any.
	framing string
	reset   bool
	reused  bool
	// cuts is how many attempts are cut. The ones after them get a whole answer.
	cuts int64
	// eventFirst is set if the first attempt sends one event and breaks off, before the
	// cuts.
	eventFirst bool
}

func (c *cutCase) streams() bool {
	return c.path == "/chat/x" || c.path == "/resume/x"
}

func (c *cutCase) repeatable() bool {
	return c.path == "/look/x" || c.path == "/resume/x"
}

// whole returns the whole body after the event with the number.
func (c *cutCase) whole(last int) string {
	if !c.streams() {
		return _plainBody
	}
	var events strings.Builder
	for n := last + 1; n <= _cutEvents; n++ {
		fmt.Fprintf(&events, "id: %d\ndata: x\n\n", n)
	}
	return events.String()
}

// answer returns the whole answer to a request and the number of bytes of its head.
func (c *cutCase) answer(header http.Header) (text string, headBytes int) {
	last, err := strconv.Atoi(header.Get("Last-Event-Id"))
	if err != nil {
		last = 0
	}
	body, contentType := c.whole(last), "text/plain"
	if c.streams() {
		contentType = "text/event-stream"
	}
	framing := c.framing
	switch framing {
	case _chunked:
		body = chunk(body) + _lastChunk
	case "":
	default:
		framing = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: %s\r\n%sSignature: 3e1b.07\r\n\r\n", header.Get("Id"), contentType, framing)
	return head + body, len(head)
}

// cutUpstream answers requests as a cutCase says.
type cutUpstream struct {
	*cutCase
	// bytes is how much of an answer is sent that is cut.
	bytes atomic.Int64
	// runs counts the requests but those that only open connections.
	runs atomic.Int64
}

func (u *cutUpstream) serve(conn net.Conn, request *http.Request) {
	reader := bufio.NewReader(conn)
	for u.reply(conn, request) {
		next, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, next.Body)
		request = next
	}
}

// reply answers a request and reports whether the connection goes on.
func (u *cutUpstream) reply(conn net.Conn, request *http.Request) bool {
	if request.Header.Get("Id") == _warmID {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok", _warmID)
		return true
	}
	run := u.runs.Add(1)
	if u.eventFirst {
		if run--; run == 0 {
			writeHead(conn, request, _chunked)
			_, _ = io.WriteString(conn, chunk(_event1))
			return false
		}
	}
	answer, _ := u.answer(request.Header)
	if run <= u.cuts {
		answer = answer[:min(int(u.bytes.Load()), len(answer))]
	}
	_, _ = io.WriteString(conn, answer)
	if tcp, ok := conn.(*net.TCPConn); ok && u.reset && run <= u.cuts {
		_ = tcp.SetLinger(0)
	}
	return run > u.cuts && u.framing != ""
}

// cutRun is a router with two upstreams that cut their answers.
type cutRun struct {
	*cutUpstream
	harness   *harness
	upstreams []*fakeUpstream
}

func newCutRun(t *testing.T, c *cutCase) *cutRun {
	t.Helper()
	u := &cutUpstream{
		cutCase: c,
	}
	upstreams := []*fakeUpstream{newFakeUpstream(t, "a", u.serve), newFakeUpstream(t, "b", u.serve)}
	return &cutRun{
		cutUpstream: u,
		harness:     newHarness(t, upstreams...),
		upstreams:   upstreams,
	}
}

// warm leaves an idle connection to each upstream.
func (r *cutRun) warm(t *testing.T) {
	t.Helper()
	for _, u := range r.upstreams {
		err := r.warmOne(t.Context(), u)
		if err != nil {
			// An idle connection may be reset just when it is used again.
			err = r.warmOne(t.Context(), u)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
}

func (r *cutRun) warmOne(ctx context.Context, u *fakeUpstream) error {
	e, err := r.harness.forwarder.pool.Do(ctx, &qlconn.Request{
		Address: u.address,
		ID:      _warmID,
		Method:  http.MethodGet,
		Target:  "/",
		Header: http.Header{
			"Id": {_warmID},
		},
	})
	if err != nil {
		return err
	}
	defer e.Close()
	_, err = io.Copy(io.Discard, e.Response().Body)
	return err
}

// cutAfter sends a request whose answers are cut after a number of bytes.
func (r *cutRun) cutAfter(t *testing.T, bytes int) {
	t.Helper()
	r.bytes.Store(int64(bytes))
	r.runs.Store(0)
	if r.reused {
		r.warm(t)
	}
	method, header := http.MethodPost, promptHeaders()
	if !r.streams() {
		header = nil
	}
	if r.path == "/look/x" {
		method = http.MethodGet
	}
	got := r.harness.send(t, method, r.path, header, "")
	if problem := r.problem(&got, bytes, r.runs.Load()); problem != "" {
		t.Errorf("%s, framing %q, reset %v, reused %v, cut after %d bytes: got status %d, body %q, error %v, %d runs: %s",
			r.path, r.framing, r.reset, r.reused, bytes, got.status, got.body, got.err, r.runs.Load(), problem)
	}
}

// problem returns what is wrong with the result of a request, or "".
func (c *cutCase) problem(got *result, bytes int, runs int64) string {
	whole := c.whole(0)
	complete := got.err == nil && got.status == http.StatusOK
	maxRuns := int64(1)
	if c.repeatable() {
		maxRuns = 2
	}
	switch {
	case runs < 1 || runs > maxRuns:
		return fmt.Sprintf("want 1 to %d runs", maxRuns)
	case complete && got.body != whole && !c.looksWhole(got.body, bytes):
		return "a success that is not whole"
	case complete:
		return ""
	case c.repeatable() && c.cuts == 1 && !c.eventFirst && !(c.framing == "" && got.body == whole):
		return "want the answer of the second attempt"
	case got.err == nil && got.status != http.StatusBadGateway && got.status != http.StatusGatewayTimeout:
		return "want 502 or 504, since it has run"
	case got.err == nil && got.header.Get("Signature") != "":
		return "the router's failure is signed"
	case got.err != nil && (!c.streams() || !strings.HasPrefix(whole, got.body) || len(got.body)%len(_event1) != 0):
		return "want whole events before a break"
	}
	return ""
}

// looksWhole reports whether a body is what an upstream has sent of an answer that has no
// length and was closed, not reset. It can't be told from a whole one, unless it is empty
// or ends within an event.
func (c *cutCase) looksWhole(body string, bytes int) bool {
	answer, headBytes := c.answer(http.Header{})
	headBytes += len("i1")
	if c.eventFirst {
		return c.framing == "" && !c.reset && len(body) > 0 && len(body)%len(_event1) == 0
	}
	return c.framing == "" && !c.reset && bytes > headBytes && len(body) == bytes-headBytes && strings.HasSuffix(answer, c.whole(0)) &&
		(!c.streams() || len(body)%len(_event1) == 0)
}

// runAll cuts the answer after each byte.
func (c *cutCase) runAll(t *testing.T) {
	t.Helper()
	last := "0"
	if c.eventFirst {
		last = "1"
	}
	answer, _ := c.answer(http.Header{
		"Id":            {"i1"},
		"Last-Event-Id": {last},
	})
	run := newCutRun(t, c)
	for bytes := range len(answer) + 1 {
		run.cutAfter(t, bytes)
	}
}

// TestAnswerCutAfterAnyByteIsNoSuccess guards against a success without the whole body of an
// upstream that has stopped in the middle of its answer, and against a second run.
func TestAnswerCutAfterAnyByteIsNoSuccess(t *testing.T) {
	for _, c := range []cutCase{
		{path: "/order/x", cuts: 1},
		{path: "/look/x", cuts: 1},
		{path: "/look/x", cuts: 2},
		{path: "/chat/x", cuts: 1},
		{path: "/resume/x", cuts: 1},
		{path: "/resume/x", cuts: 2},
		{path: "/resume/x", cuts: 1, eventFirst: true},
	} {
		t.Run(fmt.Sprintf("%s, %d cut, event first %v", strings.Trim(c.path, "/x"), c.cuts, c.eventFirst), func(t *testing.T) {
			for _, framing := range []string{"length", _chunked, ""} {
				for ending := range 4 {
					ended := c
					ended.framing, ended.reset, ended.reused = framing, ending&1 != 0, ending&2 != 0
					ended.runAll(t)
				}
			}
		})
	}
}

// TestAnswerThatEndsAfterItsHeadIsNoSuccess guards against an empty success if the head
// states no length. Other answers may be empty.
func TestAnswerThatEndsAfterItsHeadIsNoSuccess(t *testing.T) {
	signed := "Signature: s\r\nContent-Type: text/plain\r\n"
	for _, c := range []struct {
		name   string
		method string
		path   string
		answer string
		want   int
	}{
		{name: "no length", method: http.MethodPost, path: "/order/x", answer: "200 OK\r\n" + signed + "\r\n", want: http.StatusBadGateway},
		{name: "no length, on a stream's route", method: http.MethodPost, path: "/chat/x", answer: "200 OK\r\n" + signed + "\r\n", want: http.StatusBadGateway},
		{name: "no length, failure", method: http.MethodPost, path: "/order/x", answer: "500 Failed\r\n" + signed + "\r\n", want: http.StatusBadGateway},
		{name: "no length, not run", method: http.MethodPost, path: "/order/x", answer: "503 Full\r\nNot-Run: 1\r\n\r\n", want: http.StatusServiceUnavailable},
		{name: "no length, no body", method: http.MethodHead, path: "/look/x", answer: "200 OK\r\n" + signed + "\r\n", want: http.StatusOK},
		{name: "no content", method: http.MethodPost, path: "/order/x", answer: "204 No Content\r\n" + signed + "\r\n", want: http.StatusNoContent},
		{name: "length", method: http.MethodPost, path: "/order/x", answer: "200 OK\r\n" + signed + "Content-Length: 0\r\n\r\n", want: http.StatusOK},
		{name: "chunks", method: http.MethodPost, path: "/order/x", answer: "200 OK\r\n" + signed + _chunked + "\r\n" + _lastChunk, want: http.StatusOK},
	} {
		u := newFakeUpstream(t, "u1", func(conn net.Conn, _ *http.Request) {
			_, _ = io.WriteString(conn, "HTTP/1.1 "+strings.Replace(c.answer, "\r\n", "\r\nId: i1\r\n", 1))
		})
		header := promptHeaders()
		if c.path != "/chat/x" {
			header = nil
		}
		got := newHarness(t, u).send(t, c.method, c.path, header, "")
		if got.status != c.want || got.err != nil || u.count() != 1 {
			t.Errorf("%s: got status %d, %v, after %d runs, want %d after 1", c.name, got.status, got.err, u.count(), c.want)
		}
	}
}
