package qlintake

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qladmission"
	"github.com/quetzallane/quetzallane/internal/qloffload"
)

// idleRace closes connections as idle while their callers send a request.
type idleRace struct {
	listener net.Listener
	intake   *Intake
	// accepting makes a caller's connection the next one that is accepted.
	accepting sync.Mutex
	read      atomic.Int64
	answered  atomic.Int64
	closed    atomic.Int64
}

func newIdleRace(t *testing.T) *idleRace {
	t.Helper()
	listening, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listening.Close() })
	r := &idleRace{
		listener: listening,
	}
	r.intake = New(Config{
		Customer: func(Head) (service, customer string) { return "", "" },
		Decide:   func(string, string, bool) qladmission.Action { return qladmission.Refuse },
		Refusal: func(Head, qladmission.Action, bool) ([]byte, bool) {
			r.read.Add(1)
			return []byte("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"), true
		},
		IdleTimeout: func() time.Duration { return time.Second },
	})
	return r
}

func (r *idleRace) connect() (caller net.Conn, conn *Conn, err error) {
	r.accepting.Lock()
	defer r.accepting.Unlock()
	if caller, err = net.Dial("tcp4", r.listener.Addr().String()); err != nil {
		return nil, nil, err
	}
	accepted, err := r.listener.Accept()
	if err != nil {
		return nil, nil, err
	}
	conn, _ = r.intake.Wrap(accepted).(*Conn)
	return caller, conn, nil
}

func (r *idleRace) play() error {
	const attempts = 50
	caller, conn, err := r.connect()
	if err != nil {
		return err
	}
	defer func() { _ = caller.Close() }()
	var running sync.WaitGroup
	defer running.Wait()
	running.Go(func() {
		_ = conn.AwaitRequest(time.Second)
		_ = conn.Close()
	})
	running.Go(func() { _, _ = io.WriteString(caller, post("/", "", 1)) })
	for range attempts {
		if conn.CloseIdle() {
			r.closed.Add(1)
			break
		}
	}
	if answer, _ := io.ReadAll(caller); len(answer) > 0 {
		r.answered.Add(1)
	}
	return nil
}

// TestRequestThatWasReadIsAnsweredThoughItsConnectionLooksIdle guards against closing a
// connection while its request is being read.
func TestRequestThatWasReadIsAnsweredThoughItsConnectionLooksIdle(t *testing.T) {
	const (
		callers     = 16
		connections = 500
	)
	r := newIdleRace(t)
	var running sync.WaitGroup
	for range callers {
		running.Go(func() {
			for range connections {
				if err := r.play(); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	running.Wait()
	t.Logf("%d connections closed while idle, %d requests read", r.closed.Load(), r.read.Load())
	if got, want := r.answered.Load(), r.read.Load(); got != want {
		t.Errorf("answers: got %d, want %d, one for each request that was read", got, want)
	}
}

func TestDeclinedRequestNeverLooksIdle(t *testing.T) {
	r := newIdleRace(t)
	caller, conn, err := r.connect()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = caller.Close() }()
	conn.requests.set(_requestElsewhere)
	w := newCallerWriter(conn, false)
	w.end(qloffload.NotTaken)
	if got := conn.RequestPending(); !got {
		t.Errorf("got pending %v, want true until the request is served here", got)
	}
}
