package qledge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlconn"
)

const (
	// _passRate is the rate of requests on new connections, in requests a second, that the
	// small VM can accept and offload.
	_passRate = int(time.Second / (_acceptTime + _offloadTime))
	// _calmLoad times _passRate is sent without a flood.
	_calmLoad = 0.7
	// _lightRate is that of each customer below its share.
	_lightRate = 20
	// _lightConnections is how many connections each of those keeps open: enough for
	// answers that take half a second.
	_lightConnections = 10
	// _callerPatience is how long a caller waits for its answer.
	_callerPatience = time.Second
	_settleTime     = 800 * time.Millisecond
	// _endTime is how long the requests of a measurement have to end after it.
	_endTime     = 700 * time.Millisecond
	_measureTime = 1500 * time.Millisecond
	// _returnTime is the time after a flood in which all is to be as before.
	_returnTime = 3 * time.Second
	// _plateau is the part of the requests begun under less load that a VM begins under
	// more: as many, but for the error of the measurement.
	_plateau = 0.8
	// _wantBegun is the part of the requests that begins in calm, and always of customers
	// below their share.
	_wantBegun = 0.95
)

// callerCounts counts a customer's requests by how they, and those that came back, end.
type callerCounts struct {
	sent        atomic.Int64
	begun       atomic.Int64
	refused     atomic.Int64
	unconnected atomic.Int64
	unanswered  atomic.Int64
	cameBack    atomic.Int64
}

func (c *callerCounts) String() string {
	return fmt.Sprintf("%d sent, %d begun, %d refused, %d without a connection, %d without an answer, %d came back",
		c.sent.Load(), c.begun.Load(), c.refused.Load(), c.unconnected.Load(), c.unanswered.Load(), c.cameBack.Load())
}

// floodCaller sends one customer's requests at a rate that does not depend on the answers.
type floodCaller struct {
	customer string
	address  string
	// keep is set if connections are used again.
	keep    bool
	counts  atomic.Pointer[callerCounts]
	rate    atomic.Int64
	sending sync.WaitGroup

	mu   sync.Mutex
	idle []*floodConn
}

type floodConn struct {
	net.Conn
	reader *bufio.Reader
}

// startFloodCaller sends at the rate until the test ends.
func startFloodCaller(t *testing.T, vm *smallVM, customer string, keep bool, rate int) *floodCaller {
	t.Helper()
	c := &floodCaller{
		customer: customer,
		address:  vm.address,
		keep:     keep,
	}
	c.counts.Store(&callerCounts{})
	c.rate.Store(int64(rate))
	stop := make(chan struct{})
	c.sending.Go(func() { c.run(stop) })
	t.Cleanup(func() {
		close(stop)
		c.sending.Wait()
		for _, conn := range c.idle {
			_ = conn.Close()
		}
	})
	return c
}

// open opens connections, one after the other, and leaves them idle.
func (c *floodCaller) open(t *testing.T, count int) {
	t.Helper()
	for range count {
		deadline := time.Now().Add(_callerPatience)
		conn, err := c.dial(deadline)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := conn.exchange(deadline, c.customer); err != nil {
			t.Fatal(err)
		}
		c.mu.Lock()
		c.idle = append(c.idle, conn)
		c.mu.Unlock()
	}
}

func (c *floodCaller) run(stop <-chan struct{}) {
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	last, due := time.Now(), 0.0
	for {
		select {
		case <-stop:
			return
		case now := <-ticker.C:
			for due += now.Sub(last).Seconds() * float64(c.rate.Load()); due >= 1; due-- {
				c.sending.Go(c.sendTwice)
			}
			last = now
		}
	}
}

// sendTwice sends a request, and once again if it is refused.
func (c *floodCaller) sendTwice() {
	counts := c.counts.Load()
	counts.sent.Add(1)
	retryAfter, refused := c.send(counts)
	if !refused {
		return
	}
	time.Sleep(min(retryAfter, _callerPatience))
	counts.cameBack.Add(1)
	c.send(counts)
}

// send sends a request and counts how it ends.
func (c *floodCaller) send(counts *callerCounts) (retryAfter time.Duration, refused bool) {
	deadline := time.Now().Add(_callerPatience)
	conn, err := c.takeIdle(), error(nil)
	if conn == nil {
		conn, err = c.dial(deadline)
	}
	if err != nil {
		counts.unconnected.Add(1)
		return 0, false
	}
	response, err := conn.exchange(deadline, c.customer)
	if err != nil {
		counts.unanswered.Add(1)
		_ = conn.Close()
		return 0, false
	}
	if c.keep && !response.Close {
		c.mu.Lock()
		c.idle = append(c.idle, conn)
		c.mu.Unlock()
	} else {
		_ = conn.Close()
	}
	if response.StatusCode != http.StatusServiceUnavailable {
		counts.begun.Add(1)
		return 0, false
	}
	counts.refused.Add(1)
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return time.Duration(seconds * float64(time.Second)), err == nil
}

func (c *floodCaller) dial(deadline time.Time) (*floodConn, error) {
	dialer := net.Dialer{
		Deadline: deadline,
	}
	conn, err := dialer.Dial("tcp4", c.address)
	if err != nil {
		return nil, err
	}
	return &floodConn{
		Conn:   conn,
		reader: bufio.NewReader(conn),
	}, nil
}

// takeIdle returns the connection that was idle for longest of those that the router has
// not closed, or nil.
func (c *floodCaller) takeIdle() *floodConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.idle) > 0 {
		conn := c.idle[0]
		c.idle = c.idle[1:]
		if !qlconn.ClosedByPeer(conn.Conn) {
			return conn
		}
		_ = conn.Close()
	}
	return nil
}

// exchange sends a request and reads its answer.
func (c *floodConn) exchange(deadline time.Time, customer string) (*http.Response, error) {
	if err := c.SetDeadline(deadline); err != nil {
		return nil, err
	}
	if _, err := fmt.Fprintf(c, "GET /x/ HTTP/1.1\r\nHost: h\r\n%s: %s\r\n\r\n", _keyHeader, customer); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	if closeErr := response.Body.Close(); err == nil {
		err = closeErr
	}
	return response, err
}

// _delayProbePause is how long each sleep lasts that shows the machine's delay.
const _delayProbePause = 2 * time.Millisecond

// machineDelay measures how late sleeps of this process end. The model's processor works by
// such sleeps, so they must end in a small part of the times that it stands for.
type machineDelay struct {
	mu     sync.Mutex
	sleeps []time.Duration
}

// startMachineDelay measures until the test ends.
func startMachineDelay(t *testing.T) *machineDelay {
	t.Helper()
	d := &machineDelay{}
	stop := make(chan struct{})
	var measuring sync.WaitGroup
	measuring.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
			}
			began := time.Now()
			time.Sleep(_delayProbePause)
			d.mu.Lock()
			d.sleeps = append(d.sleeps, time.Since(began)-_delayProbePause)
			d.mu.Unlock()
		}
	})
	t.Cleanup(func() {
		close(stop)
		measuring.Wait()
	})
	return d
}

// take returns what was measured since the last call.
func (d *machineDelay) take() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	sleeps := d.sleeps
	d.sleeps = nil
	if len(sleeps) == 0 {
		return "no sleep has ended"
	}
	slices.Sort(sleeps)
	part := func(p float64) time.Duration {
		return sleeps[int(p*float64(len(sleeps)-1))].Round(10 * time.Microsecond)
	}
	return fmt.Sprintf("sleeps end late by %v (median), %v (99 of 100), %v (longest)", part(0.5), part(0.99), part(1))
}

// floodScene is a small VM with a customer far above its share and two below theirs.
type floodScene struct {
	vm    *smallVM
	delay *machineDelay
	heavy *floodCaller
	light []*floodCaller
}

func startFloodScene(t *testing.T, keep bool) *floodScene {
	t.Helper()
	vm := startSmallVM(t)
	scene := &floodScene{
		vm:    vm,
		delay: startMachineDelay(t),
		heavy: startFloodCaller(t, vm, _heavyCustomer, keep, 0),
		light: []*floodCaller{
			startFloodCaller(t, vm, _lightCustomer, true, _lightRate),
			startFloodCaller(t, vm, _otherCustomer, true, _lightRate),
		},
	}
	for _, caller := range scene.light {
		caller.open(t, _lightConnections)
	}
	return scene
}

// measure sends the load, as a multiple of _passRate, checks customers below their share,
// in calm all of them, and returns how many of the heavy customer's requests begin, per
// second.
func (s *floodScene) measure(t *testing.T, load float64, settle time.Duration) float64 {
	t.Helper()
	s.heavy.rate.Store(int64(load * float64(_passRate)))
	time.Sleep(settle)
	callers := append([]*floodCaller{s.heavy}, s.light...)
	counts := make([]*callerCounts, len(callers))
	work := s.vm.work()
	for i, caller := range callers {
		counts[i] = &callerCounts{}
		caller.counts.Store(counts[i])
	}
	s.vm.longestWait.Store(0)
	s.delay.take()
	time.Sleep(_measureTime)
	for _, caller := range callers {
		caller.counts.Store(&callerCounts{})
	}
	work = s.vm.work().since(work)
	t.Logf("x%v: %+v, longest wait for the processor %v, %s", load, work, time.Duration(s.vm.longestWait.Load()), s.delay.take())
	time.Sleep(_endTime)
	for i, caller := range callers {
		t.Logf("x%v: customer %s: %v", load, caller.customer, counts[i])
	}
	for i, caller := range callers {
		if caller == s.heavy && load > _calmLoad {
			continue
		}
		got, want := counts[i].begun.Load(), _wantBegun*float64(counts[i].sent.Load())
		if float64(got) < want {
			t.Errorf("x%v: customer %s: got %d requests begun, want %.1f", load, caller.customer, got, want)
		}
	}
	return float64(counts[0].begun.Load()) / _measureTime.Seconds()
}

func testFloodCurve(t *testing.T, keep bool) {
	scene := startFloodScene(t, keep)
	want := scene.measure(t, _calmLoad, _settleTime)
	for _, load := range []float64{1.5, 3, 6, 12} {
		got := scene.measure(t, load, _settleTime)
		if got < _plateau*want {
			t.Errorf("x%v: got %.0f requests begun a second, want %v of the %.0f under less load", load, got, _plateau, want)
		}
		want = max(want, got)
	}
}

func TestFloodOfConnectionsDoesNotPushOutWorkThatCanBeDone(t *testing.T) {
	testFloodCurve(t, false)
}

func TestFloodOnKeptConnectionsDoesNotPushOutWorkThatCanBeDone(t *testing.T) {
	testFloodCurve(t, true)
}

func TestVMReturnsFromFlood(t *testing.T) {
	scene := startFloodScene(t, false)
	scene.measure(t, _calmLoad, _settleTime)
	scene.measure(t, 6, _settleTime)
	scene.measure(t, _calmLoad, _returnTime)
}
