package qledge

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlloopbacktest"
)

const (
	// _slowdown is how many times longer work takes on the modeled VM than on one core.
	_slowdown = 25
	// The times of a core are those of docs/PLATFORM.md: accepting, reading and refusing on a
	// new connection takes 60 us, of which the refusal on a kept one is 25 us.
	_acceptTime  = _slowdown * 35 * time.Microsecond
	_headTime    = _slowdown * 10 * time.Microsecond
	_refuseTime  = _slowdown * 15 * time.Microsecond
	_offloadTime = _slowdown * 82 * time.Microsecond
	_serveTime   = _slowdown * 250 * time.Microsecond
	// _listenerSlice is how long the goroutine that accepts connections runs before others
	// do: 10 ms in Go, on a VM that has its processor for a fifth of the time.
	_listenerSlice = 50 * time.Millisecond
	_reportPause   = 10 * time.Millisecond
)

// processor is a processor that does one thing at a time, in the order of arrival.
type processor struct {
	mu     sync.Mutex
	freeAt time.Time
}

// reserve queues work and returns when it will be done.
func (p *processor) reserve(work time.Duration) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := time.Now(); p.freeAt.Before(now) {
		p.freeAt = now
	}
	p.freeAt = p.freeAt.Add(work)
	return p.freeAt
}

// run does work and returns once it is done.
func (p *processor) run(work time.Duration) {
	time.Sleep(time.Until(p.reserve(work)))
}

// smallVM is a router whose work takes the time that it would take on a small VM: what it
// does waits for a processor, its control goroutine as well, which so measures a lag.
type smallVM struct {
	processor *processor
	router    *runningEdge
	// address is where the VM accepts callers.
	address string
	// longestWait is the longest time that the control goroutine has waited for the
	// processor, in nanoseconds.
	longestWait atomic.Int64
}

// vmWork counts what a small VM has done.
type vmWork struct {
	accepted  uint64
	offloaded uint64
	refused   uint64
}

func (vm *smallVM) work() vmWork {
	edge := vm.router.edge
	return vmWork{
		accepted:  edge.callers.acceptedCount(),
		offloaded: edge.offloader.Stats().Offloaded,
		refused:   edge.shedder.RefusedCount(),
	}
}

// since returns what was done since the earlier counts.
func (w vmWork) since(earlier vmWork) vmWork {
	return vmWork{
		accepted:  w.accepted - earlier.accepted,
		offloaded: w.offloaded - earlier.offloaded,
		refused:   w.refused - earlier.refused,
	}
}

// startSmallVM runs a small VM beside two idle routers of its zone until the test ends.
func startSmallVM(t *testing.T) *smallVM {
	t.Helper()
	vm := &smallVM{
		processor: &processor{},
	}
	idle1, idle2, store := newFakeStore(), newFakeStore(), newFakeStore()
	// Other routers handle only what the VM offloads.
	offload := func() { vm.processor.run(_offloadTime) }
	idle1.onRequest, idle2.onRequest = offload, offload
	store.onRequest = func() { vm.processor.run(_serveTime) }
	store.onHead = func() { vm.processor.run(_headTime) }
	fleet := startSizedFleet(t, []float64{1, 0.9, 1.0 / _slowdown}, idle1, idle2, store)
	for _, r := range fleet {
		r.awaitState(t, "1 u1")
	}
	vm.router = fleet[2]
	vm.accept(t)
	ctx, cancel := context.WithCancel(context.Background())
	var reporting sync.WaitGroup
	reporting.Go(func() { vm.report(ctx) })
	t.Cleanup(func() {
		cancel()
		reporting.Wait()
	})
	return vm
}

// accept makes the VM accept callers until the test ends.
func (vm *smallVM) accept(t *testing.T) {
	t.Helper()
	listener, err := net.Listen("tcp4", qlloopbacktest.IP(1)+":0")
	if err != nil {
		t.Fatal(err)
	}
	if err := limitAcceptQueue(listener, 1.0/_slowdown); err != nil {
		t.Fatal(err)
	}
	vm.address = listener.Addr().String()
	edge := vm.router.edge
	server := edge.newCallerServer(context.Background())
	// The server ends with an error that says that it was closed.
	go func() {
		_ = server.Serve(edge.newCallerListener(&slowListener{
			Listener:  listener,
			processor: vm.processor,
			freeAt:    time.Now(),
		}, server))
	}()
	t.Cleanup(func() { _ = server.Close() })
}

// report lets the control goroutine wait for the processor, and charges refusals, until the
// context ends.
func (vm *smallVM) report(ctx context.Context) {
	refused := uint64(0)
	for ctx.Err() == nil {
		count := vm.router.edge.shedder.RefusedCount()
		vm.processor.reserve(time.Duration(count-refused) * _refuseTime)
		refused = count
		vm.router.edge.fleet.Call(func(time.Duration) {
			began := time.Now()
			vm.processor.run(0)
			vm.longestWait.Store(max(vm.longestWait.Load(), int64(time.Since(began))))
		})
		time.Sleep(_reportPause)
	}
}

// slowListener accepts connections on a processor. It lets other work run only after each
// slice.
type slowListener struct {
	net.Listener
	processor *processor
	// freeAt is when other work has last run.
	freeAt time.Time
	used   time.Duration
}

// Accept implements net.Listener.
func (l *slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	done := l.processor.reserve(_acceptTime)
	if l.used += _acceptTime; l.used >= _listenerSlice {
		l.used = 0
		time.Sleep(time.Until(done))
	}
	return conn, nil
}
