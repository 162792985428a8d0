package qlfleet

import (
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlowner"
)

// TestMissedAnswersAreToldOncePerInterval guards against a flood that nobody can see in
// the log, and against one line for each missed answer.
func TestMissedAnswersAreToldOncePerInterval(t *testing.T) {
	counter := answerCounter{}
	stats := qlowner.Stats{}
	lines := 0
	for now := time.Duration(0); now < 10*time.Second; now += _tickInterval {
		stats.AskedOwner += 2
		stats.AnsweredByOwner++
		if now >= 2*time.Second && now < 5*time.Second {
			stats.AnswersMissed++
			stats.DecidedAlone++
		}
		delta, ok := counter.since(now, stats)
		if !ok {
			continue
		}
		lines++
		if got, want := delta.AskedOwner, 2*uint64(_answersInterval/_tickInterval); got != want {
			t.Errorf("asked within an interval at %v: got %d, want %d", now, got, want)
		}
		if got, want := delta.AnswersMissed, delta.DecidedAlone; got != want {
			t.Errorf("missed within an interval at %v: got %d, want %d", now, got, want)
		}
	}
	// Three seconds with missed answers lie in up to four intervals.
	if lines < 3 || lines > 4 {
		t.Errorf("lines: got %d, want 3 or 4", lines)
	}
}
