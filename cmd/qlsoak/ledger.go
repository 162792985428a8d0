package main

import (
	"fmt"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/quetzallane/quetzallane/platform/qlsim"
)

const (
	// _calm is how long nothing may have been disturbed for a bound in time to
	// hold.
	_calm = 3 * time.Second
	// _applied is when a configuration has to be in force after its ack, and
	// _drained when no request may reach an upstream any more.
	_applied = 2 * time.Second
	_drained = 2 * time.Second
	// _regress is how long after an effect of a version older ones may be seen.
	_regress = 250 * time.Millisecond
	// _crossing is how long a request may cross a connection's planned close.
	_crossing = 200 * time.Millisecond
	// _deadlineSlack is by how much more time than the caller gives an upstream
	// may be told.
	_deadlineSlack = 500 * time.Millisecond
	// _retryRatio, _retryWindow and _retryAllowance bound arrivals beyond the
	// first of each request.
	_retryRatio     = 0.2
	_retryWindow    = 10 * time.Second
	_retryAllowance = 20
	_gens           = 3
)

// violation is a promise that was not kept.
type violation struct {
	rule, attempt, text string
}

// version is a configuration that was acknowledged.
type version struct {
	number uint64
	at     time.Time
}

// effect is the latest version that a process showed.
type effect struct {
	number uint64
	at     time.Time
}

// ledger keeps what callers sent and got and what upstreams saw.
type ledger struct {
	mu         sync.Mutex
	planned    bool
	disturbed  time.Time
	versions   []version
	writing    uint64
	effects    map[string]effect
	attempts   map[string]*attempt
	arrivals   map[string][]qlsim.Arrival
	drains     map[string]time.Time
	violations []violation
	outcomes   map[string]int
}

func newLedger(planned bool) *ledger {
	return &ledger{
		planned:  planned,
		effects:  make(map[string]effect),
		attempts: make(map[string]*attempt),
		arrivals: make(map[string][]qlsim.Arrival),
		drains:   make(map[string]time.Time),
		outcomes: make(map[string]int),
	}
}

func (l *ledger) fail(rule, attempt, text string) {
	l.violations = append(l.violations, violation{
		rule:    rule,
		attempt: attempt,
		text:    text,
	})
}

// failNow is fail for those that do not hold the lock.
func (l *ledger) failNow(rule, attempt, text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fail(rule, attempt, text)
}

// disturb says that something unplanned goes on now.
func (l *ledger) disturb() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.disturbed = time.Now()
}

// writes says that the operator begins to write a version.
func (l *ledger) writes(number uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writing = number
}

func (l *ledger) acknowledged(number uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions = append(l.versions, version{
		number: number,
		at:     time.Now(),
	})
}

func (l *ledger) drain(upstream string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drains[upstream] = time.Now()
}

func (l *ledger) begin(a *attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts[a.id] = a
}

// arrive takes what reached an upstream.
func (l *ledger) arrive(arrival qlsim.Arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.attempts[arrival.Attempt]
	if a == nil {
		l.fail("unasked", arrival.Attempt, "no caller sent it")
		return
	}
	l.arrivals[a.id] = append(l.arrivals[a.id], arrival)
	if !arrival.Started {
		return
	}
	switch {
	case arrival.Path != a.path || arrival.Method != a.kind.method || arrival.BodyDigest != a.digest:
		l.fail("unasked", a.id, "it was changed: "+arrival.Method+" "+arrival.Path)
	case arrival.Customer != a.customer:
		l.fail("unasked", a.id, "it ran for customer "+arrival.Customer+", not "+a.customer)
	case arrival.KeyForwarded:
		l.fail("unasked", a.id, "the key was passed on")
	case !strings.HasPrefix(arrival.Service, serviceOf(a.kind)):
		l.fail("route", a.id, "it ran at service "+arrival.Service)
	case l.isCalm(arrival.At) && (arrival.Timeout > _wait-arrival.At.Sub(a.sent)+_deadlineSlack || arrival.Timeout <= 0):
		l.fail("deadline", a.id, fmt.Sprintf("%v left was passed on after %v", arrival.Timeout, arrival.At.Sub(a.sent)))
	}
	l.checkRuns(a)
	l.checkDrain(a, arrival)
	if a.kind.name == "gen" {
		l.checkVersion(a, arrival)
	}
}

func (l *ledger) ran(id string) (runs int) {
	for _, arrival := range l.arrivals[id] {
		if arrival.Started {
			runs++
		}
	}
	return runs
}

func (l *ledger) checkRuns(a *attempt) {
	if runs := l.ran(a.id); runs > 1 && !a.kind.repeatable {
		l.fail("twice", a.id, fmt.Sprintf("it ran %d times", runs))
	}
	if qlsim.GuaranteesNotRun(a.status) {
		l.fail("refused", a.id, fmt.Sprintf("it ran after status %d", a.status))
	}
}

func (l *ledger) isCalm(at time.Time) bool {
	return at.Sub(l.disturbed) > _calm
}

func (l *ledger) checkDrain(a *attempt, arrival qlsim.Arrival) {
	since, draining := l.drains[arrival.Upstream]
	if draining && arrival.At.Sub(since) > _drained && l.isCalm(arrival.At) {
		l.fail("drain", a.id, fmt.Sprintf("it reached %s %v after it was draining", arrival.Upstream, arrival.At.Sub(since)))
	}
}

// checkVersion compares which service ran a request, which changes with each
// version, with those that may be in force.
func (l *ledger) checkVersion(a *attempt, arrival qlsim.Arrival) {
	newest, oldest := uint64(0), uint64(0)
	for _, v := range l.versions {
		if genService(v.number) == arrival.Service {
			newest = v.number
		}
		if a.sent.Sub(v.at) > _applied && l.isCalm(arrival.At) {
			oldest = v.number
		}
	}
	// What the operator writes may be in force before it is acknowledged here.
	if genService(l.writing) == arrival.Service {
		newest = max(newest, l.writing)
	}
	if newest < oldest {
		l.fail("config", a.id, fmt.Sprintf("%s ran it, as of version %d, after %d was due", arrival.Service, newest, oldest))
	}
	seen := l.effects[a.via]
	if newest < seen.number && a.sent.Sub(seen.at) > _regress {
		l.fail("regress", a.id, fmt.Sprintf("%s showed version %d after %d", a.via, newest, seen.number))
	}
	if newest > seen.number {
		l.effects[a.via] = effect{
			number: newest,
			at:     arrival.At,
		}
	}
}

// judge compares an answer with what upstreams sent.
func (l *ledger) judge(a *attempt, header http.Header, body string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	signature := qlsim.Signature(header)
	signer, signed, _ := strings.Cut(signature, ".")
	switch {
	case signature != "" && signed != a.id:
		l.fail("mixed", a.id, "the answer to "+signed)
	case a.status/100 == 2 && signature == "":
		l.fail("mixed", a.id, "success without an upstream's signature")
	case a.status/100 == 2 && a.kind.stream:
		l.judgeStream(a, body)
	case a.status/100 == 2 && a.whole && body != qlsim.Body(signer, a.id):
		l.fail("mixed", a.id, fmt.Sprintf("a changed body of %d bytes", len(body)))
	case a.status/100 == 4 && signature == "" && !qlsim.GuaranteesNotRun(a.status):
		l.fail("denied", a.id, fmt.Sprintf("status %d", a.status))
	case qlsim.GuaranteesNotRun(a.status) && l.ran(a.id) > 0:
		l.fail("refused", a.id, fmt.Sprintf("status %d after it ran", a.status))
	}
}

func (l *ledger) judgeStream(a *attempt, body string) {
	want := ""
	for n := range _events {
		want += qlsim.Event(a.id, n)
	}
	if !strings.HasPrefix(want, body) || a.whole && body != want {
		l.fail("order", a.id, fmt.Sprintf("the stream is not that of the upstream, or ends before its end: %d of %d bytes, whole %v",
			len(body), len(want), a.whole))
	}
}

// end takes the end of a caller's exchange.
func (l *ledger) end(a *attempt, stopping bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	outcome := fmt.Sprint(a.status)
	switch {
	case a.status == 0 && a.closed:
		outcome = "closed"
	case a.status == 0:
		outcome = "no answer"
	case a.status/100 == 2 && !a.whole:
		outcome = "cut"
	}
	l.outcomes[outcome]++
	if !l.planned || outcome != "closed" && outcome != "no answer" && outcome != "cut" {
		return
	}
	// Nothing but planned work goes on: a request that was taken is answered.
	crossing := outcome == "closed" && a.ended.Sub(a.sent) <= _crossing && l.ran(a.id) == 0
	if !crossing {
		l.fail("lost", a.id, fmt.Sprintf("%s after %v, at %s, told to stop %v", outcome, a.ended.Sub(a.sent), a.via, stopping))
	}
}

// close checks what only the whole run shows.
func (l *ledger) close() []violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := make(map[string][]time.Time)
	again := make(map[string][]time.Time)
	for id, arrivals := range l.arrivals {
		counted := 0
		for i, arrival := range arrivals {
			if arrival.Started && i > 0 && arrivals[i-1].Upstream == arrival.Upstream && !arrivals[i-1].Started {
				// The same arrival, told again when it ran.
				continue
			}
			counted++
			service := arrival.Service
			if counted == 1 {
				first[service] = append(first[service], l.attempts[id].sent)
			} else {
				again[service] = append(again[service], arrival.At)
			}
		}
	}
	for service, times := range again {
		l.checkBudget(service, first[service], times)
	}
	return l.violations
}

func (l *ledger) checkBudget(service string, first, again []time.Time) {
	sort.Slice(again, func(i, j int) bool { return again[i].Before(again[j]) })
	for i, from := range again {
		until := from.Add(_retryWindow)
		repeats, requests := 0, 0
		for _, at := range again[i:] {
			if at.Before(until) {
				repeats++
			}
		}
		for _, at := range first {
			// Requests are counted in the window or in the one before.
			if at.Before(until) && at.After(from.Add(-_retryWindow)) {
				requests++
			}
		}
		if float64(repeats) > _retryRatio*float64(requests)+_retryAllowance {
			l.fail("budget", "", fmt.Sprintf("%d repeats of %d requests to %s within %v", repeats, requests, service, _retryWindow))
			return
		}
	}
}
