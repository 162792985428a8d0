package main

import (
	"net/http"
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/platform/qlsim"
)

// newTestLedger returns a ledger with one attempt that has been sent.
func newTestLedger(k requestKind, plannedOnly bool) (*ledger, *attempt) {
	l := newLedger(plannedOnly)
	a := &attempt{
		id:       "a1",
		kind:     k,
		customer: "north",
		digest:   qlsim.Digest(nil),
		path:     "/" + k.name + "/1",
		process:  "r1/1",
		sentAt:   time.Now(),
	}
	l.recordAttempt(a)
	return l, a
}

// arrivalFor returns the arrival of an attempt that was forwarded correctly.
func arrivalFor(a *attempt, service string) qlsim.Arrival {
	return qlsim.Arrival{
		Attempt:    a.id,
		Upstream:   "u1",
		Service:    service,
		Method:     a.kind.method,
		Path:       a.path,
		Customer:   a.customer,
		BodyDigest: a.digest,
		Started:    true,
		Timeout:    time.Second,
		At:         time.Now(),
	}
}

// TestEachRuleIsChecked breaks one guarantee at a time and expects a violation of its
// rule only.
func TestEachRuleIsChecked(t *testing.T) {
	book, look, gen, chat := _requestKinds[0], _requestKinds[1], _requestKinds[2], _requestKinds[3]
	for _, c := range []struct {
		name   string
		kind   requestKind
		record func(l *ledger, a *attempt)
		want   string
	}{
		{name: "one execution", kind: book, record: func(l *ledger, a *attempt) {
			l.recordArrival(arrivalFor(a, _ordersService))
		}},
		{name: "a second execution of a repeatable kind", kind: look, record: func(l *ledger, a *attempt) {
			l.recordArrival(arrivalFor(a, _ordersService))
			l.recordArrival(arrivalFor(a, _ordersService))
		}},
		{name: "a second execution", kind: book, want: "twice", record: func(l *ledger, a *attempt) {
			l.recordArrival(arrivalFor(a, _ordersService))
			l.recordArrival(arrivalFor(a, _ordersService))
		}},
		{name: "an execution after a refusal", kind: book, want: "refused", record: func(l *ledger, a *attempt) {
			a.status = http.StatusServiceUnavailable
			l.recordArrival(arrivalFor(a, _ordersService))
		}},
		{name: "a refusal after an execution", kind: book, want: "refused", record: func(l *ledger, a *attempt) {
			l.recordArrival(arrivalFor(a, _ordersService))
			a.status = http.StatusTooManyRequests
			l.checkAnswer(a, http.Header{}, "")
		}},
		{name: "a changed path", kind: book, want: "unasked", record: func(l *ledger, a *attempt) {
			arrival := arrivalFor(a, _ordersService)
			arrival.Path += "x"
			l.recordArrival(arrival)
		}},
		{name: "another customer", kind: book, want: "unasked", record: func(l *ledger, a *attempt) {
			arrival := arrivalFor(a, _ordersService)
			arrival.Customer = "south"
			l.recordArrival(arrival)
		}},
		{name: "a key passed on", kind: book, want: "unasked", record: func(l *ledger, a *attempt) {
			arrival := arrivalFor(a, _ordersService)
			arrival.KeyForwarded = true
			l.recordArrival(arrival)
		}},
		{name: "an attempt that no caller sent", kind: book, want: "unasked", record: func(l *ledger, a *attempt) {
			arrival := arrivalFor(a, _ordersService)
			arrival.Attempt = "a2"
			l.recordArrival(arrival)
		}},
		{name: "the wrong service", kind: book, want: "route", record: func(l *ledger, a *attempt) {
			l.recordArrival(arrivalFor(a, _enginesService))
		}},
		{name: "a deadline later than the caller's", kind: book, want: "deadline", record: func(l *ledger, a *attempt) {
			arrival := arrivalFor(a, _ordersService)
			arrival.Timeout = _callerTimeout + time.Second
			l.recordArrival(arrival)
		}},
		{name: "an arrival at a drained upstream", kind: book, want: "drain", record: func(l *ledger, a *attempt) {
			l.drainStarts["u1"] = time.Now().Add(-2 * _maxDrainDelay)
			l.recordArrival(arrivalFor(a, _ordersService))
		}},
		{name: "an arrival at a drained upstream during a fault", kind: book, record: func(l *ledger, a *attempt) {
			l.drainStarts["u1"] = time.Now().Add(-2 * _maxDrainDelay)
			l.recordDisturbance()
			l.recordArrival(arrivalFor(a, _ordersService))
		}},
		{name: "an old configuration", kind: gen, want: "config", record: func(l *ledger, a *attempt) {
			l.versions = []acknowledgedVersion{{number: 1}, {number: 2, acknowledgedAt: time.Now().Add(-2 * _maxAdoptionDelay)}}
			l.recordPendingVersion(2)
			l.recordArrival(arrivalFor(a, genService(1)))
		}},
		{name: "an older version than observed before", kind: gen, want: "regress", record: func(l *ledger, a *attempt) {
			l.recordDisturbance()
			l.versions = []acknowledgedVersion{{number: 1}, {number: 2}}
			l.recordPendingVersion(2)
			l.observed[a.process] = observedVersion{number: 2, observedAt: time.Now().Add(-time.Second)}
			l.recordArrival(arrivalFor(a, genService(1)))
		}},
		{name: "a version that is not written yet", kind: gen, record: func(l *ledger, a *attempt) {
			// Versions 1 and 4 have the same service, so version 1 must be assumed.
			l.recordDisturbance()
			l.versions = []acknowledgedVersion{{number: 1}, {number: 2}, {number: 3}}
			l.recordPendingVersion(3)
			l.recordArrival(arrivalFor(a, genService(4)))
			if got, want := l.observed[a.process].number, uint64(1); got != want {
				l.addViolationLocked("test", "", "recorded as a version other than 1")
			}
		}},
		{name: "an answer without signature", kind: book, want: "mixed", record: func(l *ledger, a *attempt) {
			a.status = http.StatusOK
			l.checkAnswer(a, http.Header{}, "")
		}},
		{name: "a valid request denied", kind: book, want: "denied", record: func(l *ledger, a *attempt) {
			a.status = http.StatusNotFound
			l.checkAnswer(a, http.Header{}, "")
		}},
		{name: "a stream that ends early", kind: chat, want: "order", record: func(l *ledger, a *attempt) {
			a.status, a.complete = http.StatusOK, true
			l.checkStream(a, qlsim.Event(a.id, 0))
		}},
		{name: "a missing event", kind: chat, want: "order", record: func(l *ledger, a *attempt) {
			l.checkStream(a, qlsim.Event(a.id, 1))
		}},
		{name: "no answer with planned work only", kind: book, want: "lost", record: func(l *ledger, a *attempt) {
			l.plannedOnly, a.disconnected = true, true
			a.endedAt = a.sentAt.Add(time.Second)
			l.recordEnd(a, true)
		}},
	} {
		l, a := newTestLedger(c.kind, false)
		c.record(l, a)
		got := ""
		for _, v := range l.violations {
			got += v.rule
		}
		if got != c.want {
			t.Errorf("%s: got violations %q, want %q", c.name, got, c.want)
		}
	}
}

func TestRetryBudgetViolation(t *testing.T) {
	l := newLedger(false)
	for i := range 2 * _retryAllowance {
		_, a := newTestLedger(_requestKinds[1], false)
		a.id = a.id + string(rune('a'+i))
		l.recordAttempt(a)
		for n := range 2 {
			arrival := arrivalFor(a, _ordersService)
			arrival.Upstream = []string{"u1", "u2"}[n]
			l.recordArrival(arrival)
		}
	}
	violations := l.finish()
	if len(violations) != 1 || violations[0].rule != "budget" {
		t.Errorf("got violations %v, want one of rule budget", violations)
	}
}
