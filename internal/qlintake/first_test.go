package qlintake

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qladmission"
	"github.com/quetzallane/quetzallane/internal/qlconn"
	"github.com/quetzallane/quetzallane/internal/qloffload"
	"go.uber.org/zap"
)

// firstRequest is a connection that was just accepted, before an intake that decides as told
// and counts that.
type firstRequest struct {
	t      *testing.T
	caller net.Conn
	conn   *Conn
	action qladmission.Action

	mu        sync.Mutex
	decisions []string
}

// newFirstRequest returns a connection on which the part of a request has arrived.
func newFirstRequest(t *testing.T, action qladmission.Action, part string) *firstRequest {
	t.Helper()
	listening, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listening.Close() }()
	f := &firstRequest{
		t:      t,
		action: action,
	}
	// It knows no other router, so that what is offloaded is declined.
	offloader := qloffload.New(qloffload.Config{
		Lag:      func() time.Duration { return 0 },
		MemoryMB: 100,
		Clock:    func() time.Duration { return 0 },
		Log:      zap.NewNop(),
	})
	t.Cleanup(offloader.Close)
	intake := New(Config{
		Customer:       func(head Head) (service, customer string) { return "", head.Get("customer") },
		Decide:         f.decide,
		DecideDeclined: func(string, string) qladmission.Action { return qladmission.Handle },
		Refusal:        func(Head, qladmission.Action, bool) ([]byte, bool) { return []byte(_refusal), false },
		IdleTimeout:    func() time.Duration { return time.Minute },
		Offloader:      offloader,
		Stamp:          func() qloffload.Stamp { return qloffload.Stamp{} },
		OnState:        func(net.Conn, http.ConnState) {},
	})
	if f.caller, err = net.Dial("tcp4", listening.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = f.caller.Close() })
	accepted, err := listening.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = accepted.Close() })
	f.send(part)
	tcp, _ := accepted.(*net.TCPConn)
	for end := time.Now().Add(2 * time.Second); part != "" && !qlconn.HasUnreadBytes(tcp) && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	f.conn, _ = intake.Wrap(accepted).(*Conn)
	if err := f.caller.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return f
}

func (f *firstRequest) decide(_, customer string, _ bool) qladmission.Action {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.decisions = append(f.decisions, customer)
	return f.action
}

func (f *firstRequest) send(data string) {
	f.t.Helper()
	if _, err := io.WriteString(f.caller, data); err != nil {
		f.t.Fatal(err)
	}
}

// refuseFirst checks whether the first request is refused.
func (f *firstRequest) refuseFirst(name string, want bool) {
	f.t.Helper()
	if got, err := f.conn.RefuseFirst(); got != want || err != nil {
		f.t.Errorf("%s: refused: got %v, %v, want %v", name, got, err, want)
	}
}

// wantDecisions checks the customers whose requests were decided on.
func (f *firstRequest) wantDecisions(name, want string) {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	if got := strings.Join(f.decisions, ","); got != want {
		f.t.Errorf("%s: decisions: got %q, want %q", name, got, want)
	}
}

// TestWholeFirstRequestIsRefusedWithOneDecision guards against refused connections that stay
// open, or whose callers get no answer.
func TestWholeFirstRequestIsRefusedWithOneDecision(t *testing.T) {
	for _, c := range []struct {
		name    string
		action  qladmission.Action
		request string
	}{
		{name: "overload", action: qladmission.Refuse, request: post("/", "Customer: a\r\n", 900)},
		{name: "above its share", action: qladmission.RefuseShare, request: post("/", "Customer: a\r\n", 900)},
		{name: "without a body", action: qladmission.Refuse, request: "GET / HTTP/1.1\r\nHost: h\r\nCustomer: a\r\n\r\n"},
	} {
		f := newFirstRequest(t, c.action, c.request)
		f.refuseFirst(c.name, true)
		f.wantDecisions(c.name, "a")
		if got, err := io.ReadAll(f.caller); string(got) != _refusal || err != nil {
			t.Errorf("%s: got %q, %v, want the refusal and the end of the connection", c.name, got, err)
		}
	}
}

// TestFirstRequestInPartIsDecidedOnOnceItIsRead guards against a refusal, or a second decision,
// of a request that has not arrived whole.
func TestFirstRequestInPartIsDecidedOnOnceItIsRead(t *testing.T) {
	whole := post("/", "Customer: a\r\n", 900)
	for _, c := range []struct {
		name  string
		bytes int
	}{
		{name: "nothing", bytes: 0},
		{name: "a head and a part of the body", bytes: len(whole) - 300},
		{name: "a head", bytes: len(whole) - 900},
		{name: "all but a byte", bytes: len(whole) - 1},
	} {
		f := newFirstRequest(t, qladmission.Refuse, whole[:c.bytes])
		f.refuseFirst(c.name, false)
		f.wantDecisions(c.name, "")
		done := make(chan error, 1)
		go func() { done <- f.conn.AwaitRequest(2 * time.Second) }()
		f.send(whole[c.bytes:])
		answer := make([]byte, len(_refusal))
		if _, err := io.ReadFull(f.caller, answer); string(answer) != _refusal {
			t.Errorf("%s: got %q, %v, want the refusal", c.name, answer, err)
		}
		f.wantDecisions(c.name, "a")
		f.send(whole)
		if _, err := io.ReadFull(f.caller, answer); string(answer) != _refusal {
			t.Errorf("%s, the next request: got %q, %v, want the refusal", c.name, answer, err)
		}
		f.wantDecisions(c.name, "a,a")
		_ = f.caller.Close()
		if err := <-done; err == nil {
			t.Errorf("%s: got a request for the server, want none", c.name)
		}
	}
}

// TestFirstHeadInPartIsLeftToTheServer guards against a request that nobody decides on: the
// server checks the admission of those that the intake has not.
func TestFirstHeadInPartIsLeftToTheServer(t *testing.T) {
	whole := post("/", "Customer: a\r\n", 9)
	f := newFirstRequest(t, qladmission.Refuse, whole[:20])
	f.refuseFirst("a part of the head", false)
	f.send(whole[20:])
	f.serve("a part of the head", whole)
	f.wantDecisions("a part of the head", "")
	if f.conn.AdmissionChecked() {
		t.Error("got the admission checked, want it left to the server")
	}
}

// serve checks that the server reads the request.
func (f *firstRequest) serve(name, want string) {
	f.t.Helper()
	if err := f.conn.AwaitRequest(2 * time.Second); err != nil {
		f.t.Errorf("%s: got %v, want a request", name, err)
	}
	got := make([]byte, len(want))
	if _, err := io.ReadFull(f.conn, got); string(got) != want {
		f.t.Errorf("%s: got %q, %v, want the whole request", name, got, err)
	}
}

// TestAdmittedFirstRequestIsDecidedOnOnce guards against requests that count twice in the
// budget and in their customer's share.
func TestAdmittedFirstRequestIsDecidedOnOnce(t *testing.T) {
	first, next := post("/1", "Customer: a\r\n", 900), post("/2", "Customer: b\r\n", 9)
	for _, action := range []qladmission.Action{qladmission.Handle, qladmission.Offload} {
		f := newFirstRequest(t, action, first)
		f.refuseFirst("admitted", false)
		f.wantDecisions("admitted", "a")
		f.serve("admitted", first)
		f.wantDecisions("served", "a")
		if !f.conn.AdmissionChecked() {
			t.Errorf("action %d: got the admission unchecked, want it checked", action)
		}
		f.send(next)
		f.serve("the next request", next)
		f.wantDecisions("the next request", "a,b")
	}
}

// TestFirstRequestOfLeavingCallerIsNotDecidedOn guards against a connection without a request
// that is kept although its caller has closed it.
func TestFirstRequestOfLeavingCallerIsNotDecidedOn(t *testing.T) {
	f := newFirstRequest(t, qladmission.Refuse, "")
	if err := f.caller.Close(); err != nil {
		t.Fatal(err)
	}
	refused, err := false, error(nil)
	for end := time.Now().Add(2 * time.Second); err == nil && time.Now().Before(end); time.Sleep(time.Millisecond) {
		refused, err = f.conn.RefuseFirst()
	}
	if refused || err != io.EOF {
		t.Errorf("got %v, %v, want false, %v", refused, err, io.EOF)
	}
	f.wantDecisions("left", "")
}
