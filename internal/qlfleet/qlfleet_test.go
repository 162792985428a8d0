package qlfleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlengine"
	"github.com/quetzallane/quetzallane/internal/qlfleetwire"
	"github.com/quetzallane/quetzallane/internal/qlowner"
	"github.com/quetzallane/quetzallane/internal/qlplace"
	"github.com/quetzallane/quetzallane/internal/qlposition"
	"go.uber.org/zap"
)

// startFleets starts routers on loopback addresses that share a port, and waits
// until all are live in each other's view.
func startFleets(t *testing.T, count int) []*Fleet {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_, port, err := net.SplitHostPort(listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	var fleets []*Fleet
	began := time.Now()
	for i := range count {
		f, err := New(Config{
			Core: qlowner.Config{
				Self:             fmt.Sprintf("r%d", i),
				Zone:             "z1",
				Address:          fmt.Sprintf("127.0.0.%d:%s", i+1, port),
				Incarnation:      1,
				Random:           rand.New(rand.NewPCG(1, uint64(i))),
				Seeds:            []string{"127.0.0.1:" + port},
				Revisions:        func() (uint64, qlposition.Position) { return 0, qlposition.Position{} },
				OnNewerDocuments: func(string) {},
			},
			AnswerFetch: func(request *qlfleetwire.FetchRequest) *qlfleetwire.FetchReply {
				return &qlfleetwire.FetchReply{
					ConfigurationRevision: request.GetConfigurationRevision() + 1,
					Configuration:         []byte("document"),
				}
			},
			OnTick: func(_, _ time.Duration) {},
			Clock:  func() time.Duration { return time.Since(began) },
			Log:    zap.NewNop(),
		})
		if err != nil {
			t.Fatal(err)
		}
		f.Core().Placer().SetEngines([]qlplace.EngineInfo{{
			ID:      "e1",
			Service: "models",
			Config: qlengine.Config{
				Slots: 8,
			},
		}})
		go f.Run(ctx)
		fleets = append(fleets, f)
	}
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		all := true
		for _, f := range fleets {
			all = all && f.LiveCount() == count
		}
		if all {
			return fleets
		}
		if time.Now().After(end) {
			t.Fatal("routers have not found each other within 5 s")
		}
	}
}

func TestAllRoutersAskTheSameOwner(t *testing.T) {
	fleets := startFleets(t, 3)
	deciders := map[string]bool{}
	for i, f := range fleets {
		decision := f.Ask(context.Background(), &qlplace.Request{
			Key: qlengine.Key{
				Request: uint64(i),
			},
			Service:          "models",
			LatencyObjective: time.Second,
		})
		if decision.Engine != "e1" {
			t.Errorf("router %d: got %+v, want engine e1", i, decision)
		}
		deciders[decision.Decider] = true
		f.FirstEvent(uint64(i), 0)
		f.End(uint64(i), qlengine.Completed)
	}
	if len(deciders) != 1 {
		t.Errorf("deciders: got %v, want one", deciders)
	}
}

func TestAskReturnsWhenContextEnds(t *testing.T) {
	f := startFleets(t, 1)[0]
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	done := make(chan struct{})
	go func() {
		f.Ask(ctx, &qlplace.Request{
			Service: "none",
		})
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(time.Second):
		t.Error("Ask did not return within 1 s of its context's end")
	}
}

func TestFetch(t *testing.T) {
	fleets := startFleets(t, 2)
	reply, err := fleets[1].Fetch(context.Background(), fleets[0].config.Core.Address, &qlfleetwire.FetchRequest{
		ConfigurationRevision: 6,
	})
	if err != nil {
		t.Fatal(err)
	}
	if reply.GetConfigurationRevision() != 7 || string(reply.GetConfiguration()) != "document" {
		t.Errorf("reply: got %v, want the document under revision 7", reply)
	}
}

// TestPanicInAnEventEndsNothing has an event panic in the control goroutine, as a
// malformed packet that meets a fault might make it. The router must go on.
func TestPanicInAnEventEndsNothing(t *testing.T) {
	f := startFleets(t, 1)[0]
	f.Post(func(time.Duration) { panic("fault") })
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	decision := f.Ask(ctx, &qlplace.Request{
		Key: qlengine.Key{
			Request: 1,
		},
		Service:          "models",
		LatencyObjective: time.Second,
	})
	if got, want := decision.Engine, "e1"; got != want {
		t.Errorf("engine after the panic: got %q, want %q", got, want)
	}
}

// TestQuestionsThatWaitTooLongAreDropped guards against an owner that decides questions whose
// routers no longer wait, and tells nobody that it is late.
func TestQuestionsThatWaitTooLongAreDropped(t *testing.T) {
	const (
		stall = 150 * time.Millisecond
		limit = 10 * time.Second
	)
	fleets := startFleets(t, 2)
	lastRequest := uint64(0)
	ask := func(f *Fleet) qlplace.Decision {
		lastRequest++
		return f.Ask(context.Background(), &qlplace.Request{
			Key: qlengine.Key{
				Request: lastRequest,
			},
			Service:          "models",
			LatencyObjective: time.Second,
		})
	}
	owner, asker := fleets[0], fleets[1]
	if ask(owner).Decider != "r0" {
		owner, asker = asker, owner
	}
	dropped, strained := uint64(0), false
	for end := time.Now().Add(limit); (dropped == 0 || !strained) && time.Now().Before(end); {
		owner.Post(func(time.Duration) { time.Sleep(stall) })
		ask(asker)
		owner.Call(func(time.Duration) { dropped = owner.Core().Stats().QuestionsDropped })
		ask(asker)
		strained = strained || asker.OwnerStrained()
	}
	if dropped == 0 {
		t.Errorf("the owner has dropped no question that waited for up to %v", stall)
	}
	if !strained {
		t.Error("the router that asks does not know that its owner is strained")
	}
}
