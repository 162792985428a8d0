package qlintake

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qloffload"
)

// freezingProxy passes bytes on between two routers, except while it is frozen. Its kernel
// goes on to accept what is sent, as that of a frozen process does.
type freezingProxy struct {
	listener net.Listener
	target   string

	mu sync.Mutex
	// thawed is closed while the proxy is not frozen.
	thawed chan struct{}
}

func newFreezingProxy(s *offloadingServer) *freezingProxy {
	p := &freezingProxy{
		listener: s.listen(),
		target:   s.others,
		thawed:   make(chan struct{}),
	}
	close(p.thawed)
	go p.serve()
	return p
}

func (p *freezingProxy) freeze() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.thawed = make(chan struct{})
}

func (p *freezingProxy) thaw() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.thawed)
}

func (p *freezingProxy) awaitThaw() {
	p.mu.Lock()
	thawed := p.thawed
	p.mu.Unlock()
	<-thawed
}

func (p *freezingProxy) serve() {
	for {
		accepted, err := p.listener.Accept()
		if err != nil {
			return
		}
		target, err := net.Dial("tcp4", p.target)
		if err != nil {
			_ = accepted.Close()
			continue
		}
		go p.pass(target, accepted)
		go p.pass(accepted, target)
	}
}

func (p *freezingProxy) pass(to, from net.Conn) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			break
		}
		p.awaitThaw()
		if _, err := to.Write(buffer[:n]); err != nil {
			break
		}
	}
	_, _ = to.Close(), from.Close()
}

// _checkInterval is the time between checks for silent routers.
const _checkInterval = 50 * time.Millisecond

// newFrozenServer returns a server that offloads through a proxy, with a time limit for answers.
func newFrozenServer(t *testing.T, limit time.Duration) (*offloadingServer, *freezingProxy) {
	t.Helper()
	s := newOffloadingServer(t)
	p := newFreezingProxy(s)
	s.offloader.Peers().Set(0, []qloffload.Peer{qloffload.NewPeer(p.listener.Addr().String(), 1)})
	s.dial().awaitOffloading()
	s.timeLimit.Store(int64(limit))
	ticker := time.NewTicker(_checkInterval)
	ended := make(chan struct{})
	go func() {
		for {
			select {
			case <-ticker.C:
				s.offloader.CheckLinks()
			case <-ended:
				return
			}
		}
	}()
	t.Cleanup(func() {
		ticker.Stop()
		close(ended)
	})
	return s, p
}

// TestFrozenRouterIsNotAwaitedBeyondTimeLimit guards against callers that get no answer at
// their time limit, since the router that has taken their request is frozen.
func TestFrozenRouterIsNotAwaitedBeyondTimeLimit(t *testing.T) {
	const (
		limit   = 300 * time.Millisecond
		callers = 3
	)
	s, p := newFrozenServer(t, limit)
	waiting := make([]*offloadCaller, callers)
	for i := range waiting {
		waiting[i] = s.dial()
	}
	p.freeze()
	var running sync.WaitGroup
	for _, caller := range waiting {
		running.Go(func() {
			began := time.Now()
			if got := caller.ask(post("/", "", 1)); got != _timedOutBody {
				t.Errorf("got %q, want %q", got, _timedOutBody)
			}
			if took := time.Since(began); took < limit || took > limit+400*time.Millisecond {
				t.Errorf("the answer took %v, want %v", took, limit)
			}
		})
	}
	running.Wait()
	p.thaw()
	time.Sleep(100 * time.Millisecond)
	// What the other router has sent late must not be the answer to the next request.
	s.handles.Store(true)
	for _, caller := range waiting {
		if got := caller.ask(post("/", "", 1)); got != "here 1" {
			t.Errorf("the next request: got %q, want %q", got, "here 1")
		}
	}
	if active := s.offloader.Active(); active != 0 {
		t.Errorf("got %d active requests, want none", active)
	}
}

// TestBegunAnswerOfFrozenRouterIsReset guards against a caller that waits without a limit for the
// rest of an answer.
func TestBegunAnswerOfFrozenRouterIsReset(t *testing.T) {
	const limit = 400 * time.Millisecond
	s, p := newFrozenServer(t, limit)
	caller := s.dial()
	began := time.Now()
	time.AfterFunc(limit/2, p.freeze)
	got := caller.ask(post("/held", "", 1))
	if took := time.Since(began); took > limit+400*time.Millisecond {
		t.Errorf("the answer took %v, want %v", took, limit)
	}
	if got == "there 1" || got == _timedOutBody {
		t.Errorf("got %q, want an error", got)
	}
	close(s.held)
	p.thaw()
}

// TestSilentRouterIsNotAsked guards against requests that are passed on to a router from which
// nothing comes, long before the fleet takes it for dead, and against a router that is not asked
// once it runs again.
func TestSilentRouterIsNotAsked(t *testing.T) {
	s, p := newFrozenServer(t, time.Second)
	p.freeze()
	waiting := s.dial()
	answered := make(chan string)
	go func() { answered <- waiting.ask(post("/", "", 1)) }()
	time.Sleep(500 * time.Millisecond)
	for range 3 {
		began := time.Now()
		if got := s.dial().ask(post("/", "", 1)); got != "here 1" {
			t.Errorf("while the other router is silent: got %q, want %q", got, "here 1")
		}
		if took := time.Since(began); took > 200*time.Millisecond {
			t.Errorf("the answer took %v", took)
		}
	}
	p.thaw()
	if got := <-answered; got != "there 1" {
		t.Errorf("the request that waited: got %q, want %q", got, "there 1")
	}
	time.Sleep(2 * _checkInterval)
	s.dial().awaitOffloading()
}

// TestTimeOnLinkCountsAsWaited guards against a router that was frozen and sends requests to
// upstreams whose callers have given up meanwhile.
func TestTimeOnLinkCountsAsWaited(t *testing.T) {
	const frozen = 400 * time.Millisecond
	s, p := newFrozenServer(t, 2*time.Second)
	p.freeze()
	time.AfterFunc(frozen, p.thaw)
	if got := s.dial().ask(post("/", "", 1)); got != "there 1" {
		t.Errorf("got %q, want %q", got, "there 1")
	}
	if got := time.Duration(s.waited.Load()); got < frozen-100*time.Millisecond || got > 2*frozen {
		t.Errorf("got %v waited, want %v", got, frozen)
	}
}
