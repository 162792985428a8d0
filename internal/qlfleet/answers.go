package qlfleet

import (
	"time"

	"github.com/quetzallane/quetzallane/internal/qlowner"
	"go.uber.org/zap"
)

// _answersInterval is the least time between two lines about missed answers.
const _answersInterval = time.Second

// answerCounter tells how many answers of owners this router has missed of late.
type answerCounter struct {
	last   qlowner.Stats
	lastAt time.Duration
}

// since returns what was counted since the last interval. ok is false if no answer was
// missed, or if the interval has not ended yet.
func (a *answerCounter) since(now time.Duration, stats qlowner.Stats) (delta qlowner.Stats, ok bool) {
	if now-a.lastAt < _answersInterval {
		return delta, false
	}
	delta = qlowner.Stats{
		AskedOwner:      stats.AskedOwner - a.last.AskedOwner,
		AnsweredByOwner: stats.AnsweredByOwner - a.last.AnsweredByOwner,
		DecidedAlone:    stats.DecidedAlone - a.last.DecidedAlone,
		AnswersMissed:   stats.AnswersMissed - a.last.AnswersMissed,
		AnswersLate:     stats.AnswersLate - a.last.AnswersLate,
		PlacedAlone:     stats.PlacedAlone - a.last.PlacedAlone,
		RefusedAlone:    stats.RefusedAlone - a.last.RefusedAlone,
	}
	a.last, a.lastAt = stats, now
	return delta, delta.AnswersMissed > 0
}

// logAnswers writes a line if this router has missed answers of owners.
func (f *Fleet) logAnswers(now, lag time.Duration) {
	delta, ok := f.answers.since(now, f.core.Stats())
	if !ok {
		return
	}
	f.config.Log.Info("answers-missed",
		zap.Uint64("missed", delta.AnswersMissed),
		zap.Uint64("asked", delta.AskedOwner),
		zap.Uint64("answered", delta.AnsweredByOwner),
		zap.Uint64("late", delta.AnswersLate),
		zap.Uint64("decided-alone", delta.DecidedAlone),
		zap.Uint64("placed-alone", delta.PlacedAlone),
		zap.Uint64("refused-alone", delta.RefusedAlone),
		zap.Duration("lag", lag))
}
