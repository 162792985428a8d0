package qlfleet

import (
	"time"

	"go.uber.org/zap"
)

const (
	// _waitsInterval is the time between two lines about waits in the event queue.
	_waitsInterval = time.Second
	// _notableWait is the wait from which such a line is written: a fifth of the time
	// within which other routers need an answer.
	_notableWait = 10 * time.Millisecond
)

// packetWaits measures how long packets wait in the event queue from their receipt until
// they are handled. Only the control goroutine uses it.
type packetWaits struct {
	packets   int
	questions int
	longest   time.Duration
	loggedAt  time.Duration
	// droppedBefore is the number of questions that had been dropped by then.
	droppedBefore uint64
}

func (w *packetWaits) observe(wait time.Duration, questions int) {
	w.packets++
	w.questions += questions
	w.longest = max(w.longest, wait)
}

// logWaits writes a line if packets have waited long since the last interval.
func (f *Fleet) logWaits(now time.Duration) {
	w := &f.waits
	if now-w.loggedAt < _waitsInterval {
		return
	}
	dropped := f.core.Stats().QuestionsDropped
	if w.longest >= _notableWait {
		f.config.Log.Info("packets-waited",
			zap.Int("packets", w.packets),
			zap.Int("questions", w.questions),
			zap.Uint64("questions-dropped", dropped-w.droppedBefore),
			zap.Duration("longest", w.longest),
			zap.Int("queued", len(f.events)))
	}
	*w = packetWaits{
		loggedAt:      now,
		droppedBefore: dropped,
	}
}
