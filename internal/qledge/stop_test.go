package qledge

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlsetting"
	"github.com/quetzallane/quetzallane/pkg/qljson"
)

const (
	// _grace is the time between the signals of a planned stop in these tests, and _notice
	// the router's time for the load balancer.
	_grace  = 4 * time.Second
	_notice = 1250 * time.Millisecond
	// _shortWork and _longWork are how long an upstream works on a request.
	_shortWork = 40 * time.Millisecond
	_longWork  = _grace
)

// stopSettings returns the settings of a router with a planned stop of _grace.
func stopSettings(t *testing.T) *qlsetting.Edge {
	t.Helper()
	ports := freePorts(t, 5)
	return &qlsetting.Edge{
		ID:                "r1",
		Zone:              "z1",
		CallerAddress:     ports[0],
		ReadyAddress:      ports[1],
		OperationsAddress: ports[2],
		PeerAddress:       ports[3],
		OffloadAddress:    ports[4],
		MemoryMB:          256,
		Descriptors:       1000,
		Processors:        1,
		ProcessorFraction: 1,
		StopDeadline:      qljson.Duration(_grace),
		BalancerNotice:    qljson.Duration(_notice),
		RetryRatio:        0.2,
		RetryWindow:       qljson.Duration(time.Second),
		Placement:         qlsetting.PlacementOwner,
	}
}

// stopRequest is one request during a planned stop.
type stopRequest struct {
	path string
	work time.Duration
	// at is when it is sent, after the signal.
	at     time.Duration
	caller *routerCaller
	answer routerAnswer
	took   time.Duration
}

func (r *stopRequest) id() string {
	return fmt.Sprintf("%s-%v-%v", r.path, r.work, r.at)
}

// TestRequestsDuringPlannedStopAreAnswered guards against requests that a stopping router
// passes on and cuts without an answer at the end.
func TestRequestsDuringPlannedStopAreAnswered(t *testing.T) {
	upstream := newWorkingUpstream(t)
	p := startProcess(t, stopSettings(t), upstream.address())
	var requests []*stopRequest
	for tenth := range 10 {
		for _, path := range []string{_lookupPath, _orderPath, _streamPath} {
			for _, work := range []time.Duration{_shortWork, _longWork} {
				caller, err := dialRouter(p.callers)
				if err != nil {
					t.Fatal(err)
				}
				if answer := caller.ask(_lookupPath, "before", 0); answer.status != http.StatusOK || answer.closes {
					t.Fatalf("before the stop: got status %d, closing %v, error %v", answer.status, answer.closes, answer.err)
				}
				requests = append(requests, &stopRequest{
					path:   path,
					work:   work,
					at:     time.Duration(tenth) * _grace / 10,
					caller: caller,
				})
			}
		}
	}
	began := time.Now()
	p.stop(t)
	var running sync.WaitGroup
	for _, r := range requests {
		running.Go(func() {
			time.Sleep(time.Until(began.Add(r.at)))
			sent := time.Now()
			r.answer = r.caller.ask(r.path, r.id(), r.work)
			r.took = time.Since(sent)
		})
	}
	running.Wait()
	<-p.exited
	if took := time.Since(began); took > _grace {
		t.Errorf("the stop took %v, want at most %v", took, _grace)
	}
	for _, r := range requests {
		t.Logf("%s: %d, whole %v, closes %v, runs %d, after %v: %v", r.id(), r.answer.status, r.answer.whole, r.answer.closes,
			upstream.runs(r.id()), r.took.Round(time.Millisecond), r.answer.err)
		r.check(t, upstream.runs(r.id()))
	}
}

// check checks what the caller got, given how often the upstream has run the request.
func (r *stopRequest) check(t *testing.T, runs int) {
	t.Helper()
	streamBegan := r.path == _streamPath && r.answer.status == http.StatusOK
	switch {
	case r.at > _notice && runs > 0:
		t.Errorf("%s: passed on after the balancer's notice", r.id())
	case r.answer.status == 0 && (runs > 0 || r.at <= _notice):
		t.Errorf("%s: no answer, runs %d, want an answer: %v", r.id(), runs, r.answer.err)
	case r.answer.status == 0:
	case !r.answer.closes:
		t.Errorf("%s: the answer %d does not ask to close the connection", r.id(), r.answer.status)
	case r.answer.status == http.StatusServiceUnavailable && (runs > 0 || r.answer.retryAfter == ""):
		t.Errorf("%s: refused with Retry-After %q, runs %d, want none", r.id(), r.answer.retryAfter, runs)
	case !r.answer.whole && (r.work == _shortWork || !streamBegan):
		t.Errorf("%s: the answer is not complete: %v", r.id(), r.answer.err)
	case r.work == _shortWork && runs > 0 && r.answer.status != http.StatusOK:
		t.Errorf("%s: got status %d, want 200", r.id(), r.answer.status)
	}
}

// TestRequestsWhileConnectionsCloseAreAnsweredOrNotSent guards against requests that a
// stopping router passes on although it is closing their connections.
func TestRequestsWhileConnectionsCloseAreAnsweredOrNotSent(t *testing.T) {
	const (
		connections = 150
		interval    = 500 * time.Microsecond
	)
	upstream := newWorkingUpstream(t)
	settings := stopSettings(t)
	settings.StopDeadline, settings.BalancerNotice = qljson.Duration(2*time.Second), qljson.Duration(200*time.Millisecond)
	p := startProcess(t, settings, upstream.address())
	var requests []*stopRequest
	for n := range connections {
		caller, err := dialRouter(p.callers)
		if err != nil {
			t.Fatal(err)
		}
		if n%3 > 0 {
			caller.ask(_lookupPath, "before", 0)
		}
		requests = append(requests, &stopRequest{
			path:   _orderPath,
			work:   _shortWork,
			at:     settings.BalancerNotice.Std() + time.Duration(n-connections/2)*interval,
			caller: caller,
		})
	}
	if err := p.command.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	var running sync.WaitGroup
	began := time.Now()
	for n, r := range requests {
		running.Go(func() {
			time.Sleep(time.Until(began.Add(r.at)))
			text := routerRequest(r.path, r.id(), r.work)
			if n%2 > 0 {
				text += routerRequest(r.path, r.id()+"-next", r.work)
			}
			if _, r.answer.err = io.WriteString(r.caller.conn, text); r.answer.err == nil {
				r.answer = r.caller.read()
			}
		})
	}
	running.Wait()
	<-p.exited
	counts := make(map[int]int)
	for _, r := range requests {
		counts[r.answer.status]++
		runs := upstream.runs(r.id())
		if answered := r.answer.status == http.StatusOK && r.answer.whole; answered != (runs == 1) || runs > 1 {
			t.Errorf("%s: got status %d, whole %v, runs %d, %v", r.id(), r.answer.status, r.answer.whole, runs, r.answer.err)
		}
		if runs := upstream.runs(r.id() + "-next"); runs > 0 {
			t.Errorf("%s: the request after an answer that asks to close ran %d times", r.id(), runs)
		}
	}
	t.Logf("answers by status: %v", counts)
}
