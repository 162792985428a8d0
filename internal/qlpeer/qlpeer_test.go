package qlpeer_test

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlpeer"
	"github.com/quetzallane/quetzallane/internal/qlwire"
	"google.golang.org/protobuf/proto"
)

func offer(waiting uint32) *qlwire.Message {
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

// sink serves peers and counts what they send.
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
	s.peers = qlpeer.New(qlpeer.Config{Self: "sink", Epoch: 1})
	go func() {
		_ = s.peers.Serve(ctx, listener, qlpeer.Handler{
			Receive: func(_ string, _ uint64, messages []*qlwire.Message) {
				for _, message := range messages {
					waiting := int64(message.GetOffer().GetLevels()[0].GetWaiting())
					if s.last.Swap(waiting) > waiting {
						s.inOrder.Store(false)
					}
					s.received.Add(1)
				}
			},
			Snapshot: func(request *qlwire.FetchRequest) *qlwire.Snapshot {
				return &qlwire.Snapshot{
					ConfigurationRevision: request.GetConfigurationRevision() + 1,
					Parts:                 [][]byte{make([]byte, 5<<20)},
				}
			},
		})
	}()
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
	// Not more at once than a queue holds, since a full one may drop.
	const batch = 250
	for i := range uint32(8 * batch) {
		peers.Send("r2", offer(i))
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
	if got, want := len(snapshot.GetParts()[0]), 5<<20; got != want {
		t.Errorf("part: got %d bytes, want %d", got, want)
	}
}

// TestFrameOverhead measures what a frame with one message adds to it at the
// connection; docs/CAPACITY.md and the bench of qlcore use the figure. It
// counts at the receiver, whose count is complete before a message is handed
// on: the sender's may lag behind by the first or the last frame.
func TestFrameOverhead(t *testing.T) {
	s := newSink(t)
	peers := newPeers(t, s)
	peers.Send("r2", offer(1))
	s.wait(t, 1)
	before := s.peers.Counters().BytesReceived.Load()
	const count = 100
	for i := range int64(count) {
		peers.Send("r2", offer(1))
		s.wait(t, i+2)
	}
	frame := proto.Size(&qlwire.Frame{
		Messages: []*qlwire.Message{offer(1)},
	})
	overhead := float64(s.peers.Counters().BytesReceived.Load()-before)/count - float64(frame)
	t.Logf("overhead of a frame: %.1f bytes", overhead)
	if want := 4.0; overhead > want {
		t.Errorf("overhead of a frame: got %.1f bytes, want at most %.0f", overhead, want)
	}
}

// TestConnectionMemory measures what an open connection to a peer holds, both
// ends together, since both are in this process.
func TestConnectionMemory(t *testing.T) {
	s := newSink(t)
	peers := newPeers(t, s)
	use := func() uint64 {
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc + stats.StackInuse
	}
	before := use()
	const count = 100
	for i := range count {
		peers.Send(fmt.Sprint("peer-", i), offer(1))
	}
	s.wait(t, count)
	each := (int64(use()) - int64(before)) / count
	t.Logf("a connection, both ends: %d bytes of heap and stacks", each)
	// 780 ends at the target's 390 nodes are to stay under half of 32 MB.
	if want := int64(2 * 16 << 20 / 780); each > want {
		t.Errorf("a connection, both ends: got %d bytes, want at most %d", each, want)
	}
}
