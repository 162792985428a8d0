package qladmission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qloffload"
	"github.com/quetzallane/quetzallane/internal/qlshare"
	"github.com/quetzallane/quetzallane/internal/qlshed"
)

const (
	// _simCapacity is what the owner's engines serve, in requests a second, and
	// _simOwnerDelay how long its answer takes to reach the router.
	_simCapacity   = 240
	_simOwnerDelay = 20 * time.Millisecond
	// Customers below their share send _simSmallRate requests a second each.
	_simSmallCustomers = 5
	_simSmallRate      = 12
	// _simSettled is when the counts of a phase begin.
	_simSettled  = 4 * time.Second
	_simFloodEnd = 16 * time.Second
	_simEnd      = 24 * time.Second
	// _simRecovery is when after a flood nothing is refused.
	_simRecovery = 3 * time.Second
	_simTick     = time.Millisecond
	_simFlooding = "flood"
)

// shareTally counts requests of one customer in a phase.
type shareTally struct {
	sent    int
	refused int
	passed  int
	placed  int
}

// shareSim is an owner that divides its capacity by max-min fairness, behind the limit of one
// router.
type shareSim struct {
	// limit is nil if everything is passed on.
	limit  *ShareLimit
	window *qlshare.Window
	random *rand.Rand
	// answers are the customers whose refusals the router hears of, by time.
	answers map[time.Duration][]string
	flood   map[string]*shareTally
	after   map[string]*shareTally
	// lateRefusals counts refusals later than _simRecovery after the flood, and lastRefusal is
	// the time of the last one.
	lateRefusals int
	lastRefusal  time.Duration
}

func newShareSim(limit *ShareLimit) *shareSim {
	s := &shareSim{
		limit: limit,
		window: qlshare.New(qlshare.Config{
			Span:     time.Second,
			Capacity: _simCapacity,
		}),
		random:  rand.New(rand.NewPCG(34, 218)),
		answers: make(map[time.Duration][]string),
		flood:   make(map[string]*shareTally),
		after:   make(map[string]*shareTally),
	}
	for _, customer := range append(smallCustomers(), _simFlooding) {
		s.flood[customer], s.after[customer] = &shareTally{}, &shareTally{}
	}
	return s
}

func smallCustomers() []string {
	var names []string
	for i := range _simSmallCustomers {
		names = append(names, fmt.Sprintf("small-%d", i))
	}
	return names
}

// run plays a flood of so many times the capacity, and calm after it.
func (s *shareSim) run(times float64) {
	for now := time.Duration(0); now < _simEnd; now += _simTick {
		for _, customer := range s.answers[now] {
			if s.limit != nil {
				s.limit.RecordOverShare(now, customer)
			}
		}
		delete(s.answers, now)
		rate := times * _simCapacity
		if now >= _simFloodEnd {
			rate = _simCapacity / 2
		}
		s.arrive(now, _simFlooding, rate)
		for _, customer := range smallCustomers() {
			s.arrive(now, customer, _simSmallRate)
		}
	}
}

// arrive sends a customer's requests of one tick.
func (s *shareSim) arrive(now time.Duration, customer string, rate float64) {
	expected := rate * _simTick.Seconds()
	count := int(expected)
	if s.random.Float64() < expected-float64(count) {
		count++
	}
	for range count {
		s.send(now, customer)
	}
}

func (s *shareSim) send(now time.Duration, customer string) {
	tally := &shareTally{}
	switch {
	case now >= _simFloodEnd:
		tally = s.after[customer]
	case now >= _simSettled:
		tally = s.flood[customer]
	}
	tally.sent++
	if s.limit != nil && !s.limit.Admit(now, customer, s.random.Float64()) {
		tally.refused++
		s.lastRefusal = now
		if now >= _simFloodEnd+_simRecovery {
			s.lateRefusals++
		}
		return
	}
	tally.passed++
	if s.decide(now, customer) {
		tally.placed++
		return
	}
	s.answers[now+_simOwnerDelay] = append(s.answers[now+_simOwnerDelay], customer)
}

// decide is the owner's decision: it grants a customer its fair share of the capacity, and
// more where capacity is left.
func (s *shareSim) decide(now time.Duration, customer string) bool {
	s.window.AddDemand(now, customer, 1)
	if s.window.Ratio(now, customer) >= 1 && s.granted() >= _simCapacity {
		return false
	}
	s.window.AddGrant(now, customer, 1)
	return true
}

// granted returns what was granted to all customers in the window.
func (s *shareSim) granted() float64 {
	total := 0.0
	for _, state := range s.window.State() {
		total += state.Granted
	}
	return total
}

// TestOnlyCustomersAboveTheirShareAreRefused guards against a limit that refuses customers
// below their share, or takes from one above it what the owner grants.
func TestOnlyCustomersAboveTheirShareAreRefused(t *testing.T) {
	const (
		wantPlaced    = 0.95
		maxPassedPart = 2
	)
	for _, times := range []float64{1, 3, 6, 12} {
		limited, free := newShareSim(NewShareLimit()), newShareSim(nil)
		limited.run(times)
		free.run(times)
		got, without := limited.flood[_simFlooding], free.flood[_simFlooding]
		t.Logf("x%v: the customer above its share: %+v, without the limit %+v; last refusal %v after the flood", times, *got, *without, limited.lastRefusal-_simFloodEnd)
		if float64(got.placed) < wantPlaced*float64(without.placed) {
			t.Errorf("x%v: placed: got %d, want %v of the %d without the limit", times, got.placed, wantPlaced, without.placed)
		}
		if times == 12 && got.passed > maxPassedPart*got.placed {
			t.Errorf("x%v: passed on: got %d, want at most %d times the %d placed", times, got.passed, maxPassedPart, got.placed)
		}
		if limited.lateRefusals != 0 {
			t.Errorf("x%v: got %d refusals later than %v after the flood, want none", times, limited.lateRefusals, _simRecovery)
		}
		for _, customer := range smallCustomers() {
			small := limited.flood[customer]
			if refused := small.refused + limited.after[customer].refused; refused != 0 {
				t.Errorf("x%v: %s is below its share: got %d refusals by the limit, want none", times, customer, refused)
			}
			if small.placed != small.sent {
				t.Errorf("x%v: %s is below its share: got %d of %d requests placed, want all", times, customer, small.placed, small.sent)
			}
		}
	}
}

// TestNoCustomerIsRefusedWithoutTheOwner guards against a refusal that no word of the owner
// stands behind.
func TestNoCustomerIsRefusedWithoutTheOwner(t *testing.T) {
	const requestsPerTick = 20
	limit := NewShareLimit()
	for now := time.Duration(0); now < 10*time.Second; now += _simTick {
		for range requestsPerTick {
			if !limit.Admit(now, "heavy", 0.999) {
				t.Fatalf("after %v: got a refusal of a customer that the owner has not refused", now)
			}
		}
		if limit.Admit(now, "other", 0); now < time.Second {
			limit.RecordOverShare(now, "other")
		}
	}
	if limit.IsLimiting() {
		t.Error("got a limit in force, want none: no request was refused")
	}
}

// TestCountedCustomersAreBounded guards against memory that grows with customers' names.
func TestCountedCustomersAreBounded(t *testing.T) {
	limit := NewShareLimit()
	now := time.Second
	for i := range 2 * _maxShareCustomers {
		customer := fmt.Sprint(i)
		if !limit.Admit(now, customer, 0.999) {
			t.Fatalf("customer %d: got a refusal, want none", i)
		}
		limit.RecordOverShare(now, customer)
	}
	if got := len(limit.customers); got > _maxShareCustomers {
		t.Errorf("customers: got %d, want at most %d", got, _maxShareCustomers)
	}
	limit.Admit(now+2*_shareWindow, "later", 0)
	if got := len(limit.customers); got != 1 {
		t.Errorf("customers after the window: got %d, want 1", got)
	}
}

// TestRetryAfterGrowsWithTheRefusedPart guards against callers of a refused customer that
// return at once.
func TestRetryAfterGrowsWithTheRefusedPart(t *testing.T) {
	const (
		requests = 10_000
		highest  = 1500 * time.Millisecond
		half     = 0.5
	)
	previous := time.Duration(0)
	for _, refused := range []int{0, 5000, 7500, 9000} {
		limit := NewShareLimit()
		for range requests {
			limit.Admit(0, _testCustomer, 0)
		}
		for range refused {
			limit.RecordOverShare(0, _testCustomer)
		}
		got := limit.RetryAfter(0, _testCustomer, half)
		if got <= previous {
			t.Errorf("%d of %d refused: got %v, want more than %v", refused, requests, got, previous)
		}
		previous = got
	}
	for _, refused := range []int{9900, requests, 2 * requests} {
		limit := NewShareLimit()
		for range requests {
			limit.Admit(0, _testCustomer, 0)
		}
		for range refused {
			limit.RecordOverShare(0, _testCustomer)
		}
		if got := limit.RetryAfter(0, _testCustomer, 0.999); got > highest || got < previous {
			t.Errorf("%d of %d refused: got %v, want %v to %v", refused, requests, got, previous, highest)
		}
	}
	if got := NewShareLimit().RetryAfter(0, "unknown", 0.999); got > highest || got <= 0 {
		t.Errorf("unknown customer: got %v, want up to %v", got, highest)
	}
}

// TestRequestsOfCallersThatLeftDoNotEndTheLimit guards against a flood whose callers leave
// while their requests wait: those were counted as placed.
func TestRequestsOfCallersThatLeftDoNotEndTheLimit(t *testing.T) {
	const (
		refused  = 100
		placed   = 100
		left     = 800
		received = refused + placed + left
	)
	now := time.Second
	controller := New(Config{
		Budget:     qloffload.NewBudget(0),
		Shedder:    qlshed.New(),
		CanOffload: func() (bool, qloffload.Reason) { return true, 0 },
		Strained:   func() bool { return true },
		Clock:      func() time.Duration { return now },
		Chance:     func() float64 { return 0 },
	})
	for i := range received {
		if got := controller.Decide(_testService, _testCustomer, true); got != Offload {
			t.Fatalf("request %d: got action %d, want %d", i, got, Offload)
		}
		switch {
		case i < refused:
			controller.RecordOverShare(_testService, _testCustomer)
		case i >= refused+placed:
			controller.Withdraw(_testService, _testCustomer)
		}
	}
	limit := controller.sharesOf(_testService)
	limit.mu.Lock()
	defer limit.mu.Unlock()
	got, want := limit.counts(now, _testCustomer).admittedPart(), _shareMargin*placed/received
	if got < 0.99*want || got > 1.01*want {
		t.Errorf("part that is passed on: got %.2f, want %.2f", got, want)
	}
}
