package qlpause

import (
	"strconv"
	"testing"
	"time"
)

func TestPausesEndAndLeavingDoesNot(t *testing.T) {
	a, again, b := Upstream{ID: "a", StartMillis: 1}, Upstream{ID: "a", StartMillis: 2}, Upstream{ID: "b", StartMillis: 1}
	table := New()
	if !table.IsEmpty() || table.IsPaused(0, a) {
		t.Error("a new table has pauses")
	}
	if !table.Pause(0, a, 3*time.Second) || table.Pause(time.Second, a, time.Second) {
		t.Error("the first pause is no news, or the second one is")
	}
	for _, c := range []struct {
		at       time.Duration
		upstream Upstream
		want     bool
	}{
		{at: 2900 * time.Millisecond, upstream: a, want: true},
		{at: 3 * time.Second, upstream: a, want: false},
		{at: 0, upstream: again, want: false},
		{at: 0, upstream: b, want: false},
	} {
		if got := table.IsPaused(c.at, c.upstream); got != c.want {
			t.Errorf("%v at %v: got paused %v, want %v", c.upstream, c.at, got, c.want)
		}
	}
	if !table.MarkLeaving(time.Second, b) || table.MarkLeaving(2*time.Second, b) {
		t.Error("leaving is no news, or is twice")
	}
	table.Pause(2*time.Second, b, time.Second)
	if left, leaving := table.Left(time.Minute, b); left == 0 || !leaving {
		t.Errorf("a leaving upstream that has asked for a pause: got %v left, leaving %v", left, leaving)
	}
	table.Pause(0, a, time.Hour)
	if left, _ := table.Left(0, a); left != MaxPause {
		t.Errorf("a pause of an hour: got %v, want %v", left, MaxPause)
	}
	table.Prune(time.Hour)
	if !table.IsEmpty() || len(table.State(time.Hour)) != 0 {
		t.Error("the table keeps pauses that are over")
	}
}

func TestTableIsBounded(t *testing.T) {
	table := New()
	for i := range 2 * _maxPaused {
		table.Pause(0, Upstream{ID: strconv.Itoa(i)}, time.Second)
	}
	if got := len(table.State(0)); got != _maxPaused {
		t.Errorf("pauses: got %d, want %d", got, _maxPaused)
	}
	if !table.Pause(time.Second, Upstream{ID: "x"}, time.Second) {
		t.Error("the table has no room after its pauses are over")
	}
}
