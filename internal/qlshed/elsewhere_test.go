package qlshed

import (
	"testing"
	"time"
)

// TestOverloadWithOffloadingTeachesNoSurgeRate guards against refusals without lag after a
// surge that other routers took.
func TestOverloadWithOffloadingTeachesNoSurgeRate(t *testing.T) {
	const (
		step       = 50 * time.Millisecond
		lag        = 2 * _targetLag
		offloaded  = 50
		handled    = 14
		lagUntil   = 2 * time.Second
		offloadEnd = 4 * time.Second
		end        = 8 * time.Second
	)
	s := New()
	for now := time.Duration(0); now < end; now += step {
		if now < lagUntil {
			s.RecordLag(now, lag)
		} else {
			s.RecordLag(now, time.Millisecond)
		}
		if now < offloadEnd {
			for range offloaded {
				s.Observe(now, "heavy")
			}
			continue
		}
		for range handled {
			s.Observe(now, "heavy")
			s.Admit(now, "heavy", 0.5)
		}
	}
	if got := s.RefusedCount(); got != 0 {
		t.Errorf("requests refused without lag: got %d, want 0", got)
	}
}
