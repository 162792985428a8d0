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
	// late counts the questions that waited longer than other routers wait for answers.
	late     int
	longest  time.Duration
	loggedAt time.Duration
}

func (w *packetWaits) observe(wait, limit time.Duration, questions int) {
	w.packets++
	w.questions += questions
	if wait > limit {
		w.late += questions
	}
	w.longest = max(w.longest, wait)
}

// logWaits writes a line if packets have waited long since the last interval.
func (f *Fleet) logWaits(now time.Duration) {
	w := &f.waits
	if now-w.loggedAt < _waitsInterval {
		return
	}
	if w.longest >= _notableWait {
		f.config.Log.Info("packets-waited",
			zap.Int("packets", w.packets),
			zap.Int("questions", w.questions),
			zap.Int("late-questions", w.late),
			zap.Duration("longest", w.longest),
			zap.Int("queued", len(f.events)))
	}
	*w = packetWaits{
		loggedAt: now,
	}
}
