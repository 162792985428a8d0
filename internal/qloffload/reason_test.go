package qloffload

import (
	"encoding/json"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"
)

// TestReasonsTellWhyRequestsWereKept guards against refusals that no line explains.
func TestReasonsTellWhyRequestsWereKept(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	address := listener.Addr().String()
	for _, c := range []struct {
		want    Reason
		arrange func(o *Offloader)
	}{
		{want: NoPeers, arrange: func(o *Offloader) { o.Peers().Set(0, nil) }},
		{want: AllDeclined, arrange: func(o *Offloader) { o.Peers().Declined(0, address) }},
		{want: AllUnreachable, arrange: func(o *Offloader) { o.Peers().Unreachable(0, address) }},
		{want: LinkOpening, arrange: func(*Offloader) {}},
		{want: Closing, arrange: func(o *Offloader) { o.SetClosing() }},
	} {
		o := New(Config{
			Lag:      func() time.Duration { return 0 },
			MemoryMB: 100,
			Clock:    func() time.Duration { return 0 },
			Log:      zap.NewNop(),
		})
		o.Peers().Set(0, []Peer{NewPeer(address, 1000)})
		c.arrange(o)
		if exchange := o.Start([]byte("GET / HTTP/1.1\r\n\r\n"), Stamp{}, Caller{}); exchange != nil {
			t.Errorf("%s: a request was offloaded", c.want)
		}
		var want Kept
		want[c.want] = 1
		if got := o.Stats().Kept; got != want {
			t.Errorf("got reasons %v, want %v", got, want)
		}
	}
}

func TestKeptAreWrittenByName(t *testing.T) {
	var earlier, later Kept
	earlier[LinkOpening] = 2
	later[LinkOpening], later[OwnLag] = 5, 1
	got, err := json.Marshal(later.Since(earlier))
	if want := `{"link-opening":3,"own-lag":1}`; err != nil || string(got) != want {
		t.Errorf("got %s, error %v, want %s", got, err, want)
	}
}

// TestReadyTellsWhyNot guards against a reason that does not fit the state.
func TestReadyTellsWhyNot(t *testing.T) {
	lag := 2 * _maxLag
	o := New(Config{
		Lag:      func() time.Duration { return lag },
		MemoryMB: 100,
		Clock:    func() time.Duration { return 0 },
		Log:      zap.NewNop(),
	})
	expect := func(wantReady bool, want Reason) {
		t.Helper()
		if ready, reason := o.Ready(); ready != wantReady || !ready && reason != want {
			t.Errorf("got ready %v, reason %s, want %v, %s", ready, reason, wantReady, want)
		}
	}
	expect(false, NoPeers)
	o.Peers().Set(0, []Peer{NewPeer("127.0.0.1:1", 1000)})
	expect(false, OwnLag)
	lag = 0
	expect(true, 0)
	o.active.Store(o.maxActive)
	expect(false, TooManyActive)
	o.SetClosing()
	expect(false, Closing)
}
