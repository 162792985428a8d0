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

// service is a plain service: slots, a queue in order of arrival, and calls
// that take 35 ms.
type service struct {
	free []time.Duration
}

// call returns when a call that comes now is answered, and how many wait; ok
// is false when the queue, as long as the slots are in four calls, is full.
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

// play sends so many calls a second from 60 routers for 30 s and returns which
// parts were in time, late and refused. Calls that find a full queue are
// turned away.
func play(t *testing.T, rate float64, paced bool) (inTime, late, refused float64) {
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
			routers[pending[0].router].Answered(pending[0].took, _objective, pending[0].waiting)
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
	// The slots carry 514 calls a second.
	plain, _, _ := play(t, 700, false)
	inTime, late, refused := play(t, 700, true)
	t.Logf("in time %.2f late %.2f refused %.2f; without pacing in time %.2f", inTime, late, refused, plain)
	if inTime < 0.5 {
		t.Errorf("in time: got %.2f of all, want half at least", inTime)
	}
	if inTime < 2*plain {
		t.Errorf("in time: got %.2f, want twice what is without pacing, %.2f", inTime, plain)
	}
}

func TestServiceWithRoomIsNotPaced(t *testing.T) {
	inTime, _, refused := play(t, 350, true)
	if refused > 0.001 || inTime < 0.99 {
		t.Errorf("at two thirds of the load: got %.4f refused and %.4f in time, want none and all", refused, inTime)
	}
}

func TestSlownessWithoutQueueIsNotPaced(t *testing.T) {
	p := New()
	for range 100 {
		p.Answered(time.Second, _objective, 0)
	}
	if got := p.SendFraction(); got != 1 {
		t.Errorf("part sent to a slow service without a queue: got %v, want 1", got)
	}
	for range 100 {
		p.Answered(time.Second, _objective, 3)
	}
	if got := p.SendFraction(); got != _least {
		t.Errorf("part sent to one with a queue: got %v, want %v", got, _least)
	}
	for range 100 {
		p.Answered(_callTime, _objective, 3)
	}
	if got := p.SendFraction(); got != 1 {
		t.Errorf("part sent after the load: got %v, want 1", got)
	}
}
