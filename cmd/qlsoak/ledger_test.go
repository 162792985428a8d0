package main

import (
	"net/http"
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/platform/qlsim"
)

// scene is a ledger with one attempt that was sent.
func scene(k kind, planned bool) (*ledger, *attempt) {
	l := newLedger(planned)
	a := &attempt{
		id:       "a1",
		kind:     k,
		customer: "north",
		digest:   qlsim.Digest(nil),
		path:     "/" + k.name + "/1",
		via:      "r1/1",
		sent:     time.Now(),
	}
	l.begin(a)
	return l, a
}

// arrivalOf is what an upstream sees of an attempt that nothing changed.
func arrivalOf(a *attempt, service string) qlsim.Arrival {
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

// TestEachRuleIsChecked breaks one promise at a time.
func TestEachRuleIsChecked(t *testing.T) {
	book, look, gen, chat := _callKinds[0], _callKinds[1], _callKinds[2], _callKinds[3]
	for _, c := range []struct {
		name string
		kind kind
		play func(l *ledger, a *attempt)
		want string
	}{
		{name: "nothing", kind: book, play: func(l *ledger, a *attempt) {
			l.arrive(arrivalOf(a, _orders))
		}},
		{name: "a repeat of a repeatable kind", kind: look, play: func(l *ledger, a *attempt) {
			l.arrive(arrivalOf(a, _orders))
			l.arrive(arrivalOf(a, _orders))
		}},
		{name: "a second run", kind: book, want: "twice", play: func(l *ledger, a *attempt) {
			l.arrive(arrivalOf(a, _orders))
			l.arrive(arrivalOf(a, _orders))
		}},
		{name: "a run after a refusal", kind: book, want: "refused", play: func(l *ledger, a *attempt) {
			a.status = http.StatusServiceUnavailable
			l.arrive(arrivalOf(a, _orders))
		}},
		{name: "a refusal after a run", kind: book, want: "refused", play: func(l *ledger, a *attempt) {
			l.arrive(arrivalOf(a, _orders))
			a.status = http.StatusTooManyRequests
			l.judge(a, http.Header{}, "")
		}},
		{name: "a changed path", kind: book, want: "unasked", play: func(l *ledger, a *attempt) {
			arrival := arrivalOf(a, _orders)
			arrival.Path += "x"
			l.arrive(arrival)
		}},
		{name: "another customer", kind: book, want: "unasked", play: func(l *ledger, a *attempt) {
			arrival := arrivalOf(a, _orders)
			arrival.Customer = "south"
			l.arrive(arrival)
		}},
		{name: "a key passed on", kind: book, want: "unasked", play: func(l *ledger, a *attempt) {
			arrival := arrivalOf(a, _orders)
			arrival.KeyForwarded = true
			l.arrive(arrival)
		}},
		{name: "an attempt of nobody", kind: book, want: "unasked", play: func(l *ledger, a *attempt) {
			arrival := arrivalOf(a, _orders)
			arrival.Attempt = "a2"
			l.arrive(arrival)
		}},
		{name: "the wrong service", kind: book, want: "route", play: func(l *ledger, a *attempt) {
			l.arrive(arrivalOf(a, _engines))
		}},
		{name: "too long a deadline", kind: book, want: "deadline", play: func(l *ledger, a *attempt) {
			arrival := arrivalOf(a, _orders)
			arrival.Timeout = _wait + time.Second
			l.arrive(arrival)
		}},
		{name: "a drained upstream", kind: book, want: "drain", play: func(l *ledger, a *attempt) {
			l.drains["u1"] = time.Now().Add(-2 * _drained)
			l.arrive(arrivalOf(a, _orders))
		}},
		{name: "a drained upstream in a disturbance", kind: book, play: func(l *ledger, a *attempt) {
			l.drains["u1"] = time.Now().Add(-2 * _drained)
			l.disturb()
			l.arrive(arrivalOf(a, _orders))
		}},
		{name: "an old configuration", kind: gen, want: "config", play: func(l *ledger, a *attempt) {
			l.versions = []version{{number: 1}, {number: 2, at: time.Now().Add(-2 * _applied)}}
			l.writes(2)
			l.arrive(arrivalOf(a, genService(1)))
		}},
		{name: "an older version than before", kind: gen, want: "regress", play: func(l *ledger, a *attempt) {
			l.disturb()
			l.versions = []version{{number: 1}, {number: 2}}
			l.writes(2)
			l.effects[a.via] = effect{number: 2, at: time.Now().Add(-time.Second)}
			l.arrive(arrivalOf(a, genService(1)))
		}},
		{name: "a version that nobody writes yet", kind: gen, play: func(l *ledger, a *attempt) {
			// Version 1 sends to the service of version 4.
			l.disturb()
			l.versions = []version{{number: 1}, {number: 2}, {number: 3}}
			l.writes(3)
			l.arrive(arrivalOf(a, genService(4)))
			if got, want := l.effects[a.via].number, uint64(1); got != want {
				l.fail("test", "", "taken for another version")
			}
		}},
		{name: "an answer without signature", kind: book, want: "mixed", play: func(l *ledger, a *attempt) {
			a.status = http.StatusOK
			l.judge(a, http.Header{}, "")
		}},
		{name: "a proper request denied", kind: book, want: "denied", play: func(l *ledger, a *attempt) {
			a.status = http.StatusNotFound
			l.judge(a, http.Header{}, "")
		}},
		{name: "a stream that ends early", kind: chat, want: "order", play: func(l *ledger, a *attempt) {
			a.status, a.whole = http.StatusOK, true
			l.judgeStream(a, qlsim.Event(a.id, 0))
		}},
		{name: "an event left out", kind: chat, want: "order", play: func(l *ledger, a *attempt) {
			l.judgeStream(a, qlsim.Event(a.id, 1))
		}},
		{name: "no answer in planned work", kind: book, want: "lost", play: func(l *ledger, a *attempt) {
			l.planned, a.closed = true, true
			a.ended = a.sent.Add(time.Second)
			l.end(a, true)
		}},
	} {
		l, a := scene(c.kind, false)
		c.play(l, a)
		got := ""
		for _, v := range l.violations {
			got += v.rule
		}
		if got != c.want {
			t.Errorf("%s: got violations %q, want %q", c.name, got, c.want)
		}
	}
}

func TestRepeatsBeyondTheBudget(t *testing.T) {
	l := newLedger(false)
	for i := range 2 * _retryAllowance {
		_, a := scene(_callKinds[1], false)
		a.id = a.id + string(rune('a'+i))
		l.begin(a)
		for n := range 2 {
			arrival := arrivalOf(a, _orders)
			arrival.Upstream = []string{"u1", "u2"}[n]
			l.arrive(arrival)
		}
	}
	violations := l.close()
	if len(violations) != 1 || violations[0].rule != "budget" {
		t.Errorf("violations: got %v, want one of the budget", violations)
	}
}
