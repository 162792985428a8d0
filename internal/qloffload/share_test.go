package qloffload

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
)

// shareCaller records the calls of an offloaded request's caller, in order.
type shareCaller struct {
	calls chan string
}

func (c *shareCaller) caller() Caller {
	return Caller{
		Write: func([]byte) error { return nil },
		Finish: func(outcome Outcome) {
			c.calls <- [...]string{Answered: "answered", NotTaken: "not-taken", Broken: "broken"}[outcome]
		},
		OverShare: func() { c.calls <- "over-share" },
	}
}

// offload offloads a request and returns the calls, up to the end and shortly after it.
func (f *testFleet) offload(path string) string {
	f.t.Helper()
	c := &shareCaller{
		calls: make(chan string, 8),
	}
	for end := time.Now().Add(2 * time.Second); f.offloader.Start([]byte(get(path)), Stamp{}, c.caller()) == nil; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatal("no link was opened within 2 s")
		}
	}
	var calls []string
	wait := 2 * time.Second
	for {
		select {
		case call := <-c.calls:
			if calls = append(calls, call); call != "over-share" {
				wait = 20 * time.Millisecond
			}
		case <-time.After(wait):
			return strings.Join(calls, ",")
		}
	}
}

// TestOverShareReachesOffloadingRouter guards against routers that go on to offload requests
// of a customer that the owner refuses.
func TestOverShareReachesOffloadingRouter(t *testing.T) {
	f := newTestFleet(t)
	for _, c := range []struct {
		path string
		want string
	}{
		{path: "/over-share", want: "over-share,answered"},
		{path: "/plain", want: "answered"},
		{path: "/over-share", want: "over-share,answered"},
		{path: "/stream", want: "answered"},
		{path: "/over-share-broken", want: "broken"},
		{path: "/broken", want: "broken"},
	} {
		if got := f.offload(c.path); got != c.want {
			t.Errorf("%s: got calls %q, want %q", c.path, got, c.want)
		}
	}
	f.declines.Store(true)
	if got, want := f.offload("/over-share"), "not-taken"; got != want {
		t.Errorf("declined: got calls %q, want %q", got, want)
	}
}

// TestEndOfAnswerOfOtherReleasesIsRead guards against a link to an older router, which sends no
// flags, or a later one, which may send more, that breaks or counts a refusal.
func TestEndOfAnswerOfOtherReleasesIsRead(t *testing.T) {
	for _, c := range []struct {
		name  string
		flags []byte
		want  string
	}{
		{name: "no flags", want: "answered"},
		{name: "none set", flags: []byte{0}, want: "answered"},
		{name: "over share", flags: []byte{_flagOverShare}, want: "over-share,answered"},
		{name: "an unknown flag", flags: []byte{0xfe}, want: "answered"},
		{name: "more bytes", flags: []byte{0xfe, _flagOverShare}, want: "answered"},
		{name: "over share and more", flags: []byte{0xff, 0xff}, want: "over-share,answered"},
	} {
		f := newEndingFleet(t, c.flags)
		for range 2 {
			if got := f.offload("/"); got != c.want {
				t.Errorf("%s: got calls %q, want %q", c.name, got, c.want)
			}
		}
	}
}

// newEndingFleet returns a fleet whose other router ends each answer with the flags.
func newEndingFleet(t *testing.T, flags []byte) *testFleet {
	t.Helper()
	answer := appendFrame(nil, frameAnswer, 0, []byte("HTTP/1.1 429 "+http.StatusText(http.StatusTooManyRequests)+"\r\nContent-Length: 0\r\n\r\n"))
	other := &cutRouter{
		before:   8,
		whole:    appendFrame(answer, frameEnd, 0, flags),
		requests: make(chan struct{}, 8),
	}
	var err error
	if other.listener, err = net.Listen("tcp4", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	go other.serve()
	f := &testFleet{
		t: t,
		offloader: New(Config{
			Lag:      func() time.Duration { return 0 },
			MemoryMB: 100,
			Clock:    func() time.Duration { return 0 },
			Log:      zap.NewNop(),
		}),
	}
	t.Cleanup(func() {
		f.offloader.Close()
		_ = other.listener.Close()
	})
	f.offloader.Peers().Set(0, []Peer{NewPeer(other.listener.Addr().String(), 1000)})
	return f
}
