package qladmission

import (
	"testing"
	"time"
)

// TestRouterIsStrainedFromTheLagAtWhichItRefuses guards against a router that refuses for its
// processor, whoever asks, what the owner of the engines would refuse of a customer above its
// share.
func TestRouterIsStrainedFromTheLagAtWhichItRefuses(t *testing.T) {
	for _, c := range []struct {
		lag  time.Duration
		want bool
	}{
		{lag: time.Millisecond},
		{lag: _maxTakingLag},
		{lag: _maxTakingLag + time.Millisecond, want: true},
		{lag: 2 * _acceptTargetLag, want: true},
	} {
		pace := NewAcceptPace(0.4)
		pace.RecordLag(time.Second, c.lag)
		if got := pace.IsStrained(time.Second); got != c.want {
			t.Errorf("lag %v: strained: got %v, want %v", c.lag, got, c.want)
		}
		if got, want := pace.IsPaced(time.Second), c.lag > _acceptTargetLag; got != want {
			t.Errorf("lag %v: paced: got %v, want %v", c.lag, got, want)
		}
		pace.RecordLag(time.Second+_acceptHold/2, 0)
		if got := pace.IsStrained(time.Second + _acceptHold/2); got != c.want {
			t.Errorf("lag %v, soon after it: strained: got %v, want %v", c.lag, got, c.want)
		}
		if pace.IsStrained(time.Second + _acceptHold) {
			t.Errorf("lag %v, long after it: strained", c.lag)
		}
	}
}
