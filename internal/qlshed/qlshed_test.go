package qlshed

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestNothingIsRefusedWithoutLag(t *testing.T) {
	s := New()
	for i := range 1000 {
		s.RecordLag(time.Duration(i)*time.Millisecond, time.Millisecond)
		if !s.Admit(time.Duration(i)*time.Millisecond, "a", 0.999) {
			t.Fatal("a request was refused without lag")
		}
	}
}

// TestHotCustomerIsRefusedFirst simulates a small VM that can serve 200 requests a
// second. One customer sends 600 a second, three others send 20 each, which is below
// an even share. The rate of served requests must stay near the capacity and the lag
// bounded, and the three others must lose few requests.
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
		if fraction := float64(served[customer]) / float64(sent[customer]); fraction < 0.9 {
			t.Errorf("customer %s: got %.2f of its requests served, want 0.9 or more", customer, fraction)
		}
	}
	total := 0
	for _, count := range served {
		total += count
	}
	// Refusals use up to a third of the processor.
	if rate := float64(total) / span.Seconds(); rate < 0.5*capacity || rate > 1.05*capacity {
		t.Errorf("served: got %.0f a second, want near what refusals leave of the capacity of %.0f", rate, capacity)
	}
}

func TestRefusalsEndAfterOverload(t *testing.T) {
	s := New()
	for i := range 20 {
		s.RecordLag(time.Duration(i)*50*time.Millisecond, 200*time.Millisecond)
	}
	if got, want := s.RefusedFraction(), 1-_minAdmittedFraction; got != want {
		t.Errorf("refused fraction under lasting lag: got %v, want %v", got, want)
	}
	for i := range 40 {
		s.RecordLag(time.Duration(20+i)*50*time.Millisecond, 0)
	}
	if got := s.RefusedFraction(); got != 0 {
		t.Errorf("refused fraction two seconds after the lag ended: got %v, want 0", got)
	}
}

func TestIdleCustomersAreRemoved(t *testing.T) {
	s := New()
	s.Admit(0, "a", 0)
	s.Admit(10*time.Second, "b", 0)
	if got := len(s.customers); got != 1 {
		t.Errorf("customers: got %d, want 1", got)
	}
}

// TestOverloadedRouterLeavesRotation overloads a router for two seconds: it must
// leave the rotation during the overload and return some time after it.
func TestOverloadedRouterLeavesRotation(t *testing.T) {
	s := New()
	const tick = 50 * time.Millisecond
	began, ended := time.Duration(-1), time.Duration(-1)
	for now := time.Duration(0); now < 12*time.Second; now += tick {
		lag := time.Duration(0)
		if now < 2*time.Second {
			lag = 200 * time.Millisecond
		}
		s.RecordLag(now, lag)
		outOfRotation := s.OutOfRotation()
		if outOfRotation && began < 0 {
			began = now
		}
		if !outOfRotation && began >= 0 && ended < 0 {
			ended = now
		}
	}
	if began < _outOfRotationDelay || began > _outOfRotationDelay+500*time.Millisecond {
		t.Errorf("left the rotation at %v, want soon after %v", began, _outOfRotationDelay)
	}
	// The refused fraction falls to 0 within 1.6 s after the end of the overload.
	if ended < 2*time.Second+_returnDelay || ended > 2*time.Second+_returnDelay+2*time.Second {
		t.Errorf("returned to the rotation at %v, want %v after the last refusal", ended, _returnDelay)
	}
}

// TestLagStaysBoundedWhenRefusalsUseMostOfTheProcessor simulates a load of about ten
// times the capacity of a VM: refusing all of it uses four fifths of the processor.
func TestLagStaysBoundedWhenRefusalsUseMostOfTheProcessor(t *testing.T) {
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
	if limit := 0.15; worst > limit {
		t.Errorf("lag after 3 s: got up to %.2f s, want %.2f s at most, half of the strictest objective", worst, limit)
	}
	// Refusals leave 0.032 s of processor time a second, enough for 40 requests.
	if got, lowest := served, 10*40/2; got < lowest {
		t.Errorf("served in 10 s: got %d, want %d at least", got, lowest)
	}
}

// TestOverloadedRouterServesWhatItCan guards against a router that refuses nearly all
// because requests which it has admitted cost processor time for as long as their streams
// last, after that idles, and then admits too many again. One customer sends seven times
// what a small VM can serve.
func TestOverloadedRouterServesWhatItCan(t *testing.T) {
	const (
		rate         = 1400
		span         = 30 * time.Second
		warmUp       = 3 * time.Second
		servable     = (_modelProcessor - rate*_modelRefusal) / (_modelStart + _modelStreamTicks*_modelPerTick - _modelRefusal)
		lowestServed = 0.8
		highestLag   = 0.5
	)
	vm := newModelVM(5)
	worst, served := 0.0, 0
	for now := time.Duration(0); now < span; now += _modelTick {
		lag := vm.lag()
		admitted := vm.step(now, rate, 1)
		if now > warmUp {
			worst = max(worst, lag)
			served += admitted
		}
	}
	perSecond := float64(served) / (span - warmUp).Seconds()
	t.Logf("served %.0f of %.0f a second that refusals leave room for, lag %.2f s at most", perSecond, servable, worst)
	if perSecond < lowestServed*servable || worst > highestLag {
		t.Errorf("got %.0f served a second and %.2f s of lag, want %.0f and %.2f s at most", perSecond, worst, lowestServed*servable, highestLag)
	}
}

// TestReturningSurgeIsLimited has one customer send seven times what a small VM can serve,
// for three of every six seconds, as the balancer moves it between VMs. From the second
// surge on, few requests may be admitted that start late.
func TestReturningSurgeIsLimited(t *testing.T) {
	const (
		objective = 0.3
		maxLate   = 0.05
	)
	vm := newModelVM(1)
	late, served := 0, 0
	for now := time.Duration(0); now < 60*time.Second; now += _modelTick {
		rate := 40
		if now%(6*time.Second) < 3*time.Second {
			rate = 1400
		}
		lag := vm.lag()
		admitted := vm.step(now, rate, 1)
		if now < 6*time.Second {
			continue
		}
		served += admitted
		if lag > objective {
			late += admitted
		}
	}
	t.Logf("%d of %d admitted requests started late", late, served)
	if float64(late) > maxLate*float64(served) {
		t.Errorf("%d of %d admitted requests started late, want %v of them at most", late, served, maxLate)
	}
}

// TestSurgeOfLightRequestsIsServed guards against a limit that was learned from requests
// which cost more than those that come after them.
func TestSurgeOfLightRequestsIsServed(t *testing.T) {
	const wantServed = 0.9
	vm := newModelVM(1)
	served, sent := 0, 0
	for now := time.Duration(0); now < 20*time.Second; now += _modelTick {
		rate, cost := 1400, 1.0
		if now >= 5*time.Second {
			rate, cost = 600, 0.1
		}
		admitted := vm.step(now, rate, cost)
		if now >= 10*time.Second {
			served += admitted
			sent += int(float64(rate) * _modelTick.Seconds())
		}
	}
	if float64(served) < wantServed*float64(sent) {
		t.Errorf("got %d of %d light requests served, want %v of them", served, sent, wantServed)
	}
}

// TestBackoffFollowsOverloadAndRotation follows an overload from its start until the
// balancer sends new connections to other routers.
func TestBackoffFollowsOverloadAndRotation(t *testing.T) {
	s := New()
	sample := func(from, to time.Duration) {
		for now := from; now < to; now += 50 * time.Millisecond {
			s.RecordLag(now, time.Second)
		}
	}
	const half = 0.5
	if after, elsewhere := s.Backoff(0, half); after != _retryDelay || elsewhere {
		t.Errorf("without load: got %v, %v, want %v, false", after, elsewhere, _retryDelay)
	}
	sample(0, _outOfRotationDelay)
	overloadedSince := s.overloadedSince
	if after, elsewhere := s.Backoff(_outOfRotationDelay, half); after != _retryDelay+_outOfRotationDelay-overloadedSince || elsewhere {
		t.Errorf("before it leaves the rotation: got %v, %v, want %v, false", after, elsewhere, _retryDelay+_outOfRotationDelay-overloadedSince)
	}
	sample(_outOfRotationDelay, 2*time.Second)
	at := s.rotation.outAt
	if after, elsewhere := s.Backoff(at, half); after != _retryDelay+_balancerReactionTime || elsewhere {
		t.Errorf("as it leaves the rotation: got %v, %v, want %v, false", after, elsewhere, _retryDelay+_balancerReactionTime)
	}
	if after, elsewhere := s.Backoff(at+_balancerReactionTime, half); after != _retryDelay || !elsewhere {
		t.Errorf("when the balancer has reacted: got %v, %v, want %v, true", after, elsewhere, _retryDelay)
	}
}
