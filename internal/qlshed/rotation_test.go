package qlshed

import (
	"testing"
	"time"
)

const _crowdingTick = 50 * time.Millisecond

// crowdedRouter is a router without lag whose callers all are admitted.
type crowdedRouter struct {
	t       *testing.T
	shedder *Shedder
	now     time.Duration
}

func newCrowdedRouter(t *testing.T) *crowdedRouter {
	return &crowdedRouter{
		t:       t,
		shedder: New(),
		now:     time.Second,
	}
}

// step records the crowding and a sample of the lag, and admits a request.
func (r *crowdedRouter) step(crowding Crowding, lag time.Duration) {
	r.t.Helper()
	r.now += _crowdingTick
	r.shedder.RecordCrowding(crowding)
	r.shedder.RecordLag(r.now, lag)
	r.shedder.Observe(r.now, "a")
	if lag == 0 && !r.shedder.Admit(r.now, "a", 0.999) {
		r.t.Errorf("after %v: got a refusal, want none without lag", r.now)
	}
}

// hold keeps the crowding for so long and returns when the rotation state first differed from
// the one before, or 0.
func (r *crowdedRouter) hold(crowding Crowding, span time.Duration) (changed time.Duration) {
	r.t.Helper()
	before := r.shedder.OutOfRotation()
	for began := r.now; r.now < began+span; {
		r.step(crowding, 0)
		if changed == 0 && r.shedder.OutOfRotation() != before {
			changed = r.now - began
		}
	}
	return changed
}

// TestCrowdedRouterLeavesRotationWhileItServes guards against a router that leaves the
// rotation only once it refuses requests.
func TestCrowdedRouterLeavesRotationWhileItServes(t *testing.T) {
	r := newCrowdedRouter(t)
	if got := r.hold(Roomy, time.Second); got != 0 {
		t.Fatalf("with room: got out of rotation after %v, want in it", got)
	}
	if got := r.hold(Full, 2*_outOfRotationDelay); got != 0 {
		t.Fatalf("while full: got out of rotation after %v, want in it", got)
	}
	if got, want := r.hold(Crowded, 2*_outOfRotationDelay), _outOfRotationDelay+_crowdingTick; got != want {
		t.Fatalf("crowded: got out of rotation after %v, want %v", got, want)
	}
	if got := r.hold(Full, 3*_returnDelay); got != 0 {
		t.Errorf("full after that: got back in rotation after %v, want out of it", got)
	}
	if got, want := r.hold(Roomy, 2*_returnDelay), _returnDelay; got != want {
		t.Errorf("roomy again: got back in rotation after %v, want %v", got, want)
	}
	if got := r.shedder.RefusedCount(); got != 0 {
		t.Errorf("refusals: got %d, want none", got)
	}
}

// TestShortCrowdingKeepsRouterInRotation guards against a router that leaves for a burst, or
// returns in a pause of one.
func TestShortCrowdingKeepsRouterInRotation(t *testing.T) {
	r := newCrowdedRouter(t)
	for range 10 {
		if got := r.hold(Crowded, _outOfRotationDelay); got != 0 {
			t.Fatalf("a burst: got out of rotation after %v, want in it", got)
		}
		r.hold(Roomy, _crowdingTick)
	}
	r.hold(Crowded, 2*_outOfRotationDelay)
	for range 10 {
		if got := r.hold(Roomy, _returnDelay-_crowdingTick); got != 0 {
			t.Fatalf("a pause: got back in rotation after %v, want out of it", got)
		}
		r.hold(Full, _crowdingTick)
	}
}

// TestCrowdingTeachesNoSurgeRate guards against a limit on surges that was learned from open
// connections, which tell nothing about the rate of requests.
func TestCrowdingTeachesNoSurgeRate(t *testing.T) {
	r := newCrowdedRouter(t)
	r.hold(Crowded, 4*time.Second)
	if !r.shedder.OutOfRotation() {
		t.Fatal("got in rotation, want out of it")
	}
	// The lag is short of an overload.
	r.step(Crowded, 2*_targetLag)
	if r.shedder.overloaded {
		t.Fatal("got overloaded by one sample of the lag, want not")
	}
	if got := r.shedder.surge.learnedAt; got != 0 {
		t.Errorf("got a surge rate of %v learned at %v, want none", r.shedder.surge.rate, got)
	}
}
