// Package qlshed decides which requests a router refuses because its own
// processor cannot keep up.
//
// It answers the load of a few callers that all come to one small VM: the
// balancer chooses by the caller, so one router may get many times its part
// while others idle. A router that takes more than it can handle answers
// everything late, loses its peers' answers and runs out of memory. Refusing
// costs far less than serving, is certain not to have run the request, and a
// repeat reaches another router. What is admitted is divided between customers
// by max-min: the one that sends most is refused first.
//
// # Usage
//
//	shedder := qlshed.New()
//	shedder.Sample(now, lag) // regularly
//	if !shedder.Admit(now, customer, random.Float64()) { refuse }
package qlshed

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Figures without another source are those that the test's load and the days
// in docs/PLATFORM.md were played with; none was searched for.
const (
	// _target is the lag that is aimed at: below it a request loses a small
	// part of any objective.
	_target = 30 * time.Millisecond
	// _lower is by which part of itself the admitted part shrinks with a sample
	// at twice the target, and _mostLower bounds one sample's.
	_lower     = 0.1
	_mostLower = 0.75
	// _raise is by which part of itself the admitted part grows with the first
	// sample without lag; each next one raises it by that much more, so that the
	// part moves little about what the processor bears and is soon back at 1.
	_raise = 0.02
	// _least is the smallest part that is admitted: some requests must show when
	// the load has passed.
	_least = 0.005
	// _window is how long customers' requests are counted, and _slots in how
	// many steps they are forgotten.
	_window = time.Second
	_slots  = 5
	// _withdrawPart is the refused part from which on, after _withdrawAfter, a
	// router withdraws from the balancer's rotation, until it refused nothing
	// for _calm.
	_withdrawPart  = 0.5
	_withdrawAfter = time.Second
	_calm          = 3 * time.Second
	// _balancerTurns is how long the users' balancer takes to turn to other
	// routers: it asks once a second, and twice.
	_balancerTurns = 2 * time.Second
	// _soon is when callers return to a router that admits most of them, or turn
	// to another, give or take a half: at once, but not all together.
	_soon = 40 * time.Millisecond
)

// Shedder is one router's. It is safe for several goroutines.
type Shedder struct {
	mu       sync.Mutex
	admitted float64
	// inTime counts the samples in a row below the target.
	inTime    int
	customers map[string]*requests
	slot      int64
	// level is how many requests in the window each customer may have.
	level    float64
	levelAt  int64
	levelFor float64
	shed     uint64

	busySince time.Duration
	calmSince time.Duration
	busy      bool
	withdrawn bool
	// withdrawnAt is when the balancer was first told.
	withdrawnAt time.Duration
}

// requests are one customer's in the window.
type requests struct {
	counts  [_slots]float64
	refused [_slots]float64
}

// New returns a shedder that admits everything.
func New() *Shedder {
	return &Shedder{
		admitted:  1,
		customers: make(map[string]*requests),
	}
}

// RecordLag takes how late this process ran what was due.
func (s *Shedder) RecordLag(now, lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	excess := float64(lag-_target) / float64(_target)
	if excess > 0 {
		s.admitted = max(s.admitted*(1-min(_lower*excess, _mostLower)), _least)
		s.inTime = 0
	} else {
		s.inTime++
		s.admitted = min(s.admitted*(1-excess*_raise*float64(s.inTime)), 1)
	}
	s.setWithdrawn(now)
}

func (s *Shedder) setWithdrawn(now time.Duration) {
	if 1-s.admitted < _withdrawPart {
		s.busy = false
	} else if !s.busy {
		s.busy, s.busySince = true, now
	}
	if s.admitted < 1 {
		s.calmSince = now
	}
	switch {
	case !s.withdrawn && s.busy && now-s.busySince >= _withdrawAfter:
		s.withdrawn, s.withdrawnAt = true, now
	case s.withdrawn && now-s.calmSince >= _calm:
		s.withdrawn = false
	}
}

// OutOfRotation reports whether the balancer should send new callers elsewhere.
func (s *Shedder) OutOfRotation() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.withdrawn
}

// Backoff returns when a refused caller should return, and whether a new
// connection reaches another router by now. While most are refused here and
// new connections still come here, an early return would be refused again and
// take the room of others. chance is uniform below 1.
func (s *Shedder) Backoff(now time.Duration, chance float64) (retryAfter time.Duration, elsewhere bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	retryAfter = time.Duration((0.5 + chance) * float64(_soon))
	switch {
	case s.withdrawn:
		turns := s.withdrawnAt + _balancerTurns
		return retryAfter + max(turns-now, 0), now >= turns
	case s.busy:
		// What has lasted for a while may last as long again.
		return retryAfter + now - s.busySince, false
	}
	return retryAfter, false
}

// RefusedFraction returns the part of requests that is refused.
func (s *Shedder) RefusedFraction() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return 1 - s.admitted
}

// RefusedCount returns how many requests were refused.
func (s *Shedder) RefusedCount() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shed
}

// Admit reports whether to serve a customer's request; chance is uniform
// below 1.
func (s *Shedder) Admit(now time.Duration, customer string, chance float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	r := s.customers[customer]
	if r == nil {
		r = &requests{}
		s.customers[customer] = r
	}
	r.counts[s.slot%_slots]++
	if s.admitted == 1 {
		return true
	}
	if s.levelAt != s.slot || s.levelFor != s.admitted {
		s.level = s.computeLevel()
		s.levelAt, s.levelFor = s.slot, s.admitted
	}
	if chance*sum(&r.counts) < s.level {
		return true
	}
	r.refused[s.slot%_slots]++
	s.shed++
	return false
}

// advance forgets counts that left the window.
func (s *Shedder) advance(now time.Duration) {
	slot := int64(now / (_window / _slots))
	for step := max(s.slot+1, slot-_slots+1); step <= slot; step++ {
		for name, r := range s.customers {
			r.counts[step%_slots] = 0
			r.refused[step%_slots] = 0
			if sum(&r.counts) == 0 {
				delete(s.customers, name)
			}
		}
	}
	s.slot = max(s.slot, slot)
}

func sum(counts *[_slots]float64) float64 {
	total := 0.0
	for _, count := range counts {
		total += count
	}
	return total
}

// computeLevel divides what is admitted by max-min.
func (s *Shedder) computeLevel() float64 {
	sums := make([]float64, 0, len(s.customers))
	left := 0.0
	for _, r := range s.customers {
		total := sum(&r.counts)
		sums = append(sums, total)
		left += total
	}
	left *= s.admitted
	slices.Sort(sums)
	for i, total := range sums {
		even := left / float64(len(sums)-i)
		if total >= even {
			return even
		}
		left -= total
	}
	return left
}

// CustomerRefusals are one customer's requests of the last second, for logs and dumps.
type CustomerRefusals struct {
	Customer string `json:"customer"`
	Requests int    `json:"requests"`
	Refused  int    `json:"refused"`
}

// TopRefusals returns the customers that were refused most, so many at most.
func (s *Shedder) TopRefusals(now time.Duration, most int) []CustomerRefusals {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	var states []CustomerRefusals
	for customer, r := range s.customers {
		if refused := sum(&r.refused); refused > 0 {
			states = append(states, CustomerRefusals{
				Customer: customer,
				Requests: int(sum(&r.counts)),
				Refused:  int(refused),
			})
		}
	}
	slices.SortFunc(states, func(a, b CustomerRefusals) int {
		return cmp.Or(cmp.Compare(b.Refused, a.Refused), cmp.Compare(a.Customer, b.Customer))
	})
	return states[:min(most, len(states))]
}
