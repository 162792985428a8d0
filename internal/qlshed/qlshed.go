// Package qlshed decides which requests a router refuses because its own
// processor cannot keep up.
//
// It protects a VM whose requests no other router takes (see qladmission, which asks it
// last). A router that accepts more requests than it can handle answers all of
// them late, loses the answers of other routers and runs out of memory. A refusal
// costs far less than serving the request and guarantees that the request was not
// run. The admitted requests are divided between customers by max-min fairness: the
// customer that sends most is refused first. It also decides when a router leaves the
// balancer's rotation.
//
// The fraction of requests that is admitted follows the scheduling lag. Two things keep it
// from swinging, since admitted streams cost processor time for seconds: it never falls
// below what makes half of the rate admitted lately, and a router that was overloaded
// limits the next surge to the rate that it has sustained, before lag shows that surge. A
// rate is learned only while no other router takes requests.
// That limit spares customers that send no more than an even share.
//
// # Usage
//
//	shedder := qlshed.New()
//	shedder.RecordLag(now, lag) // regularly
//	if !shedder.Admit(now, customer, random.Float64()) { refuse }
package qlshed

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// _targetLag is the scheduling lag that the shedder aims at. Up to it, a request
	// loses a small part of any latency objective.
	_targetLag = 30 * time.Millisecond
	// _decreaseFactor is the relative decrease of the admitted fraction at a sample
	// of twice the target lag. It grows with the excess over the target, up to
	// _maxDecrease for one sample.
	_decreaseFactor = 0.1
	_maxDecrease    = 0.75
	// _increaseFactor is the relative increase of the admitted fraction at the first
	// sample without lag. It grows by as much with each further sample in a row, so
	// that the fraction varies little around the capacity of the processor and
	// still returns to 1 quickly after an overload.
	_increaseFactor = 0.02
	// _minAdmittedFraction is the lowest admitted fraction: a few requests must be
	// served to show when the overload has passed.
	_minAdmittedFraction = 0.005
	// _sustainedPart of the rate of requests admitted over about _sustainedTime is
	// admitted in any overload. Admitted streams cost processor time for seconds: lag
	// goes on after the fraction has been lowered, and would lower it to almost none.
	_sustainedPart = 0.5
	_sustainedTime = 2500 * time.Millisecond
	// _window is the sliding window in which customers' requests are counted. It
	// advances in _windowSlots steps.
	_window      = time.Second
	_windowSlots = 5
	// _overloadFraction is the refused fraction from which on a router is overloaded.
	_overloadFraction = 0.5
	// _decidedPart of the requests is what Admit has to decide on for its rate to be that of
	// the processor.
	_decidedPart = 0.9
	// _retryDelay is the mean delay before callers retry at a router that admits
	// most requests, or at another one. It is short and randomized by half in both
	// directions, so that callers do not all return together.
	_retryDelay = 40 * time.Millisecond
)

// Shedder decides which requests a router admits. It is safe for concurrent use.
type Shedder struct {
	mu               sync.Mutex
	admittedFraction float64
	// onTimeSamples counts the consecutive samples that did not exceed the target
	// lag.
	onTimeSamples int
	customers     map[string]*requestCounts
	slot          int64
	// lagFraction is the admitted fraction without the limit on surges. It applies to
	// customers that send no more than an even share: a surge is none of theirs.
	lagFraction float64
	// levels were computed for the slot levelsSlot and the fractions at that time.
	levels         shareLevels
	levelsSlot     int64
	levelsAdmitted float64
	refusedCount   uint64
	// sustained is the mean number of requests admitted in a window, over
	// _sustainedTime up to sustainedAt.
	sustained   float64
	sustainedAt time.Duration
	surge       surgeLimit

	overloaded      bool
	overloadedSince time.Duration
	crowding        Crowding
	rotation        rotation
}

// requestCounts counts one customer's requests in the window, by slot.
type requestCounts struct {
	// observed counts all requests, received those that Admit has decided on.
	observed [_windowSlots]float64
	received [_windowSlots]float64
	refused  [_windowSlots]float64
}

// New returns a shedder that admits everything.
func New() *Shedder {
	return &Shedder{
		admittedFraction: 1,
		lagFraction:      1,
		customers:        make(map[string]*requestCounts),
	}
}

// RecordLag adapts the admitted fraction to a sample of the scheduling lag: how long
// after its due time this process handled an event.
func (s *Shedder) RecordLag(now, lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	excess := float64(lag-_targetLag) / float64(_targetLag)
	lowest := max(s.sustainableFraction(now), _minAdmittedFraction)
	if excess > 0 {
		factor := 1 - min(_decreaseFactor*excess, _maxDecrease)
		s.admittedFraction = max(s.admittedFraction*factor, min(lowest, s.admittedFraction))
		s.lagFraction = max(s.lagFraction*factor, min(lowest, s.lagFraction))
		s.onTimeSamples = 0
		if s.overloaded && now-s.overloadedSince >= _surgeLearnDelay && s.decidesOnAll() {
			s.surge.learn(now, s.sustained)
		}
	} else {
		s.onTimeSamples++
		s.surge.relax()
		factor := 1 - excess*_increaseFactor*float64(s.onTimeSamples)
		s.admittedFraction = min(s.admittedFraction*factor, 1)
		s.lagFraction = min(s.lagFraction*factor, 1)
	}
	s.updateRotation(now)
}

// sustainableFraction returns the fraction of the window's requests that makes
// _sustainedPart of the rate at which this router has admitted requests lately.
func (s *Shedder) sustainableFraction(now time.Duration) float64 {
	s.advance(now)
	received, refused := 0.0, 0.0
	for _, r := range s.customers {
		received += sum(&r.received)
		refused += sum(&r.refused)
	}
	weight := min(float64(now-s.sustainedAt)/float64(_sustainedTime), 1)
	s.sustained += (received - refused - s.sustained) * weight
	s.sustainedAt = now
	if received == 0 {
		return 0
	}
	return _sustainedPart * s.sustained / received
}

// decidesOnAll reports whether Admit has decided on nearly all requests of the window. If
// other routers take some, what Admit lets through says nothing of the processor.
func (s *Shedder) decidesOnAll() bool {
	observed, received := 0.0, 0.0
	for _, r := range s.customers {
		observed += sum(&r.observed)
		received += sum(&r.received)
	}
	return received >= _decidedPart*observed
}

// RecordCrowding records how far this router's connections exceed its capacity. It leaves
// the rotation for that, too, at the next sample of the lag.
func (s *Shedder) RecordCrowding(crowding Crowding) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crowding = crowding
}

func (s *Shedder) updateRotation(now time.Duration) {
	overloaded := 1-s.admittedFraction >= _overloadFraction
	if overloaded && !s.overloaded {
		s.overloadedSince = now
	}
	s.overloaded = overloaded
	s.rotation.update(now, overloaded || s.crowding == Crowded, s.admittedFraction == 1 && s.crowding == Roomy)
}

// OutOfRotation reports whether the balancer should send new connections to other
// routers.
func (s *Shedder) OutOfRotation() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rotation.out
}

// Backoff returns the time after which a refused caller should retry, and whether a
// new connection reaches another router by now. While most requests are refused here
// and new connections still arrive here, an early retry would be refused again and
// use capacity that other requests need. chance is a uniform random number in [0, 1).
func (s *Shedder) Backoff(now time.Duration, chance float64) (retryAfter time.Duration, elsewhere bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	retryAfter = time.Duration((0.5 + chance) * float64(_retryDelay))
	switch {
	case s.rotation.out:
		reactedAt := s.rotation.outAt + _balancerReactionTime
		return retryAfter + max(reactedAt-now, 0), now >= reactedAt
	case s.overloaded:
		// An overload is expected to last for as long as it has lasted so far.
		return retryAfter + now - s.overloadedSince, false
	}
	return retryAfter, false
}

// RefusedFraction returns the fraction of requests that is to be refused at present.
func (s *Shedder) RefusedFraction() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return 1 - s.admittedFraction
}

// Limits says which limits the shedder applies at present.
type Limits struct {
	refusedByLag float64
	surgeRate    float64
}

// RefusedByLag returns the fraction of requests that is to be refused for the lag alone.
func (l Limits) RefusedByLag() float64 {
	return l.refusedByLag
}

// SurgeRate returns the rate that was learned in an overload, in requests a second, or 0.
func (l Limits) SurgeRate() float64 {
	return l.surgeRate
}

// Limits returns the limits at present.
func (s *Shedder) Limits(now time.Duration) Limits {
	s.mu.Lock()
	defer s.mu.Unlock()
	limits := Limits{
		refusedByLag: 1 - s.lagFraction,
	}
	if s.surge.isKnown(now) {
		limits.surgeRate = s.surge.rate
	}
	return limits
}

// RefusedCount returns how many requests were refused since the start.
func (s *Shedder) RefusedCount() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refusedCount
}

// Observe counts a customer's request, whether Admit decides on it or not.
func (s *Shedder) Observe(now time.Duration, customer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	s.counts(customer).observed[s.slot%_windowSlots]++
}

// counts returns the customer's counts.
func (s *Shedder) counts(customer string) *requestCounts {
	r := s.customers[customer]
	if r == nil {
		r = &requestCounts{}
		s.customers[customer] = r
	}
	return r
}

// Admit counts a customer's request and reports whether to serve it. chance is a
// uniform random number in [0, 1).
func (s *Shedder) Admit(now time.Duration, customer string, chance float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	r := s.counts(customer)
	r.received[s.slot%_windowSlots]++
	if s.surge.isExceeded(now) {
		fraction := s.surge.fraction(s.receivedRate(now))
		s.admittedFraction = min(s.admittedFraction, max(fraction, _minAdmittedFraction))
	}
	if s.admittedFraction == 1 {
		s.surge.count()
		return true
	}
	if s.levelsSlot != s.slot || s.levelsAdmitted != s.admittedFraction {
		s.levels = s.computeLevels()
		s.levelsSlot, s.levelsAdmitted = s.slot, s.admittedFraction
	}
	if chance*sum(&r.received) < s.levels.of(sum(&r.received)) {
		s.surge.count()
		return true
	}
	r.refused[s.slot%_windowSlots]++
	s.refusedCount++
	return false
}

// IsLight reports whether a customer has sent no more requests in the window than an even
// share of all.
func (s *Shedder) IsLight(now time.Duration, customer string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	all := 0.0
	for _, r := range s.customers {
		all += max(sum(&r.observed), sum(&r.received))
	}
	r := s.customers[customer]
	return r == nil || max(sum(&r.observed), sum(&r.received))*float64(len(s.customers)) <= all
}

// receivedRate returns the rate of requests in the current slot and the one before, in
// requests a second.
func (s *Shedder) receivedRate(now time.Duration) float64 {
	received := 0.0
	for _, r := range s.customers {
		received += r.received[s.slot%_windowSlots]
		if s.slot > 0 {
			received += r.received[(s.slot-1)%_windowSlots]
		}
	}
	const slotLength = _window / _windowSlots
	return received / (now - time.Duration(s.slot-1)*slotLength).Seconds()
}

// advance moves the window to now and drops the counts of slots that left it.
func (s *Shedder) advance(now time.Duration) {
	slot := int64(now / (_window / _windowSlots))
	for step := max(s.slot+1, slot-_windowSlots+1); step <= slot; step++ {
		for name, r := range s.customers {
			r.observed[step%_windowSlots] = 0
			r.received[step%_windowSlots] = 0
			r.refused[step%_windowSlots] = 0
			if sum(&r.received) == 0 && sum(&r.observed) == 0 {
				delete(s.customers, name)
			}
		}
	}
	s.slot = max(s.slot, slot)
}

func sum(counts *[_windowSlots]float64) float64 {
	total := 0.0
	for _, count := range counts {
		total += count
	}
	return total
}

// shareLevels are how many requests one customer may have in the window.
type shareLevels struct {
	// evenShare is the mean number of requests of a customer.
	evenShare float64
	// above is the level of customers that send more than that, below of the others.
	above float64
	below float64
}

// of returns the level of a customer that has sent so many requests.
func (l shareLevels) of(received float64) float64 {
	if received > l.evenShare {
		return l.above
	}
	return l.below
}

// computeLevels divides the admitted requests of the window between customers by max-min
// fairness.
func (s *Shedder) computeLevels() shareLevels {
	sums := make([]float64, 0, len(s.customers))
	all := 0.0
	for _, r := range s.customers {
		total := sum(&r.received)
		if total == 0 {
			continue
		}
		sums = append(sums, total)
		all += total
	}
	slices.Sort(sums)
	return shareLevels{
		evenShare: all / float64(len(sums)),
		above:     maxMinLevel(sums, all*s.admittedFraction),
		below:     maxMinLevel(sums, all*s.lagFraction),
	}
}

// maxMinLevel divides an amount between demands, which are sorted, and returns the most
// that one of them gets.
func maxMinLevel(sums []float64, remaining float64) float64 {
	for i, total := range sums {
		evenShare := remaining / float64(len(sums)-i)
		if total >= evenShare {
			return evenShare
		}
		remaining -= total
	}
	return remaining
}

// CustomerRefusals counts one customer's requests of the last second, for logs and
// state dumps.
type CustomerRefusals struct {
	Customer string `json:"customer"`
	Requests int    `json:"requests"`
	Refused  int    `json:"refused"`
}

// TopRefusals returns the customers with the most refused requests, up to limit of
// them, in descending order.
func (s *Shedder) TopRefusals(now time.Duration, limit int) []CustomerRefusals {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance(now)
	var refusals []CustomerRefusals
	for customer, r := range s.customers {
		if refused := sum(&r.refused); refused > 0 {
			refusals = append(refusals, CustomerRefusals{
				Customer: customer,
				Requests: int(sum(&r.received)),
				Refused:  int(refused),
			})
		}
	}
	slices.SortFunc(refusals, func(a, b CustomerRefusals) int {
		return cmp.Or(cmp.Compare(b.Refused, a.Refused), cmp.Compare(a.Customer, b.Customer))
	})
	return refusals[:min(limit, len(refusals))]
}
