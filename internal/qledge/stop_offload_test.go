package qledge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qlloopbacktest"
	"github.com/quetzallane/quetzallane/internal/qlsetting"
)

// _tinyFraction is the part of a processor of a router that offloads nearly all requests.
const _tinyFraction = 0.001

// stopPair is a router with little processor time that offloads its requests to another
// one. One of the two runs as a process, and stops.
type stopPair struct {
	upstream *workingUpstream
	stopping *routerProcess
	// callers is the address of the router that offloads.
	callers string
	// offloaded returns how many requests were offloaded.
	offloaded func() uint64
}

// startStopPair starts both routers and waits until one offloads.
func startStopPair(t *testing.T, offloaderStops bool) *stopPair {
	t.Helper()
	free := freePorts(t, 2)
	configure := func(settings *qlsetting.Edge, n int, fraction float64) {
		_, port, err := net.SplitHostPort(free[0])
		if err != nil {
			t.Fatal(err)
		}
		_, offloadPort, err := net.SplitHostPort(free[1])
		if err != nil {
			t.Fatal(err)
		}
		settings.PeerAddress = net.JoinHostPort(qlloopbacktest.IP(n), port)
		settings.OffloadAddress = net.JoinHostPort(qlloopbacktest.IP(n), offloadPort)
		settings.Seeds = []string{qlloopbacktest.IP(1) + ":1", qlloopbacktest.IP(2) + ":1"}
		settings.ProcessorFraction = fraction
	}
	fractions := map[bool]float64{true: _tinyFraction, false: 1}
	p := &stopPair{
		upstream: newWorkingUpstream(t),
	}
	store := newFakeStore()
	store.addRoutes(p.upstream.address())
	other := startEdge(t, "r2", store, func(settings *qlsetting.Edge) { configure(settings, 2, fractions[!offloaderStops]) })
	settings := stopSettings(t)
	configure(settings, 1, fractions[offloaderStops])
	p.stopping = startProcess(t, settings, p.upstream.address())
	if offloaderStops {
		p.callers, p.offloaded = p.stopping.callers, other.edge.offloadServer.Taken
	} else {
		p.callers, p.offloaded = other.callers, func() uint64 { return other.edge.offloader.Stats().Offloaded }
	}
	for end := time.Now().Add(8 * time.Second); p.offloaded() < 5; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no requests were offloaded within 8 s")
		}
		for _, path := range []string{_lookupPath, _streamPath} {
			if c, err := dialRouter(p.callers); err == nil {
				c.ask(path, "first", 0)
				_ = c.conn.Close()
			}
		}
	}
	return p
}

// heldRequests returns requests that end at once, before the end of a stop, and after it,
// each on a connection of its own.
func (p *stopPair) heldRequests(t *testing.T) []*stopRequest {
	t.Helper()
	var requests []*stopRequest
	for _, path := range []string{_lookupPath, _orderPath, _streamPath} {
		for n, work := range []time.Duration{_shortWork, _grace / 2, _grace / 2, 2 * _grace, 2 * _grace} {
			caller, err := dialRouter(p.callers)
			if err != nil {
				t.Fatal(err)
			}
			requests = append(requests, &stopRequest{
				path:   path,
				work:   work,
				at:     time.Duration(n),
				caller: caller,
			})
		}
	}
	return requests
}

// stopDuring stops one router once nearly all requests were offloaded.
func (p *stopPair) stopDuring(t *testing.T, requests []*stopRequest) {
	t.Helper()
	before, want := p.offloaded(), uint64(len(requests)-2)
	var running sync.WaitGroup
	for _, r := range requests {
		running.Go(func() { r.answer = r.caller.ask(r.path, r.id(), r.work) })
	}
	for end := time.Now().Add(2 * time.Second); p.offloaded()-before < want && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if err := p.stopping.command.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	running.Wait()
	<-p.stopping.exited
	if got := p.offloaded() - before; got < want {
		t.Errorf("offloaded: got %d, want at least %d", got, want)
	}
}

// TestOffloadedRequestsDuringPlannedStopAreAnswered guards against offloaded requests that
// a stop, of either router, cuts without an answer.
func TestOffloadedRequestsDuringPlannedStopAreAnswered(t *testing.T) {
	for name, offloaderStops := range map[string]bool{
		"the router that offloads stops": true,
		"the router that takes stops":    false,
	} {
		t.Run(name, func(t *testing.T) {
			p := startStopPair(t, offloaderStops)
			requests := p.heldRequests(t)
			p.stopDuring(t, requests)
			for _, r := range requests {
				t.Log(r.result(p.upstream))
				r.checkOffloaded(t, p.upstream)
			}
		})
	}
}

// dialSlow opens a connection with small buffers at both ends.
func dialSlow(address string) (*routerCaller, error) {
	const (
		segmentBytes = 536
		bufferBytes  = 4096
	)
	dialer := net.Dialer{
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optionErr error
			err := raw.Control(func(descriptor uintptr) {
				optionErr = errors.Trace(syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes))
				if optionErr == nil {
					optionErr = errors.Trace(syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bufferBytes))
				}
			})
			if err != nil {
				return errors.Trace(err)
			}
			return optionErr
		},
	}
	conn, err := dialer.Dial("tcp4", address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &routerCaller{
		conn:   conn,
		reader: bufio.NewReader(conn),
	}, errors.Trace(conn.SetDeadline(time.Now().Add(15 * time.Second)))
}

// TestSlowCallerGetsOffloadedAnswerDuringPlannedStop guards against an answer that was
// received from another router and is cut while its caller still reads it.
func TestSlowCallerGetsOffloadedAnswerDuringPlannedStop(t *testing.T) {
	const callers = 4
	p := startStopPair(t, true)
	slow := make([]*routerCaller, callers)
	for i := range slow {
		var err error
		if slow[i], err = dialSlow(p.callers); err != nil {
			t.Fatal(err)
		}
		text := strings.Replace(routerRequest(_orderPath, fmt.Sprint(i), 0), "\r\n", "\r\n"+_largeHeader+": 1\r\n", 1)
		if _, err := io.WriteString(slow[i].conn, text); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(100 * time.Millisecond)
	if err := p.stopping.command.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	time.Sleep(_notice + _grace/5)
	for i, caller := range slow {
		if answer := caller.read(); answer.status != http.StatusOK || !answer.whole || len(answer.body) != _largeBytes {
			t.Errorf("caller %d: got status %d, %d bytes, %v, want 200 and %d", i, answer.status, len(answer.body), answer.err, _largeBytes)
		}
	}
}

func (r *stopRequest) result(upstream *workingUpstream) string {
	return fmt.Sprintf("%s: got status %d, whole %v, runs %d, %v", r.id(), r.answer.status, r.answer.whole, upstream.runs(r.id()), r.answer.err)
}

// checkOffloaded checks what the caller of a request got that was sent before the stop.
func (r *stopRequest) checkOffloaded(t *testing.T, upstream *workingUpstream) {
	t.Helper()
	outlasts := r.work > _grace
	streamBegan := r.path == _streamPath && r.answer.status == http.StatusOK
	switch {
	case upstream.runs(r.id()) != 1:
		t.Errorf("%s, want one run", r.result(upstream))
	case !outlasts && (r.answer.status != http.StatusOK || !r.answer.whole):
		t.Errorf("%s, want 200", r.result(upstream))
	case outlasts && !streamBegan && (r.answer.status < http.StatusBadGateway || !r.answer.whole || r.answer.status == http.StatusServiceUnavailable):
		t.Errorf("%s, want 502 or 504", r.result(upstream))
	}
}
