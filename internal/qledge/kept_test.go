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
	"github.com/quetzallane/quetzallane/internal/qlloopbacktest"
	"github.com/quetzallane/quetzallane/internal/qloffload"
	"github.com/quetzallane/quetzallane/internal/qlsetting"
	"go.uber.org/zap"
)

// _refuseHeader asks for a refusal by the intake.
const _refuseHeader = "Refuse"

// _crowdedDescriptors makes a router close idle connections while _keptCallers are connected,
// _roomyDescriptors doesn't.
const (
	_crowdedDescriptors = 40
	_roomyDescriptors   = 1000
	_keptCallers        = 30
	_keptHeaderBytes    = 8 << 10
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
	config    keptFrontConfig
	pauser    *pauser
}

// keptFrontConfig configures a keptFront.
type keptFrontConfig struct {
	seed     uint64
	offloads bool
	// descriptors limits the connections.
	descriptors int
	idleTimeout time.Duration
	// headerTimeout limits the time to send the head of a request.
	headerTimeout time.Duration
	// asksToClose makes each offloaded answer the last one of its connection.
	asksToClose bool
	// linkLife is after which time each link to the other router is reset, 0 for never.
	linkLife time.Duration
}

// breakLinks passes links on to a router and resets each after the time. It returns the
// address for links.
func breakLinks(t *testing.T, to string, life time.Duration) string {
	t.Helper()
	listener, err := net.Listen("tcp4", qlloopbacktest.IP(1)+":0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			from, err := listener.Accept()
			if err != nil {
				return
			}
			target, err := net.Dial("tcp4", to)
			if err != nil {
				_ = from.Close()
				continue
			}
			time.AfterFunc(life, func() { resetConnections(from, target) })
			go func() { _, _ = io.Copy(target, from) }()
			go func() { _, _ = io.Copy(from, target) }()
		}
	}()
	return listener.Addr().String()
}

func resetConnections(conns ...net.Conn) {
	for _, conn := range conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

func newKeptFront(t *testing.T, config keptFrontConfig) *keptFront {
	t.Helper()
	f := &keptFront{
		upstream: newWorkingUpstream(t),
		callers:  newCallerConnections(config.descriptors, 256),
		config:   config,
		pauser: &pauser{
			random: rand.New(rand.NewPCG(config.seed, 0)),
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
	peers := []qloffload.Peer{qloffload.NewPeer(takes, 1)}
	if config.linkLife > 0 {
		// A router whose link has broken is left alone for a while.
		peers = nil
		for range _keptCallers {
			peers = append(peers, qloffload.NewPeer(breakLinks(t, takes, config.linkLife), 1))
		}
	}
	f.offloader.Peers().Set(0, peers)
	inner, err := net.Listen("tcp4", qlloopbacktest.IP(1)+":0")
	if err != nil {
		t.Fatal(err)
	}
	f.address = inner.Addr().String()
	server := &http.Server{
		Handler:           router.edge.forwarder,
		IdleTimeout:       config.idleTimeout,
		ReadHeaderTimeout: config.headerTimeout,
		MaxHeaderBytes:    _keptHeaderBytes,
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
		MaxWaiting: 128,
		Listener:   inner,
		Delay:      func() time.Duration { return 0 },
		Paced:      func() bool { return false },
		Admit:      f.callers.admit,
		Intake: qlintake.New(qlintake.Config{
			Customer:       func(head qlintake.Head) (service, customer string) { return "", head.Get(_refuseHeader) },
			Decide:         f.decide,
			DecideDeclined: func(string, string) qladmission.Action { return qladmission.Handle },
			Refusal: func(head qlintake.Head, _ qladmission.Action, closing bool) (answer []byte, closes bool) {
				return router.edge.forwarder.RefuseHead(head.Get, closing)
			},
			IdleTimeout: func() time.Duration { return f.config.idleTimeout },
			Offloader:   f.offloader,
			Stamp: func() qloffload.Stamp {
				return qloffload.Stamp{
					Revision:   router.edge.revision.Load(),
					AskToClose: f.config.asksToClose,
				}
			},
			OnState: f.callers.onStateChange,
			Pause:   f.pauser.pause,
		}),
		AdmitRequest:        func([]byte) bool { return false },
		Refusal:             router.edge.forwarder.RawRefusal,
		OnState:             f.callers.onStateChange,
		FirstRequestTimeout: func() time.Duration { return f.config.headerTimeout },
		Log:                 zap.NewNop(),
	})
}

func (f *keptFront) decide(_, customer string, offloadable bool) qladmission.Action {
	ready, _ := f.offloader.Ready()
	switch {
	case customer != "":
		return qladmission.Refuse
	case f.config.offloads && offloadable && ready:
		return qladmission.Offload
	}
	return qladmission.Handle
}

// keptSeries is what became of one caller's requests.
type keptSeries struct {
	answered int
	// unanswered are the ids of requests whose connection ended without an answer, brokenOff
	// those of which it ended within the answer.
	unanswered []string
	brokenOff  []string
}

// ask sends requests in series, on one connection until that ends.
func (f *keptFront) ask(name string, random *rand.Rand, count int) (*keptSeries, error) {
	const (
		longestWork  = 2 * time.Millisecond
		longestThink = 3 * time.Millisecond
	)
	think := func() time.Duration { return time.Duration(random.Int64N(int64(longestThink))) }
	if f.config.idleTimeout < time.Second {
		// Requests arrive about when the connection has been idle for too long.
		think = func() time.Duration {
			return f.config.idleTimeout - longestThink/2 + time.Duration(random.Int64N(int64(longestThink)))
		}
	}
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
		switch {
		case answer.whole:
			series.answered++
		case answer.status != 0:
			series.brokenOff = append(series.brokenOff, id)
		default:
			series.unanswered = append(series.unanswered, id)
		}
		if !answer.whole || answer.closes {
			_ = caller.conn.Close()
			caller = nil
		}
		time.Sleep(think())
	}
	if caller != nil {
		_ = caller.conn.Close()
	}
	return series, nil
}

// play has all callers send requests, and checks that none reached the upstream whose
// connection ended without an answer. It returns how many connections ended so.
func (f *keptFront) play(t *testing.T, requests int) (ended int64) {
	t.Helper()
	var running sync.WaitGroup
	var answered, unanswered, passedOn, brokenOff atomic.Int64
	for n := range _keptCallers {
		running.Go(func() {
			series, err := f.ask(fmt.Sprint("c", n), rand.New(rand.NewPCG(f.config.seed, uint64(n+1))), requests)
			if err != nil {
				t.Error(err)
				return
			}
			// A request that is passed on late would have arrived by then.
			time.Sleep(100 * time.Millisecond)
			answered.Add(int64(series.answered))
			unanswered.Add(int64(len(series.unanswered)))
			brokenOff.Add(int64(len(series.brokenOff)))
			for _, id := range series.unanswered {
				if f.upstream.runs(id) > 0 {
					passedOn.Add(1)
				}
			}
		})
	}
	running.Wait()
	_, closed, _ := f.callers.counts()
	t.Logf("%d answered, %d offloaded, %d connections closed as idle to keep the limit, %d requests that crossed a close, %d answers that broke off",
		answered.Load(), f.offloader.Stats().Offloaded, closed, unanswered.Load()-passedOn.Load(), brokenOff.Load())
	if got := brokenOff.Load(); f.config.linkLife == 0 && got != 0 {
		t.Errorf("answers that broke off: got %d, want 0", got)
	}
	if got := passedOn.Load(); got != 0 {
		t.Errorf("requests that reached an upstream and whose connection ended without an answer: got %d, want 0", got)
	}
	return unanswered.Load()
}

// TestNoRequestIsPassedOnWhoseIdleConnectionIsClosed guards against a router that closes a
// kept connection as idle while it passes a request from it on to an upstream.
func TestNoRequestIsPassedOnWhoseIdleConnectionIsClosed(t *testing.T) {
	const requests = 150
	for seed := range uint64(2) {
		for name, offloads := range map[string]bool{"served here": false, "passed on to a router": true} {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				f := newKeptFront(t, keptFrontConfig{
					seed:          seed,
					offloads:      offloads,
					descriptors:   _crowdedDescriptors,
					idleTimeout:   time.Minute,
					headerTimeout: time.Minute,
				})
				f.play(t, requests)
				if _, closed, _ := f.callers.counts(); closed == 0 {
					t.Error("no connection was closed while idle, want some")
				}
			})
		}
	}
}

// TestNoRequestIsPassedOnWhoseConnectionWasIdleForTooLong is the same for requests that arrive
// when the time for which a connection may be idle ends.
func TestNoRequestIsPassedOnWhoseConnectionWasIdleForTooLong(t *testing.T) {
	const requests = 40
	for name, offloads := range map[string]bool{"served here": false, "passed on to a router": true} {
		t.Run(name, func(t *testing.T) {
			f := newKeptFront(t, keptFrontConfig{
				offloads:      offloads,
				descriptors:   _roomyDescriptors,
				idleTimeout:   20 * time.Millisecond,
				headerTimeout: time.Minute,
			})
			if f.play(t, requests) == 0 {
				t.Error("no connection was closed as idle for too long, want some")
			}
		})
	}
}

// TestConnectionThatClosesAfterAnAnswerSaysSo guards against callers that send their next
// request on a connection which the router closes after an offloaded answer.
func TestConnectionThatClosesAfterAnAnswerSaysSo(t *testing.T) {
	const requests = 100
	f := newKeptFront(t, keptFrontConfig{
		offloads:      true,
		descriptors:   _roomyDescriptors,
		idleTimeout:   time.Minute,
		headerTimeout: time.Minute,
		asksToClose:   true,
	})
	if got := f.play(t, requests); got != 0 {
		t.Errorf("connections that ended without an answer: got %d, want 0", got)
	}
}

// TestNoConnectionEndsWithoutAnswerThoughLinksBreak guards against callers whose connections
// end without an answer when the link breaks on which their requests were passed on.
func TestNoConnectionEndsWithoutAnswerThoughLinksBreak(t *testing.T) {
	const requests = 100
	f := newKeptFront(t, keptFrontConfig{
		offloads:      true,
		descriptors:   _roomyDescriptors,
		idleTimeout:   time.Minute,
		headerTimeout: time.Minute,
		linkLife:      50 * time.Millisecond,
	})
	if got := f.play(t, requests); got != 0 {
		t.Errorf("connections that ended without an answer: got %d, want 0", got)
	}
	if f.offloader.Stats().Broken == 0 {
		t.Error("no request was on a link that broke, want some")
	}
}

// TestReloadClosesNoConnection guards against requests that are cut when a router reloads its
// settings or gets another configuration.
func TestReloadClosesNoConnection(t *testing.T) {
	const work = 300 * time.Millisecond
	upstream := newWorkingUpstream(t)
	store := newFakeStore()
	store.addRoutes(upstream.address())
	router := startEdge(t, "r1", store, nil)
	router.awaitCount(t, len(store.upstreams))
	for _, path := range []string{_orderPath, _streamPath} {
		caller, err := dialRouter(router.callers)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = caller.conn.Close() }()
		answer := make(chan routerAnswer, 1)
		go func() { answer <- caller.ask(path, path, work) }()
		awaitTrue(func() bool { return upstream.runs(path) > 0 })
		router.edge.Reload(router.edge.settings)
		store.commit(func() { store.config = store.revision })
		if got := <-answer; got.status != http.StatusOK || !got.whole {
			t.Errorf("%s during the reload: got status %d, %v, want 200", path, got.status, got.err)
		}
		if got := caller.ask(path, path+"-next", 0); got.status != http.StatusOK || !got.whole {
			t.Errorf("%s after the reload: got status %d, %v, want 200", path, got.status, got.err)
		}
	}
}

// TestRequestsThatDoNotArriveWholeAreNotPassedOn guards against a request that reaches an
// upstream although its connection is closed for what it lacks.
func TestRequestsThatDoNotArriveWholeAreNotPassedOn(t *testing.T) {
	whole := func(id string) string { return routerRequest(_orderPath, id, 0) }
	for name, text := range map[string]func(id string) string{
		"head in part": func(id string) string { return whole(id)[:40] },
		"body in part": func(id string) string { return strings.TrimSuffix(whole(id), "dy") },
		"head too long": func(id string) string {
			return strings.Replace(whole(id), "\r\n", "\r\nX: "+strings.Repeat("x", 4*_keptHeaderBytes)+"\r\n", 1)
		},
		"malformed": func(id string) string { return strings.Replace(whole(id), "Host: h", "Ho st: h", 1) },
		"unknown encoding": func(id string) string {
			return strings.Replace(whole(id), "Content-Length: 4", "Transfer-Encoding: zip", 1)
		},
	} {
		for place, offloads := range map[string]bool{"served here": false, "passed on to a router": true} {
			t.Run(name+", "+place, func(t *testing.T) {
				checkNotPassedOn(t, offloads, text("second"))
			})
		}
	}
}

// checkNotPassedOn checks that a text which is not a whole request gets an error or no answer,
// and that its request, with the id second, does not reach the upstream.
func checkNotPassedOn(t *testing.T, offloads bool, text string) {
	t.Helper()
	const limit = 200 * time.Millisecond
	f := newKeptFront(t, keptFrontConfig{
		offloads:      offloads,
		descriptors:   _roomyDescriptors,
		idleTimeout:   limit,
		headerTimeout: limit,
	})
	caller, err := dialRouter(f.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = caller.conn.Close() }()
	awaitTrue(func() bool {
		got := caller.ask(_orderPath, "first", 0)
		// The server has ended the request by then: the intake sees the next one.
		time.Sleep(limit / 10)
		return got.status == http.StatusOK && (!offloads || f.offloader.Stats().Offloaded > 0)
	})
	_ = caller.conn.SetDeadline(time.Now().Add(4 * limit))
	if _, err := io.WriteString(caller.conn, text); err != nil {
		t.Fatal(err)
	}
	got := caller.read()
	t.Logf("got status %d, %v", got.status, got.err)
	if got.status != 0 && got.status < http.StatusBadRequest {
		t.Errorf("got status %d, want none or an error", got.status)
	}
	if got := f.upstream.runs("second"); got != 0 {
		t.Errorf("requests at the upstream: got %d, want none", got)
	}
}
