package qlplace

import (
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlengine"
)

func TestShareRefusalsAreCountedByLimit(t *testing.T) {
	p := newPlacer(1)
	l := limits{
		maxFirstEvent: 100 * time.Millisecond,
		waitFactor:    0.5,
		maxLoad:       0.6,
	}
	for _, forecast := range []qlengine.Forecast{
		{Load: 0.7},
		{Load: 0.5, Wait: 80 * time.Millisecond, FirstEvent: 100 * time.Millisecond},
		{Load: 0.5, Wait: 20 * time.Millisecond, FirstEvent: 40 * time.Millisecond},
		{Load: 0.5, Wait: 20 * time.Millisecond, FirstEvent: 40 * time.Millisecond},
	} {
		p.countShareRefusal("c", &candidate{forecast: forecast}, &l)
	}
	if got, want := p.TakeShareRefusals()["c"], (ShareRefusals{Load: 1, Wait: 1, Recompute: 2}); got != want {
		t.Errorf("refusals: got %+v, want %+v", got, want)
	}
	if got := len(p.TakeShareRefusals()); got != 0 {
		t.Errorf("customers with refusals after they were taken: got %d, want 0", got)
	}
}
