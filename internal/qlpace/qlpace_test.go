package qlpace

import (
	"math/rand/v2"
	"testing"
	"time"
)

const (
	_objective = 150 * time.Millisecond
	_callTime  = 35 * time.Millisecond
)

// service simulates a service with slots, a queue in order of arrival, and
// calls that take 35 ms.
type service struct {
	free []time.Duration
}

// call returns when a call that arrives now is answered and how many calls
// wait. ok is false when the queue is full, which holds as many calls as the
// slots serve in four call times.
func (s *service) call(now time.Duration) (at time.Duration, waiting int, ok bool) {
	next := 0
	for i, free := range s.free {
		if free > now+_callTime {
			waiting++
		}
		if free < s.free[next] {
			next = i
		}
	}
	begin := max(s.free[next], now)
	if begin-now > 4*_callTime {
		return 0, waiting, false
	}
	s.free[next] = begin + _callTime
	return s.free[next], waiting, true
}

// simulate sends calls at a rate per second from 60 routers for 30 s and
// returns the fractions that were in time, late and refused. Calls that find
// a full queue are refused.
func simulate(t *testing.T, rate float64, paced bool) (inTime, late, refused float64) {
	t.Helper()
	random := rand.New(rand.NewPCG(3, 4))
	s := &service{
		free: make([]time.Duration, 18),
	}
	type answer struct {
		at, took time.Duration
		waiting  int
		router   int
	}
	var routers []*Pacer
	for range 60 {
		routers = append(routers, New())
	}
	var pending []answer
	sent := 0.0
	for now := time.Duration(0); now < 30*time.Second; now += time.Duration(random.ExpFloat64() / rate * float64(time.Second)) {
		for len(pending) > 0 && pending[0].at <= now {
			routers[pending[0].router].RecordAnswer(pending[0].took, _objective, pending[0].waiting)
			pending = pending[1:]
		}
		router := random.IntN(len(routers))
		sent++
		if paced && !routers[router].Admit(random.Float64()) {
			refused++
			continue
		}
		at, waiting, ok := s.call(now)
		if !ok {
			refused++
			continue
		}
		pending = append(pending, answer{
			at:      at,
			took:    at - now,
			waiting: waiting,
			router:  router,
		})
		if at-now <= _objective {
			inTime++
		} else {
			late++
		}
	}
	return inTime / sent, late / sent, refused / sent
}

func TestOverloadedServiceAnswersInTime(t *testing.T) {
	// The slots can serve 514 calls per second.
	unpaced, _, _ := simulate(t, 700, false)
	inTime, late, refused := simulate(t, 700, true)
	t.Logf("in time %.2f late %.2f refused %.2f; without pacing in time %.2f", inTime, late, refused, unpaced)
	if inTime < 0.5 {
		t.Errorf("in time: got %.2f of all, want half at least", inTime)
	}
	if inTime < 2*unpaced {
		t.Errorf("in time: got %.2f, want at least twice that without pacing, %.2f", inTime, unpaced)
	}
}

func TestServiceWithRoomIsNotPaced(t *testing.T) {
	inTime, _, refused := simulate(t, 350, true)
	if refused > 0.001 || inTime < 0.99 {
		t.Errorf("at two thirds of the capacity: got %.4f refused and %.4f in time, want none and all", refused, inTime)
	}
}

func TestSlownessWithoutQueueIsNotPaced(t *testing.T) {
	p := New()
	for range 100 {
		p.RecordAnswer(time.Second, _objective, 0)
	}
	if got := p.SendFraction(); got != 1 {
		t.Errorf("fraction sent to a slow service without a queue: got %v, want 1", got)
	}
	for range 100 {
		p.RecordAnswer(time.Second, _objective, 3)
	}
	if got := p.SendFraction(); got != _minFraction {
		t.Errorf("fraction sent to a service with a queue: got %v, want %v", got, _minFraction)
	}
	for range 100 {
		p.RecordAnswer(_callTime, _objective, 3)
	}
	if got := p.SendFraction(); got != 1 {
		t.Errorf("fraction sent after the overload: got %v, want 1", got)
	}
}
