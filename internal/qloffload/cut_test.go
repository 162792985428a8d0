package qloffload

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
)

// cutRouter is a router that sends only the first bytes of the frames that answer a request,
// and ends its link then.
type cutRouter struct {
	listener net.Listener
	// whole is what it answers to the first requests, a frame for each of its parts; cut is
	// the answer to the one after them, of which it sends some bytes.
	before int
	whole  []byte
	cut    []byte
	reset  bool
	// requests receives a value for each request.
	requests chan struct{}
}

func (r *cutRouter) serve() {
	for {
		accepted, err := r.listener.Accept()
		if err != nil {
			return
		}
		conn, _ := accepted.(*net.TCPConn)
		r.serveLink(conn)
	}
}

func (r *cutRouter) serveLink(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	if _, err := conn.Write([]byte{_hello}); err != nil {
		return
	}
	var frames frameReader
	buffer := make([]byte, 4096)
	for {
		n, err := conn.Read(buffer)
		if err != nil {
			return
		}
		err = frames.read(buffer[:n], func(kind frameKind, id uint32, _ []byte) error {
			if kind != frameRequest {
				return nil
			}
			r.requests <- struct{}{}
			if int(id) <= r.before {
				_, err := conn.Write(withID(r.whole, id))
				return err
			}
			_, _ = conn.Write(withID(r.cut, id))
			if r.reset {
				_ = conn.SetLinger(0)
			}
			return io.EOF
		})
		if err != nil {
			return
		}
	}
}

// withID returns frames, of which the last may be cut, with another id.
func withID(frames []byte, id uint32) []byte {
	out := append([]byte(nil), frames...)
	for rest := out; len(rest) >= _frameHeadBytes; {
		end := _frameHeadBytes + int(rest[5])<<24 + int(rest[6])<<16 + int(rest[7])<<8 + int(rest[8])
		copy(rest[1:], appendFrame(nil, 0, id, nil)[1:5])
		rest = rest[min(end, len(rest)):]
	}
	return out
}

// answerFrames returns the frames of an answer that was sent in parts.
func answerFrames(parts ...string) []byte {
	var frames []byte
	for _, part := range parts {
		frames = appendFrame(frames, frameAnswer, 0, []byte(part))
	}
	return appendFrame(frames, frameEnd, 0, nil)
}

// answer returns the bytes of the whole answer.
func (r *cutRouter) answer() string {
	var frames frameReader
	var text strings.Builder
	_ = frames.read(r.whole, func(kind frameKind, _ uint32, payload []byte) error {
		if kind == frameAnswer {
			text.Write(payload)
		}
		return nil
	})
	return text.String()
}

// ask offloads requests to the router and checks the one whose answer is cut.
func (r *cutRouter) ask(t *testing.T, whole bool) {
	t.Helper()
	var err error
	if r.listener, err = net.Listen("tcp4", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = r.listener.Close() }()
	r.requests = make(chan struct{}, 8)
	go r.serve()
	started := time.Now()
	f := &testFleet{
		t: t,
		offloader: New(Config{
			Lag:      func() time.Duration { return 0 },
			MemoryMB: 100,
			Clock:    func() time.Duration { return time.Since(started) },
			Log:      zap.NewNop(),
		}),
	}
	defer f.offloader.Close()
	f.offloader.Peers().Set(0, []Peer{NewPeer(r.listener.Addr().String(), 1000)})
	for range r.before {
		_, a := f.start(get("/"))
		f.awaitOutcome(a, Answered)
	}
	_, a := f.start(get("/"))
	want := Broken
	if whole {
		want = Answered
	}
	select {
	case got := <-a.outcome:
		// A reset may overtake the last bytes.
		if got != want && !(r.reset && got == Broken) {
			t.Errorf("reset %v, cut after %q: got outcome %d, want %d", r.reset, r.cut, got, want)
		}
		if text := a.String(); got == Answered && text != r.answer() {
			t.Errorf("reset %v, cut after %q: got the answer %q, want %q", r.reset, r.cut, text, r.answer())
		}
	case <-time.After(2 * time.Second):
		t.Errorf("reset %v, cut after %q: got no outcome within 2 s", r.reset, r.cut)
	}
	if got := len(r.requests); got != r.before+1 {
		t.Errorf("cut after %q: got %d requests, want %d", r.cut, got, r.before+1)
	}
	if text := a.String(); len(text) > 0 && !strings.HasPrefix(text, "HTTP/1.1 200 OK\r\n") {
		t.Errorf("cut after %q: got %q, want whole frames only", r.cut, text)
	}
}

// TestLinkCutAfterAnyByteBreaksTheAnswer guards against an answer of which a part has arrived
// that counts as whole, and against a request that was sent and counts as not taken.
func TestLinkCutAfterAnyByteBreaksTheAnswer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nSignature: 3e.1\r\n"
	for _, frames := range [][]byte{
		answerFrames(head + "Content-Length: 12\r\n\r\nwhole answer"),
		answerFrames(head+"Content-Length: 12\r\n\r\nwhole ", "answer"),
		answerFrames(head+"Transfer-Encoding: chunked\r\n\r\n8\r\nevent 0\n\r\n", "8\r\nevent 1\n\r\n", "0\r\n\r\n"),
		answerFrames(head+"Content-Length: 8\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nevent 0\n\r\n", "0\r\n\r\n"),
	} {
		// An answer in chunks is whole when its end has come, one with a length by its bytes.
		whole := len(frames)
		if !strings.Contains(string(frames), "chunked") {
			whole -= _frameHeadBytes
		}
		for ending := range 4 {
			for bytes := range len(frames) + 1 {
				r := &cutRouter{
					before: ending >> 1,
					whole:  frames,
					cut:    frames[:bytes],
					reset:  ending&1 != 0,
				}
				r.ask(t, bytes >= whole)
			}
		}
	}
}

// fillQueue fills the queue of an answer's link with parts of an answer to no request.
func fillQueue(t *testing.T, w http.ResponseWriter) {
	t.Helper()
	const unknownID = 1 << 30
	writer, ok := w.(*answerWriter)
	if !ok {
		t.Errorf("got a writer of type %T", w)
		return
	}
	part := make([]byte, _maxPayloadBytes)
	for err := error(nil); err == nil; {
		err = writer.link.queue.add(false, func(to []byte) []byte { return appendFrame(to, frameAnswer, unknownID, part) })
	}
}

// TestEndOfAnswerOnFullQueueIsSent guards against a caller that waits for ever for an answer
// that has ended, since its end found no room in the link's queue.
func TestEndOfAnswerOnFullQueueIsSent(t *testing.T) {
	f := newTestFleet(t)
	f.server.config.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fillQueue(t, w)
		panic(http.ErrAbortHandler)
	})
	_, a := f.start(get("/"))
	f.awaitOutcome(a, Broken)
}

// TestAnswerWithPartThatWasNotSentIsBroken guards against an answer that goes on after a part
// of it found no room in the link's queue.
func TestAnswerWithPartThatWasNotSentIsBroken(t *testing.T) {
	f := newTestFleet(t)
	f.server.config.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		controller := http.NewResponseController(w)
		err := controller.SetWriteDeadline(time.Now().Add(-time.Second))
		for err == nil {
			fillQueue(t, w)
			_, _ = io.WriteString(w, "event 0\n")
			err = controller.Flush()
		}
		if !errors.Is(err, errQueueFull) {
			t.Errorf("flush: got %v, want that the queue is full", err)
		}
		// Wait until the queue has room again.
		time.Sleep(100 * time.Millisecond)
		_, _ = io.WriteString(w, "event 1\n")
	})
	_, a := f.start(get("/"))
	f.awaitOutcome(a, Broken)
	if got := a.String(); strings.Contains(got, "event 1") {
		t.Errorf("got %q, want nothing after the missing part", got)
	}
}
