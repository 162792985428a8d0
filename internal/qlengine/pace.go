package qlengine

import "time"

// RecordPace records how long work takes now on the engine's machine, as it reported
// with the first event of the request: 1 is usual. It has to be called before LearnSpeed
// and FirstEvent, which then learn from the time that the request would have taken
// without the machine's momentary slowness.
func (e *Engine) RecordPace(now time.Duration, key Key, pace float64) {
	r, ok := e.active[key]
	if !ok || r.firstReceived {
		return
	}
	e.paces.Record(now, pace)
	e.currentKnown = false
	// The pace between placement and first event is not known. Slow periods are as long
	// as many requests take, so the mean of both ends is close.
	r.paceDuring = (r.paceAtPlacement + e.paces.Factor(now)) / 2
	e.active[key] = r
}

// Pace returns the last pace that the engine reported, or 0 if there was none.
func (e *Engine) Pace() float64 {
	return e.paces.Latest()
}

// PaceFactor returns the factor of predicted times that results from reported paces. It
// is 1 if there are no recent ones.
func (e *Engine) PaceFactor(now time.Duration) float64 {
	return e.paces.Factor(now)
}

// momentarySlowness returns the learned slowness, scaled by the reported paces.
func (e *Engine) momentarySlowness(now time.Duration) float64 {
	return e.slowness(now) * e.paces.Factor(now)
}

// withoutPace returns the time that a request would have taken at the engine's mean pace.
func (r *activeRequest) withoutPace(took time.Duration) time.Duration {
	return time.Duration(float64(took) / r.paceDuring)
}
