package qledge

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// _faultHeader asks an upstream for a broken answer.
const _faultHeader = "Fault"

const (
	// _resetFault is an answer without a length that is sent before the request was read, and cut
	// by a reset.
	_resetFault = "reset"
	// _statusFault is an answer with an invalid status.
	_statusFault = "status"
)

const (
	// _brokenBody is a part of a stream's events, and of an answer in one piece.
	_brokenBody = "id: 0\ndata: x\n\n"
	// _resetDelay is above the age from which connections that end count as lost.
	_resetDelay = 120 * time.Millisecond
	// _longUpload is more than the sockets of a connection hold.
	_longUpload = 3 << 20
)

// faultyUpstream sends broken answers to requests that ask for them.
type faultyUpstream struct {
	*workingUpstream
	// together is how many connections are reset at once. If fewer come, these are reset after 1 s.
	together int64
	// broken counts the broken answers.
	broken atomic.Int64
}

func newFaultyUpstream(t *testing.T, together int64) (u *faultyUpstream, address string) {
	t.Helper()
	u = &faultyUpstream{
		workingUpstream: &workingUpstream{
			begun: make(map[string]int),
		},
		together: together,
	}
	server := httptest.NewServer(u)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return u, strings.TrimPrefix(server.URL, "http://")
}

// ServeHTTP implements http.Handler.
func (u *faultyUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	fault := r.Header.Get(_faultHeader)
	if fault == "" {
		u.workingUpstream.ServeHTTP(w, r)
		return
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	number := u.broken.Add(1)
	status := "200"
	if fault == _statusFault {
		status = "000"
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s OK\r\n%s: %s\r\n%s: s\r\nContent-Type: text/event-stream\r\n\r\n%s",
		status, _idHeader, r.Header.Get(_idHeader), _signatureHeader, _brokenBody)
	if tcp, ok := conn.(*net.TCPConn); ok && fault == _resetFault {
		allCame := (number + u.together - 1) / u.together * u.together
		for end := time.Now().Add(time.Second); u.broken.Load() < allCame && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(_resetDelay)
		_ = tcp.SetLinger(0)
	}
}

// askForFault sends a request for a broken answer, with a body of the size, and returns what came.
func askForFault(address, path, fault string, number, bodyBytes int) routerAnswer {
	c, err := dialRouter(address)
	if err != nil {
		return routerAnswer{err: err}
	}
	defer func() { _ = c.conn.Close() }()
	head, _, _ := strings.Cut(routerRequest(path, fmt.Sprintf("%s-%d", fault, number), 0), "Content-Length")
	head += fmt.Sprintf("%s: %s\r\nContent-Length: %d\r\n\r\n", _faultHeader, fault, bodyBytes)
	if _, err := io.WriteString(c.conn, head+strings.Repeat("x", bodyBytes)); err != nil {
		return routerAnswer{err: err}
	}
	return c.read()
}

// askUntilForwarded sends the request of askForFault again as long as the router refuses it: since
// it is above the customer's share, or the router is busy with the requests before.
func askUntilForwarded(address, path, fault string, number, bodyBytes int) routerAnswer {
	for end := time.Now().Add(_refusedFor); ; time.Sleep(50 * time.Millisecond) {
		answer := askForFault(address, path, fault, number, bodyBytes)
		refused := answer.status == http.StatusTooManyRequests || answer.status == http.StatusServiceUnavailable
		if !refused || time.Now().After(end) {
			return answer
		}
	}
}

// brokenAnswerCase is a kind of broken answer.
type brokenAnswerCase struct {
	fault     string
	bodyBytes int
	// isRight reports whether a caller got what it may get.
	isRight func(answer routerAnswer) bool
}

const (
	_brokenAnswerRounds  = 2
	_brokenAnswerCallers = 16
	// _refusedFor is how long callers send a refused request again.
	_refusedFor = 15 * time.Second
)

// TestBrokenAnswersAreNotForwarded guards against broken answers that callers get as answers. A
// router process has many requests at a time, and their upstream answers long uploads early,
// without a length, and resets the connections, or sends the status 000.
func TestBrokenAnswersAreNotForwarded(t *testing.T) {
	u, address := newFaultyUpstream(t, _brokenAnswerCallers)
	p := startProcess(t, stopSettings(t), address)
	for _, c := range []brokenAnswerCase{
		{fault: _resetFault, bodyBytes: _longUpload, isRight: func(answer routerAnswer) bool {
			return answer.status != http.StatusOK || !answer.whole
		}},
		{fault: _statusFault, bodyBytes: 100, isRight: func(answer routerAnswer) bool {
			return answer.status >= http.StatusBadRequest && answer.whole && !strings.Contains(answer.body, _brokenBody)
		}},
	} {
		for _, path := range []string{_lookupPath, _orderPath, _streamPath} {
			c.check(t, u, p.callers, path)
		}
	}
}

// check sends requests to the router at the address.
func (c *brokenAnswerCase) check(t *testing.T, u *faultyUpstream, address, path string) {
	t.Helper()
	const requests = _brokenAnswerRounds * _brokenAnswerCallers
	before := u.broken.Load()
	var wrong atomic.Int64
	for round := range _brokenAnswerRounds {
		var ended sync.WaitGroup
		for caller := range _brokenAnswerCallers {
			ended.Go(func() {
				answer := askUntilForwarded(address, path, c.fault, round*_brokenAnswerCallers+caller, c.bodyBytes)
				if !c.isRight(answer) {
					wrong.Add(1)
				}
			})
		}
		ended.Wait()
	}
	if got := u.broken.Load() - before; got < requests/2 {
		t.Errorf("%s, %s: got %d broken answers from the upstream, want at least half of %d", path, c.fault, got, requests)
	}
	if got := wrong.Load(); got > 0 {
		t.Errorf("%s, %s: got %d of %d broken answers as answers, want none", path, c.fault, got, requests)
	}
}
