package qledge

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qladmission"
	"github.com/quetzallane/quetzallane/internal/qlintake"
	"github.com/quetzallane/quetzallane/internal/qloffload"
	"github.com/quetzallane/quetzallane/internal/qlsetting"
	"go.uber.org/zap"
)

// _refuseHeader asks for a refusal by the intake.
const _refuseHeader = "Refuse"

// _keptDescriptors makes a router close idle connections while _keptCallers are connected.
const (
	_keptDescriptors = 40
	_keptCallers     = 30
)

// pauser pauses the goroutines that call it at random.
type pauser struct {
	mu     sync.Mutex
	random *rand.Rand
}

func (p *pauser) pause() {
	const longest = int64(time.Millisecond)
	p.mu.Lock()
	pauses, wait := p.random.IntN(3) == 0, p.random.Int64N(longest)
	p.mu.Unlock()
	if pauses {
		time.Sleep(time.Duration(wait))
	}
}

// keptFront is the part of a router that reads callers' requests and closes idle connections,
// with random pauses in each step. Its requests are served by one router, or passed on to
// another.
type keptFront struct {
	upstream  *workingUpstream
	address   string
	callers   *callerConnections
	offloader *qloffload.Offloader
	offloads  bool
	pauser    *pauser
}

func newKeptFront(t *testing.T, seed uint64, offloads bool) *keptFront {
	t.Helper()
	f := &keptFront{
		upstream: newWorkingUpstream(t),
		callers:  newCallerConnections(_keptDescriptors, 256),
		offloads: offloads,
		pauser: &pauser{
			random: rand.New(rand.NewPCG(seed, 0)),
		},
	}
	store := newFakeStore()
	store.addRoutes(f.upstream.address())
	takes := ""
	router := startEdge(t, "r1", store, func(settings *qlsetting.Edge) {
		takes = settings.OffloadAddress
		settings.Processors = 4
		settings.ProcessorFraction = 1
	})
	router.awaitCount(t, len(store.upstreams))
	started := time.Now()
	f.offloader = qloffload.New(qloffload.Config{
		Lag:            func() time.Duration { return 0 },
		MemoryMB:       256,
		UnknownOutcome: router.edge.forwarder.RawUnknownOutcome,
		Clock:          func() time.Duration { return time.Since(started) },
		Log:            zap.NewNop(),
	})
	t.Cleanup(f.offloader.Close)
	f.offloader.Peers().Set(0, []qloffload.Peer{qloffload.NewPeer(takes, 1)})
	inner, err := net.Listen("tcp4", loopbackAddress(1)+":0")
	if err != nil {
		t.Fatal(err)
	}
	f.address = inner.Addr().String()
	server := &http.Server{
		Handler:     router.edge.forwarder,
		IdleTimeout: time.Minute,
		ConnState: func(conn net.Conn, state http.ConnState) {
			if state != http.StateNew {
				f.callers.onStateChange(conn, state)
			}
		},
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, conn)
		},
	}
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(f.listener(inner, router)) }()
	return f
}

// listener returns the front's listener for callers.
func (f *keptFront) listener(inner net.Listener, router *runningEdge) net.Listener {
	return newLimitListener(listenerConfig{
		Listener: inner,
		Delay:    func() time.Duration { return 0 },
		Paced:    func() bool { return false },
		Admit:    f.callers.admit,
		Intake: qlintake.New(qlintake.Config{
			Customer:       func(head qlintake.Head) (service, customer string) { return "", head.Get(_refuseHeader) },
			Decide:         f.decide,
			DecideDeclined: func(string) qladmission.Action { return qladmission.Handle },
			Refusal: func(head qlintake.Head, _ qladmission.Action, closing bool) (answer []byte, closes bool) {
				return router.edge.forwarder.RefuseHead(head.Get, closing)
			},
			IdleTimeout: func() time.Duration { return time.Minute },
			Offloader:   f.offloader,
			Stamp:       func() qloffload.Stamp { return qloffload.Stamp{Revision: router.edge.revision.Load()} },
			OnState:     f.callers.onStateChange,
			Pause:       f.pauser.pause,
		}),
		AdmitRequest:        func([]byte) bool { return false },
		Refusal:             router.edge.forwarder.RawRefusal,
		OnState:             f.callers.onStateChange,
		FirstRequestTimeout: func() time.Duration { return time.Minute },
		Log:                 zap.NewNop(),
	})
}

func (f *keptFront) decide(_, customer string, offloadable bool) qladmission.Action {
	switch {
	case customer != "":
		return qladmission.Refuse
	case f.offloads && offloadable && f.offloader.Ready():
		return qladmission.Offload
	}
	return qladmission.Handle
}

// keptSeries is what became of one caller's requests.
type keptSeries struct {
	answered int
	// unanswered are the ids of requests whose connection ended without an answer.
	unanswered []string
}

// ask sends requests in series, on one connection until that ends.
func (f *keptFront) ask(name string, random *rand.Rand, count int) (*keptSeries, error) {
	const (
		longestWork  = 2 * time.Millisecond
		longestThink = 3 * time.Millisecond
	)
	series := &keptSeries{}
	var caller *routerCaller
	for n := range count {
		if caller == nil {
			var err error
			if caller, err = dialSlow(f.address); err != nil {
				return nil, err
			}
		}
		id := fmt.Sprintf("%s-%d", name, n)
		text := routerRequest(_orderPath, id, time.Duration(random.Int64N(int64(longestWork))))
		switch random.IntN(8) {
		case 0:
			text = strings.Replace(text, "\r\n", "\r\n"+_refuseHeader+": 1\r\n", 1)
		case 1:
			text = strings.Replace(text, "\r\n", "\r\n"+_largeHeader+": 1\r\n", 1)
		}
		answer := routerAnswer{}
		if _, answer.err = io.WriteString(caller.conn, text); answer.err == nil {
			answer = caller.read()
		}
		if !answer.whole {
			series.unanswered = append(series.unanswered, id)
		} else {
			series.answered++
		}
		if !answer.whole || answer.closes {
			_ = caller.conn.Close()
			caller = nil
		}
		time.Sleep(time.Duration(random.Int64N(int64(longestThink))))
	}
	if caller != nil {
		_ = caller.conn.Close()
	}
	return series, nil
}

// TestNoRequestIsPassedOnWhoseIdleConnectionIsClosed guards against a router that closes a
// kept connection as idle while it passes a request from it on to an upstream.
func TestNoRequestIsPassedOnWhoseIdleConnectionIsClosed(t *testing.T) {
	const requests = 150
	for seed := range uint64(2) {
		for name, offloads := range map[string]bool{"served here": false, "passed on to a router": true} {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				f := newKeptFront(t, seed, offloads)
				var running sync.WaitGroup
				var answered, unanswered, passedOn atomic.Int64
				for n := range _keptCallers {
					running.Go(func() {
						caller := fmt.Sprint("c", n)
						series, err := f.ask(caller, rand.New(rand.NewPCG(seed, uint64(n+1))), requests)
						if err != nil {
							t.Error(err)
							return
						}
						// A request that is passed on late would have arrived by then.
						time.Sleep(100 * time.Millisecond)
						answered.Add(int64(series.answered))
						unanswered.Add(int64(len(series.unanswered)))
						for _, id := range series.unanswered {
							if f.upstream.runs(id) > 0 {
								passedOn.Add(1)
							}
						}
					})
				}
				running.Wait()
				_, closed, _ := f.callers.counts()
				t.Logf("%d answered, %d offloaded, %d connections closed while idle, %d requests that crossed that",
					answered.Load(), f.offloader.Stats().Offloaded, closed, unanswered.Load()-passedOn.Load())
				if closed == 0 {
					t.Error("no connection was closed while idle, want some")
				}
				if got := passedOn.Load(); got != 0 {
					t.Errorf("requests that reached an upstream and whose connection ended without an answer: got %d, want 0", got)
				}
			})
		}
	}
}
