package qlpeer_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlpeer"
	"github.com/quetzallane/quetzallane/internal/qlwire"
	"google.golang.org/protobuf/proto"
)

func newOffer(waiting uint32) *qlwire.Message {
	return &qlwire.Message{
		Body: &qlwire.Message_Offer{
			Offer: &qlwire.Offer{
				Levels: []*qlwire.PoolLevel{
					{
						Pool:    "m",
						Waiting: waiting,
					},
				},
			},
		},
	}
}

// sink serves peers, counts their messages and checks the messages' order.
type sink struct {
	address  string
	peers    *qlpeer.Peers
	received atomic.Int64
	inOrder  atomic.Bool
	last     atomic.Int64
}

func newSink(t *testing.T) *sink {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	s := &sink{
		address: listener.Addr().String(),
	}
	s.inOrder.Store(true)
	s.peers = qlpeer.New(qlpeer.Config{
		Self:  "sink",
		Epoch: 1,
		Receive: func(_ string, _ uint64, message *qlwire.Message) {
			waiting := int64(message.GetOffer().GetLevels()[0].GetWaiting())
			if s.last.Swap(waiting) > waiting {
				s.inOrder.Store(false)
			}
			s.received.Add(1)
		},
		Snapshot: func(request *qlwire.FetchRequest) *qlwire.Snapshot {
			return &qlwire.Snapshot{
				ConfigurationRevision: request.GetConfigurationRevision() + 1,
				Parts: []*qlwire.PartDelta{
					{
						Middle: make([]byte, 5<<20),
					},
				},
			}
		},
	})
	go func() { _ = s.peers.Serve(ctx, listener) }()
	return s
}

func (s *sink) wait(t *testing.T, count int64) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for s.received.Load() < count {
		if time.Now().After(deadline) {
			t.Fatalf("got %d messages, want %d", s.received.Load(), count)
		}
		time.Sleep(time.Millisecond)
	}
}

func newPeers(t *testing.T, s *sink) *qlpeer.Peers {
	t.Helper()
	peers := qlpeer.New(qlpeer.Config{
		Self:    "r1",
		Epoch:   1,
		Address: func(string) string { return s.address },
	})
	t.Cleanup(peers.Close)
	return peers
}

func TestMessagesArriveInOrder(t *testing.T) {
	s := newSink(t)
	peers := newPeers(t, s)
	// A batch is no larger than a queue, since a full queue drops messages.
	const batch = 250
	for i := range uint32(8 * batch) {
		peers.Send("r2", newOffer(i))
		if (i+1)%batch == 0 {
			s.wait(t, int64(i+1))
		}
	}
	if !s.inOrder.Load() {
		t.Error("messages arrived out of order")
	}
}

func TestFetchOfALargeSnapshot(t *testing.T) {
	peers := newPeers(t, newSink(t))
	snapshot, err := peers.Fetch(context.Background(), "r2", &qlwire.FetchRequest{
		ConfigurationRevision: 6,
	})
	if err != nil {
		t.Fatal(err)
	}
	if got, want := snapshot.GetConfigurationRevision(), uint64(7); got != want {
		t.Errorf("revision: got %d, want %d", got, want)
	}
	if got, want := len(snapshot.GetParts()[0].GetMiddle()), 5<<20; got != want {
		t.Errorf("part: got %d bytes, want %d", got, want)
	}
}

// TestFrameOverhead measures what the connection adds to a message;
// docs/CAPACITY.md and the benchmark of qlcore use the figure. It counts at the
// receiver, whose count is complete before a message is handed on: the
// sender's may lag behind by the first or the last message.
func TestFrameOverhead(t *testing.T) {
	s := newSink(t)
	peers := newPeers(t, s)
	names := qlwire.NewNameWriter()
	names.Shorten(newOffer(1))
	peers.Send("r2", newOffer(1))
	s.wait(t, 1)
	before := s.peers.Counters().BytesReceived.Load()
	const count = 100
	for i := range int64(count) {
		peers.Send("r2", newOffer(1))
		s.wait(t, i+2)
	}
	message := proto.Size(names.Shorten(newOffer(1)))
	overhead := float64(s.peers.Counters().BytesReceived.Load()-before)/count - float64(message)
	t.Logf("overhead of a message: %.1f bytes", overhead)
	if want := 4.0; overhead > want {
		t.Errorf("overhead of a message: got %.1f bytes, want at most %.0f", overhead, want)
	}
}

// routerPair is two routers that can dial each other.
type routerPair struct {
	peers    [2]*qlpeer.Peers
	received [2]atomic.Int64
	accepted atomic.Int64
}

// countingListener counts the connections of both routers of a pair.
type countingListener struct {
	net.Listener
	accepted *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.accepted.Add(1)
	}
	return conn, err
}

func newRouterPair(t *testing.T) *routerPair {
	t.Helper()
	p := &routerPair{}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	var addresses [2]string
	var listeners [2]net.Listener
	for i := range p.peers {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addresses[i] = listener.Addr().String()
		listeners[i] = &countingListener{
			Listener: listener,
			accepted: &p.accepted,
		}
	}
	for i := range p.peers {
		p.peers[i] = qlpeer.New(qlpeer.Config{
			Self:    fmt.Sprint("r", i),
			Epoch:   1,
			Address: func(string) string { return addresses[1-i] },
			Receive: func(string, uint64, *qlwire.Message) { p.received[i].Add(1) },
		})
		go func() { _ = p.peers[i].Serve(ctx, listeners[i]) }()
		t.Cleanup(p.peers[i].Close)
	}
	return p
}

// exchange sends a message each way and waits for both.
func (p *routerPair) exchange(t *testing.T) {
	t.Helper()
	before := [2]int64{p.received[0].Load(), p.received[1].Load()}
	p.peers[0].Send("r1", newOffer(1))
	p.peers[1].Send("r0", newOffer(1))
	deadline := time.Now().Add(10 * time.Second)
	for i := range p.received {
		for p.received[i].Load() == before[i] {
			if time.Now().After(deadline) {
				t.Fatalf("r%d got no message within 10s", i)
			}
			time.Sleep(time.Millisecond)
		}
	}
}

// TestSimultaneousDialsLeaveOneConnection has both routers of a pair dial at
// the same moment. Each message must arrive, and one connection must be left in
// the end.
func TestSimultaneousDialsLeaveOneConnection(t *testing.T) {
	for range 20 {
		p := newRouterPair(t)
		for range 10 {
			p.exchange(t)
		}
		accepted := p.accepted.Load()
		for range 10 {
			p.exchange(t)
		}
		if got, want := p.accepted.Load(), int64(2); got > want {
			t.Errorf("connections: got %d, want at most %d", got, want)
		}
		if got := p.accepted.Load(); got != accepted {
			t.Errorf("connections while both are up: got %d after %d, want no more", got, accepted)
		}
	}
}
