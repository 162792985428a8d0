package qlplace

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	_turnsCustomers = 30
	// _turnsSkew is the exponent by which the customers' usual rates fall, and
	// _turnsRate the sum of these rates in requests a second, which the engines can serve.
	_turnsSkew = 2.0
	_turnsRate = 420
	_turnsSpan = 24 * time.Second
	// _turnsCount is how often the rates of some customers change for a time.
	_turnsCount = 7
	// _turnsPatience is how long callers come back after refusals.
	_turnsPatience = 3 * time.Second
	// _fairWindow, _fairPart and _fairSlack are the users' rule of fairness: in six seconds
	// a customer that waits in each of them gets half at least of what it asks or the best
	// served customer gets, whichever is less, second by second, less three of the largest
	// requests.
	_fairWindow = 6
	_fairPart   = 0.5
	_fairSlack  = 3 * 8600
)

// turnsSecond is one second of one customer: cost asked and granted, and whether a request
// was refused.
type turnsSecond struct {
	asked   float64
	granted float64
	refused bool
}

// turns simulates customers of which some send many times their usual rate, or hardly
// anything, for some seconds in turn, and whose callers come back after refusals.
type turns struct {
	*sim
	names   []string
	seconds map[string][]turnsSecond
}

func newTurns(seed uint64) *turns {
	s := &turns{
		sim:     newSim(70, 1_450_000),
		seconds: map[string][]turnsSecond{},
	}
	s.speed.tokensPerSecond = 41_400
	s.segments, s.ownSegments = 200, true
	s.random = rand.New(rand.NewPCG(seed, 1))
	for i := range _turnsCustomers {
		name := fmt.Sprintf("c%d", i)
		s.names = append(s.names, name)
		s.seconds[name] = make([]turnsSecond, _turnsSpan/time.Second+1)
	}
	return s
}

// sendInTurns schedules the requests of all customers.
func (s *turns) sendInTurns() {
	factors := make([][]func(now time.Duration) float64, _turnsCustomers)
	for range _turnsCount {
		from := time.Duration(s.random.Float64() * float64(_turnsSpan))
		until := from + time.Duration((3+6*s.random.Float64())*float64(time.Second))
		factor := []float64{0.02, 0.05, 3.1, 6, 8.8, 8.8, 13.6}[s.random.IntN(7)]
		first, count := s.random.IntN(8), 1+s.random.IntN(7)
		for i := first; i < first+count; i++ {
			factors[i] = append(factors[i], func(now time.Duration) float64 {
				if now >= from && now < until {
					return factor
				}
				return 1
			})
		}
	}
	total := 0.0
	for i := range _turnsCustomers {
		total += math.Pow(float64(i+1), -_turnsSkew)
	}
	for i, name := range s.names {
		usual := _turnsRate * math.Pow(float64(i+1), -_turnsSkew) / total
		s.sendAtChangingRate(name, func(now time.Duration) float64 {
			rate := usual
			for _, factor := range factors[i] {
				rate *= factor(now)
			}
			return rate
		})
	}
}

// sendAtChangingRate schedules a customer's requests with random gaps at the rate, which is
// taken anew every few milliseconds.
func (s *turns) sendAtChangingRate(customer string, rate func(now time.Duration) float64) {
	const step = 5 * time.Millisecond
	var next func(now time.Duration)
	next = func(now time.Duration) {
		if now >= _turnsSpan {
			return
		}
		gap := time.Duration(s.random.ExpFloat64() / rate(now) * float64(time.Second))
		if gap >= step {
			s.schedule(now+step, next)
			return
		}
		s.schedule(now+gap, func(now time.Duration) {
			r := s.draw(customer)
			s.second(now, customer).asked += r.Cost()
			s.try(now, r, now+_turnsPatience)
			next(now)
		})
	}
	s.schedule(0, next)
}

// try sends a request, and again after a refusal until the deadline.
func (s *turns) try(now time.Duration, r *Request, deadline time.Duration) {
	decision := s.placer.Decide(now, r)
	if decision.Engine != "" {
		s.second(now, r.Customer).granted += r.Cost()
		s.start(now, r, r.Customer, decision)
		return
	}
	s.second(now, r.Customer).refused = true
	at := now + decision.RetryAfter + time.Duration(s.random.Int64N(int64(100*time.Millisecond)))
	if at >= min(deadline, _turnsSpan) {
		return
	}
	s.schedule(at, func(now time.Duration) {
		again := *r
		s.lastRequest++
		again.Key.Request = s.lastRequest
		s.try(now, &again, deadline)
	})
}

func (s *turns) second(now time.Duration, customer string) *turnsSecond {
	return &s.seconds[customer][min(now, _turnsSpan)/time.Second]
}

// leastPart returns the least part that a customer which waited got of what fairness owes it,
// over all windows, and describes that case.
func (s *turns) leastPart() (least float64, what string) {
	// The engines' speed is learned in the first seconds.
	const learned = 4
	least = 1
	for _, customer := range s.names {
		for from := learned; from+_fairWindow <= int(_turnsSpan/time.Second); from++ {
			granted, owed := s.fairness(customer, from)
			if part := (granted + _fairSlack) / owed; owed > 0 && part < least {
				least = part
				what = fmt.Sprintf("%s from %d s got %.2f M of the %.2f M that it is owed", customer, from, granted/1e6, owed/1e6)
			}
		}
	}
	return least, what
}

// fairness returns what the customer got and what fairness owes it in the window, or 0 if it
// did not wait in each second.
func (s *turns) fairness(customer string, from int) (granted, owed float64) {
	for second := from; second < from+_fairWindow; second++ {
		own := s.seconds[customer][second]
		if !own.refused {
			return 0, 0
		}
		best := 0.0
		for _, other := range s.names {
			best = max(best, s.seconds[other][second].granted)
		}
		granted += own.granted
		owed += min(own.asked, best)
	}
	return granted, owed
}

// TestCustomersThatRiseInTurnsShareEvenly guards against a customer that gets nothing for
// seconds since it was granted much before others asked for more, and against one that
// gets nearly everything since it asked for little before.
func TestCustomersThatRiseInTurnsShareEvenly(t *testing.T) {
	for seed := uint64(12); seed < 20; seed++ {
		s := newTurns(seed)
		s.sendInTurns()
		s.run()
		least, what := s.leastPart()
		t.Logf("seed %d: least part %.2f: %s; %d late", seed, least, what, s.late)
		if least < _fairPart {
			t.Errorf("seed %d: %s: got %.2f, want %v at least", seed, what, least, _fairPart)
		}
	}
}
