package qlshed

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestWithoutLagNothingIsRefused(t *testing.T) {
	s := New()
	for i := range 1000 {
		s.RecordLag(time.Duration(i)*time.Millisecond, time.Millisecond)
		if !s.Admit(time.Duration(i)*time.Millisecond, "a", 0.999) {
			t.Fatal("a request was refused without lag")
		}
	}
}

// TestHotCustomerIsRefusedFirst plays a small VM that can serve 200 requests a
// second: one customer sends 600, three others 20 each, below an even part. What is served stays
// near the capacity, the lag is bounded, and the others lose little.
func TestHotCustomerIsRefusedFirst(t *testing.T) {
	const (
		capacity = 200.0
		tick     = 50 * time.Millisecond
		span     = 20 * time.Second
	)
	random := rand.New(rand.NewPCG(1, 2))
	s := New()
	sent := map[string]int{}
	served := map[string]int{}
	backlog, worst := 0.0, 0.0
	for now := time.Duration(0); now < span; now += tick {
		if now > 2*time.Second {
			worst = max(worst, backlog/capacity)
		}
		s.RecordLag(now, time.Duration(backlog/capacity*float64(time.Second)))
		for customer, rate := range map[string]float64{"hot": 600, "a": 20, "b": 20, "c": 20} {
			for range int(rate*tick.Seconds() + random.Float64()) {
				sent[customer]++
				if s.Admit(now, customer, random.Float64()) {
					served[customer]++
					backlog++
				} else {
					// A refusal costs an eighth of a request.
					backlog += 0.125
				}
			}
		}
		backlog = max(backlog-capacity*tick.Seconds(), 0)
	}
	if worst > 0.25 {
		t.Errorf("backlog after 2 s: got up to %.2f s of work, want 0.25 s at most", worst)
	}
	for _, customer := range []string{"a", "b", "c"} {
		if part := float64(served[customer]) / float64(sent[customer]); part < 0.9 {
			t.Errorf("customer %s: got %.2f of its requests served, want 0.9 or more", customer, part)
		}
	}
	total := 0
	for _, count := range served {
		total += count
	}
	// Refusals take up to a third of the processor.
	if rate := float64(total) / span.Seconds(); rate < 0.5*capacity || rate > 1.05*capacity {
		t.Errorf("served: got %.0f a second, want near what refusals leave of %.0f", rate, capacity)
	}
}

func TestRefusalsEndWithTheLoad(t *testing.T) {
	s := New()
	for i := range 20 {
		s.RecordLag(time.Duration(i)*50*time.Millisecond, 200*time.Millisecond)
	}
	if got, want := s.RefusedFraction(), 1-_least; got != want {
		t.Errorf("refused under lasting lag: got %v, want %v", got, want)
	}
	for i := range 40 {
		s.RecordLag(time.Duration(20+i)*50*time.Millisecond, 0)
	}
	if got := s.RefusedFraction(); got != 0 {
		t.Errorf("refused two seconds after the lag: got %v, want 0", got)
	}
}

func TestCustomersAreForgotten(t *testing.T) {
	s := New()
	s.Admit(0, "a", 0)
	s.Admit(10*time.Second, "b", 0)
	if got := len(s.customers); got != 1 {
		t.Errorf("customers: got %d, want 1", got)
	}
}

// TestOverloadedRouterWithdraws has a load last for two seconds.
func TestOverloadedRouterWithdraws(t *testing.T) {
	s := New()
	const tick = 50 * time.Millisecond
	began, ended := time.Duration(-1), time.Duration(-1)
	for now := time.Duration(0); now < 12*time.Second; now += tick {
		lag := time.Duration(0)
		if now < 2*time.Second {
			lag = 200 * time.Millisecond
		}
		s.RecordLag(now, lag)
		withdrawn := s.OutOfRotation()
		if withdrawn && began < 0 {
			began = now
		}
		if !withdrawn && began >= 0 && ended < 0 {
			ended = now
		}
	}
	if began < _withdrawAfter || began > _withdrawAfter+500*time.Millisecond {
		t.Errorf("it withdrew at %v, want soon after %v", began, _withdrawAfter)
	}
	// The refused part falls to 0 within 1.6 s of the load's end.
	if ended < 2*time.Second+_calm || ended > 2*time.Second+_calm+2*time.Second {
		t.Errorf("it came back at %v, want %v after the last refusal", ended, _calm)
	}
}

// TestRouterThatCanHardlyRefuseCatchesUp plays ten times what a VM can serve:
// refusing it all takes four fifths of the processor.
func TestRouterThatCanHardlyRefuseCatchesUp(t *testing.T) {
	const (
		processor = 0.192
		refusal   = 80e-6
		service   = 800e-6
		rate      = 2000
		tick      = 50 * time.Millisecond
	)
	random := rand.New(rand.NewPCG(3, 4))
	s := New()
	backlog, worst, served := 0.0, 0.0, 0
	for now := time.Duration(0); now < 10*time.Second; now += tick {
		lag := backlog / processor
		s.RecordLag(now, time.Duration(lag*float64(time.Second)))
		if now > 3*time.Second {
			worst = max(worst, lag)
		}
		for range int(rate * tick.Seconds()) {
			if s.Admit(now, "hot", random.Float64()) {
				backlog += service
				served++
			} else {
				backlog += refusal
			}
		}
		backlog = max(backlog-processor*tick.Seconds(), 0)
	}
	if most := 0.15; worst > most {
		t.Errorf("lag after 3 s: got up to %.2f s, want %.2f s at most, half of the strictest objective", worst, most)
	}
	// What refusals leave is 0.032 s a second, for 40 requests.
	if got, least := served, 10*40/2; got < least {
		t.Errorf("served in 10 s: got %d, want %d at least", got, least)
	}
}

// TestBackoffSendsCallersWhereThereIsRoom follows an overload from its begin to
// when the balancer has turned to other routers.
func TestBackoffSendsCallersWhereThereIsRoom(t *testing.T) {
	s := New()
	sample := func(from, to time.Duration) {
		for now := from; now < to; now += 50 * time.Millisecond {
			s.RecordLag(now, time.Second)
		}
	}
	const half = 0.5
	if after, elsewhere := s.Backoff(0, half); after != _soon || elsewhere {
		t.Errorf("without load: got %v, %v, want %v, false", after, elsewhere, _soon)
	}
	sample(0, _withdrawAfter)
	busy := s.busySince
	if after, elsewhere := s.Backoff(_withdrawAfter, half); after != _soon+_withdrawAfter-busy || elsewhere {
		t.Errorf("before it withdraws: got %v, %v, want %v, false", after, elsewhere, _soon+_withdrawAfter-busy)
	}
	sample(_withdrawAfter, 2*time.Second)
	at := s.withdrawnAt
	if after, elsewhere := s.Backoff(at, half); after != _soon+_balancerTurns || elsewhere {
		t.Errorf("as it withdraws: got %v, %v, want %v, false", after, elsewhere, _soon+_balancerTurns)
	}
	if after, elsewhere := s.Backoff(at+_balancerTurns, half); after != _soon || !elsewhere {
		t.Errorf("when the balancer has turned: got %v, %v, want %v, true", after, elsewhere, _soon)
	}
}
