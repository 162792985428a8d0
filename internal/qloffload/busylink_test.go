package qloffload

import (
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
)

// acceptLinks accepts links until the listener is closed, and counts them. Nobody reads from the
// first link.
func acceptLinks(t *testing.T, listener net.Listener, accepted *atomic.Int64) {
	t.Helper()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		t.Cleanup(func() { _ = conn.Close() })
		if _, err := conn.Write([]byte{_hello}); err != nil {
			t.Errorf("hello: %v", err)
		}
		if accepted.Add(1) > 1 {
			go func() { _, _ = io.Copy(io.Discard, conn) }()
		}
	}
}

// TestBusyLinkKeepsNoRequestFromRouterWithRoom guards against refusals while the socket buffers
// of one link are full and the router at its other end has room.
func TestBusyLinkKeepsNoRequestFromRouterWithRoom(t *testing.T) {
	const (
		requests     = 400
		requestBytes = 60 << 10
		wantOffloads = 300
	)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var accepted atomic.Int64
	go acceptLinks(t, listener, &accepted)
	started := time.Now()
	o := New(Config{
		Lag:      func() time.Duration { return 0 },
		MemoryMB: 100,
		Clock:    func() time.Duration { return time.Since(started) },
		Log:      zap.NewNop(),
	})
	t.Cleanup(func() {
		o.Close()
		_ = listener.Close()
	})
	o.Peers().Set(0, []Peer{NewPeer(listener.Addr().String(), 1000)})
	request := []byte("POST / HTTP/1.1\r\n\r\n" + strings.Repeat("x", requestBytes))
	offloaded := 0
	for end := started.Add(4 * time.Second); offloaded < requests && time.Now().Before(end); {
		exchange := o.Start(request, Stamp{}, Caller{
			Finish: func(Outcome) {},
		})
		if exchange == nil {
			time.Sleep(time.Millisecond)
			continue
		}
		offloaded++
	}
	if offloaded < wantOffloads {
		t.Errorf("got %d requests passed on by %d links, want %d; kept: %v", offloaded, accepted.Load(), wantOffloads, o.Stats().Kept)
	}
	if got := accepted.Load(); got > _maxLinksPerPeer {
		t.Errorf("got %d links, want at most %d", got, _maxLinksPerPeer)
	}
}

// TestFurtherLinkThatFailsLeavesTheOpenOneInUse guards against a pause for a router that is
// reached.
func TestFurtherLinkThatFailsLeavesTheOpenOneInUse(t *testing.T) {
	f := newTestFleet(t)
	f.start(get("/plain"))
	address := f.listener.Addr().String()
	f.offloader.mu.Lock()
	links := f.offloader.links[address]
	links.opening = true
	f.offloader.mu.Unlock()
	f.offloader.recordUnreachable(address, links)
	if _, ok := f.offloader.Peers().Choose(f.offloader.config.Clock(), 0.5); !ok {
		t.Error("no router is chosen after a further link was not opened")
	}
	if links.opening || links.openAfter == 0 {
		t.Errorf("got opening %v, again after %v, want a later try", links.opening, links.openAfter)
	}
}
