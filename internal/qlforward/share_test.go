package qlforward

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qloffload"
	"github.com/quetzallane/quetzallane/internal/qlplace"
	"github.com/quetzallane/quetzallane/pkg/qlcode"
	"go.uber.org/zap"
)

// refusingOwner refuses each placement with a reason, and counts what the forwarder calls.
type refusingOwner struct {
	*harness
	reason qlplace.Reason

	mu        sync.Mutex
	overShare []string
}

func newRefusingOwner(t *testing.T, reason qlplace.Reason) *refusingOwner {
	t.Helper()
	o := &refusingOwner{
		harness: newHarness(t),
		reason:  reason,
	}
	o.forwarder.config.Placement.Decide = func(context.Context, *qlplace.Request) qlplace.Decision {
		return qlplace.Decision{
			Reason:     o.reason,
			RetryAfter: 250 * time.Millisecond,
		}
	}
	o.forwarder.config.OnOverShare = o.record
	return o
}

func (o *refusingOwner) record(_ context.Context, _, customer string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.overShare = append(o.overShare, customer)
}

func (o *refusingOwner) recorded() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return strings.Join(o.overShare, ",")
}

// refusalCase is a reason of the owner and what callers get for it.
type refusalCase struct {
	reason     qlplace.Reason
	wantStatus int
	wantCode   qlcode.Code
	// wantOverShare is the customer that is reported as above its share.
	wantOverShare string
}

func refusalCases() []refusalCase {
	return []refusalCase{
		{reason: qlplace.OverShare, wantStatus: http.StatusTooManyRequests, wantCode: qlcode.OverShare, wantOverShare: "depot"},
		{reason: qlplace.Late, wantStatus: http.StatusTooManyRequests, wantCode: qlcode.QueueFull},
		{reason: qlplace.Full, wantStatus: http.StatusTooManyRequests, wantCode: qlcode.QueueFull},
		{reason: qlplace.NoEngine, wantStatus: http.StatusServiceUnavailable, wantCode: qlcode.NoUpstream},
	}
}

// TestOnlyRefusalsForOverShareTellIt guards against callers below their share that are told to
// be above it, and are limited for that.
func TestOnlyRefusalsForOverShareTellIt(t *testing.T) {
	for _, c := range refusalCases() {
		o := newRefusingOwner(t, c.reason)
		got := o.send(t, http.MethodPost, "/chat/x", promptHeaders(), "prompt")
		if code := got.header.Get(_resultHeader); got.status != c.wantStatus || code != c.wantCode.String() {
			t.Errorf("%v: got status %d, code %s, want %d, %s", c.reason, got.status, code, c.wantStatus, c.wantCode)
		}
		if got, want := got.header.Get("Retry-After"), "0.250"; got != want {
			t.Errorf("%v: Retry-After: got %q, want %q", c.reason, got, want)
		}
		if got := o.recorded(); got != c.wantOverShare {
			t.Errorf("%v: recorded over share: got %q, want %q", c.reason, got, c.wantOverShare)
		}
	}
}

// offload sends a request through another router and returns the answer and how often that
// router was told that the customer is above its share.
func (o *refusingOwner) offload(t *testing.T) (answer string, overShare int) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	server := qloffload.NewServer(qloffload.ServerConfig{
		Handler:  o.forwarder,
		Declines: func(qloffload.Stamp) bool { return false },
		Log:      zap.NewNop(),
	})
	go func() { _ = server.Serve(listener) }()
	other := qloffload.New(qloffload.Config{
		Lag:      func() time.Duration { return 0 },
		MemoryMB: 100,
		Clock:    func() time.Duration { return 0 },
		Log:      zap.NewNop(),
	})
	defer other.Close()
	other.Peers().Set(0, []qloffload.Peer{qloffload.NewPeer(listener.Addr().String(), 1000)})
	request := fmt.Sprintf("POST /chat/x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: i1\r\nKey: k1\r\nTimeout: 1500\r\n%s: 1\r\nContent-Length: 6\r\n\r\nprompt", _promptHeader)
	var text strings.Builder
	caller := qloffload.Caller{
		Write: func(data []byte) error {
			_, err := text.Write(data)
			return err
		},
		Finish:    func(qloffload.Outcome) {},
		OverShare: func() { overShare++ },
	}
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if exchange := other.Start([]byte(request), qloffload.Stamp{}, caller); exchange != nil {
			<-exchange.Done()
			return text.String(), overShare
		}
	}
	t.Fatal("no link was opened within 2 s")
	return "", 0
}

// TestOverShareOfOffloadedRequestIsToldToItsRouter guards against the wrong router learning of
// it: the one that the caller has connected to decides on the customer's next requests.
func TestOverShareOfOffloadedRequestIsToldToItsRouter(t *testing.T) {
	for _, c := range refusalCases() {
		o := newRefusingOwner(t, c.reason)
		answer, got := o.offload(t)
		want := 0
		if c.wantOverShare != "" {
			want = 1
		}
		if got != want {
			t.Errorf("%v: told over share: got %d times, want %d", c.reason, got, want)
		}
		if field := fmt.Sprintf("%s: %s\r\n", _resultHeader, c.wantCode); !strings.Contains(answer, field) || !strings.HasPrefix(answer, fmt.Sprintf("HTTP/1.1 %d ", c.wantStatus)) {
			t.Errorf("%v: got answer %q, want status %d and %q", c.reason, answer, c.wantStatus, field)
		}
		if got := o.recorded(); got != "" {
			t.Errorf("%v: recorded where it was offloaded to: got %q, want none", c.reason, got)
		}
	}
}
