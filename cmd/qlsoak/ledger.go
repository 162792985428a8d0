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
	// _undisturbedPeriod is how long no fault may have been active for rules with
	// a time limit to apply.
	_undisturbedPeriod = 3 * time.Second
	// _maxAdoptionDelay is the time from the acknowledgement of a configuration
	// until it must be in force on all routers, and _maxDrainDelay the time from
	// the start of an upstream's draining until no request may reach it.
	_maxAdoptionDelay = 2 * time.Second
	_maxDrainDelay    = 2 * time.Second
	// _versionOverlap is how long after the first effect of a version a router
	// may still route by older ones.
	_versionOverlap = 250 * time.Millisecond
	// _closeRaceWindow is how long after it was sent a request may be lost because
	// the router was closing the connection, as planned, at the same time.
	_closeRaceWindow = 200 * time.Millisecond
	// _deadlineSlack is by how much the time left that is passed to an upstream
	// may exceed the time that the caller still waits.
	_deadlineSlack = 500 * time.Millisecond
	// _retryRatio, _retryWindow and _retryAllowance are the routers' settings of
	// these names. They bound arrivals at a service beyond the first of each
	// request: within a window, at most the ratio of its requests plus the
	// allowance.
	_retryRatio     = 0.2
	_retryWindow    = 10 * time.Second
	_retryAllowance = 20
	// _genServiceCount is the number of services between which the route "gen"
	// moves; see genService.
	_genServiceCount = 3
)

// violation is a breach of one of the routers' guarantees: the name of its rule, the
// id of the attempt, which is empty if it concerns no single request, and a text that
// says what was observed.
type violation struct {
	rule, attempt, text string
}

// acknowledgedVersion is a configuration version whose write the store has
// acknowledged.
type acknowledgedVersion struct {
	number         uint64
	acknowledgedAt time.Time
}

// observedVersion is the newest configuration version by which a router process
// was seen to route, and when that was first seen.
type observedVersion struct {
	number     uint64
	observedAt time.Time
}

// ledger records what callers send and receive and what arrives at upstreams, and
// checks it against the routers' guarantees. It is safe for concurrent use.
type ledger struct {
	mu sync.Mutex
	// plannedOnly is set when the run has planned work only, so that no request
	// may be lost.
	plannedOnly     bool
	lastDisturbance time.Time
	versions        []acknowledgedVersion
	// pendingVersion is the newest version whose write has begun, acknowledged or
	// not.
	pendingVersion uint64
	// observed is by router process, attempts and arrivals are by attempt id, and
	// drainStarts is by upstream id.
	observed    map[string]observedVersion
	attempts    map[string]*attempt
	arrivals    map[string][]qlsim.Arrival
	drainStarts map[string]time.Time
	violations  []violation
	// outcomes counts attempts by status or other outcome.
	outcomes map[string]int
}

func newLedger(plannedOnly bool) *ledger {
	return &ledger{
		plannedOnly: plannedOnly,
		observed:    make(map[string]observedVersion),
		attempts:    make(map[string]*attempt),
		arrivals:    make(map[string][]qlsim.Arrival),
		drainStarts: make(map[string]time.Time),
		outcomes:    make(map[string]int),
	}
}

// addViolationLocked is addViolation for callers that hold the lock.
func (l *ledger) addViolationLocked(rule, attempt, text string) {
	l.violations = append(l.violations, violation{
		rule:    rule,
		attempt: attempt,
		text:    text,
	})
}

// addViolation records a violation of a rule.
func (l *ledger) addViolation(rule, attempt, text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addViolationLocked(rule, attempt, text)
}

// recordDisturbance records that a fault that is not planned work is active now.
func (l *ledger) recordDisturbance() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastDisturbance = time.Now()
}

// recordPendingVersion records that the operator begins to write a version.
func (l *ledger) recordPendingVersion(number uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pendingVersion = number
}

// recordAcknowledgement records that the store has acknowledged a version.
func (l *ledger) recordAcknowledgement(number uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions = append(l.versions, acknowledgedVersion{
		number:         number,
		acknowledgedAt: time.Now(),
	})
}

// recordDrain records that an upstream is draining from now on.
func (l *ledger) recordDrain(upstream string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drainStarts[upstream] = time.Now()
}

// recordAttempt records a request that is about to be sent.
func (l *ledger) recordAttempt(a *attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts[a.id] = a
}

// recordArrival records a request that reached an upstream, and checks it if the
// upstream executes it.
func (l *ledger) recordArrival(arrival qlsim.Arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.attempts[arrival.Attempt]
	if a == nil {
		l.addViolationLocked("unasked", arrival.Attempt, "reached an upstream, but no caller sent it")
		return
	}
	l.arrivals[a.id] = append(l.arrivals[a.id], arrival)
	if !arrival.Started {
		return
	}
	switch {
	case arrival.Path != a.path || arrival.Method != a.kind.method || arrival.BodyDigest != a.digest:
		l.addViolationLocked("unasked", a.id, "the request was changed on the way: "+arrival.Method+" "+arrival.Path)
	case arrival.Customer != a.customer:
		l.addViolationLocked("unasked", a.id, "executed for customer "+arrival.Customer+", want "+a.customer)
	case arrival.KeyForwarded:
		l.addViolationLocked("unasked", a.id, "the caller's API key was passed on to the upstream")
	case !strings.HasPrefix(arrival.Service, servicePrefix(a.kind)):
		l.addViolationLocked("route", a.id, "executed by the wrong service "+arrival.Service)
	case l.isUndisturbed(arrival.At) && (arrival.Timeout > _callerTimeout-arrival.At.Sub(a.sentAt)+_deadlineSlack || arrival.Timeout <= 0):
		l.addViolationLocked("deadline", a.id, fmt.Sprintf("%v of time left was passed on to the upstream %v after the request was sent", arrival.Timeout, arrival.At.Sub(a.sentAt)))
	}
	l.checkExecutions(a)
	l.checkDrain(a, arrival)
	if a.kind.name == "gen" {
		l.checkVersion(a, arrival)
	}
}

// executionCount is executions for callers that do not hold the lock.
func (l *ledger) executionCount(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.executions(id)
}

// executions returns how often upstreams have executed an attempt.
func (l *ledger) executions(id string) (count int) {
	for _, arrival := range l.arrivals[id] {
		if arrival.Started {
			count++
		}
	}
	return count
}

// checkExecutions checks that an attempt that is not repeatable is executed once at
// most, and not after an answer that rules its execution out.
func (l *ledger) checkExecutions(a *attempt) {
	if count := l.executions(a.id); count > 1 && !a.kind.repeatable {
		l.addViolationLocked("twice", a.id, fmt.Sprintf("executed %d times", count))
	}
	if qlsim.GuaranteesNotRun(a.status) {
		l.addViolationLocked("refused", a.id, fmt.Sprintf("executed after status %d, which rules that out", a.status))
	}
}

// isUndisturbed reports whether no fault was active in the _undisturbedPeriod before
// at.
func (l *ledger) isUndisturbed(at time.Time) bool {
	return at.Sub(l.lastDisturbance) > _undisturbedPeriod
}

// checkDrain checks that the arrival is not at an upstream that has been draining for
// longer than _maxDrainDelay.
func (l *ledger) checkDrain(a *attempt, arrival qlsim.Arrival) {
	drainStart, draining := l.drainStarts[arrival.Upstream]
	if draining && arrival.At.Sub(drainStart) > _maxDrainDelay && l.isUndisturbed(arrival.At) {
		l.addViolationLocked("drain", a.id, fmt.Sprintf("reached upstream %s %v after it began to drain", arrival.Upstream, arrival.At.Sub(drainStart)))
	}
}

// checkVersion checks the configuration version by which a request of kind "gen" was
// routed. The service that executed it shows the version, see genService; if several
// versions have that service, the newest of them is assumed. The version must not be
// older than the one that must be in force, nor than one by which the same router
// process has routed before.
func (l *ledger) checkVersion(a *attempt, arrival qlsim.Arrival) {
	routed, required := uint64(0), uint64(0)
	for _, v := range l.versions {
		if genService(v.number) == arrival.Service {
			routed = v.number
		}
		if a.sentAt.Sub(v.acknowledgedAt) > _maxAdoptionDelay && l.isUndisturbed(arrival.At) {
			required = v.number
		}
	}
	// A version may be in force before its acknowledgement is recorded here.
	if genService(l.pendingVersion) == arrival.Service {
		routed = max(routed, l.pendingVersion)
	}
	if routed < required {
		l.addViolationLocked("config", a.id, fmt.Sprintf("executed by %s, the service of version %d, when version %d had to be in force", arrival.Service, routed, required))
	}
	previous := l.observed[a.process]
	if routed < previous.number && a.sentAt.Sub(previous.observedAt) > _versionOverlap {
		l.addViolationLocked("regress", a.id, fmt.Sprintf("%s routed by version %d after version %d", a.process, routed, previous.number))
	}
	if routed > previous.number {
		l.observed[a.process] = observedVersion{
			number:     routed,
			observedAt: arrival.At,
		}
	}
}

// checkAnswer compares an answer with the one that the upstream sent, and its status
// with what upstreams executed.
func (l *ledger) checkAnswer(a *attempt, header http.Header, body string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	signature := qlsim.Signature(header)
	signer, signedAttempt, _ := strings.Cut(signature, ".")
	switch {
	case signature != "" && signedAttempt != a.id:
		l.addViolationLocked("mixed", a.id, "got the answer to "+signedAttempt)
	case a.status/100 == 2 && signature == "":
		l.addViolationLocked("mixed", a.id, "success without an upstream's signature")
	case a.status/100 == 2 && a.kind.stream:
		l.checkStream(a, body)
	case a.status/100 == 2 && a.complete && body != qlsim.Body(signer, a.id):
		l.addViolationLocked("mixed", a.id, fmt.Sprintf("body of %d bytes differs from the upstream's", len(body)))
	case a.status/100 == 4 && signature == "" && !qlsim.GuaranteesNotRun(a.status):
		l.addViolationLocked("denied", a.id, fmt.Sprintf("valid request denied with status %d", a.status))
	case qlsim.GuaranteesNotRun(a.status) && l.executions(a.id) > 0:
		l.addViolationLocked("refused", a.id, fmt.Sprintf("status %d, which rules execution out, after it was executed", a.status))
	}
}

// checkStream checks that a stream's events are the upstream's, in order, without gaps
// and, if the answer is complete, to the last.
func (l *ledger) checkStream(a *attempt, body string) {
	want := ""
	for n := range _eventsPerStream {
		want += qlsim.Event(a.id, n)
	}
	if !strings.HasPrefix(want, body) || a.complete && body != want {
		l.addViolationLocked("order", a.id, fmt.Sprintf("the stream differs from the upstream's or ends early: %d of %d bytes, complete %v",
			len(body), len(want), a.complete))
	}
}

// recordEnd records the outcome of an attempt. In a run with planned work only, it
// checks that the request was answered in full. stopping says whether the router
// process had been asked to stop.
func (l *ledger) recordEnd(a *attempt, stopping bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	outcome := fmt.Sprint(a.status)
	switch {
	case a.status == 0 && a.disconnected:
		outcome = "closed"
	case a.status == 0:
		outcome = "no answer"
	case a.status/100 == 2 && !a.complete:
		outcome = "cut"
	}
	l.outcomes[outcome]++
	if !l.plannedOnly || outcome != "closed" && outcome != "no answer" && outcome != "cut" {
		return
	}
	// During planned work every request must be answered, except one that was sent
	// while the router closed the connection and was not executed.
	closeRace := outcome == "closed" && a.endedAt.Sub(a.sentAt) <= _closeRaceWindow && l.executions(a.id) == 0
	if !closeRace {
		l.addViolationLocked("lost", a.id, fmt.Sprintf("%s after %v, at router process %s, which was asked to stop: %v", outcome, a.endedAt.Sub(a.sentAt), a.process, stopping))
	}
}

// finish checks the retry budget, which takes the whole run, and returns all
// violations.
func (l *ledger) finish() []violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	firstSent := make(map[string][]time.Time)
	retries := make(map[string][]time.Time)
	for id, arrivals := range l.arrivals {
		counted := 0
		for i, arrival := range arrivals {
			if arrival.Started && i > 0 && arrivals[i-1].Upstream == arrival.Upstream && !arrivals[i-1].Started {
				// The upstream records an arrival again when it begins to execute
				// it.
				continue
			}
			counted++
			service := arrival.Service
			if counted == 1 {
				firstSent[service] = append(firstSent[service], l.attempts[id].sentAt)
			} else {
				retries[service] = append(retries[service], arrival.At)
			}
		}
	}
	for service, times := range retries {
		l.checkRetryBudget(service, firstSent[service], times)
	}
	return l.violations
}

// checkRetryBudget checks the retries to a service in the _retryWindow from each
// retry on. firstSent holds when each request was sent, retries the arrivals beyond the
// first of each request.
func (l *ledger) checkRetryBudget(service string, firstSent, retries []time.Time) {
	sort.Slice(retries, func(i, j int) bool { return retries[i].Before(retries[j]) })
	for i, from := range retries {
		until := from.Add(_retryWindow)
		count, requests := 0, 0
		for _, at := range retries[i:] {
			if at.Before(until) {
				count++
			}
		}
		for _, at := range firstSent {
			// Requests of the window and of the one before it count.
			if at.Before(until) && at.After(from.Add(-_retryWindow)) {
				requests++
			}
		}
		if float64(count) > _retryRatio*float64(requests)+_retryAllowance {
			l.addViolationLocked("budget", "", fmt.Sprintf("%d retries for %d requests to %s within %v", count, requests, service, _retryWindow))
			return
		}
	}
}
