package qlplace

import (
	"time"

	"github.com/quetzallane/quetzallane/internal/qlengine"
)

// RecordPace records how long work takes now on the engine of an active request, as the
// engine reported with the request's first event: 1 is usual, and 0 means that nothing
// was reported. It has to be called before FirstEvent. The pace reported by a lagging
// router is ignored, since its age is not known.
func (p *Placer) RecordPace(now time.Duration, key qlengine.Key, pace float64) {
	request, ok := p.active[key]
	if !ok || pace == 0 || p.isLagging(now, key.Router) {
		return
	}
	request.engine.model.RecordPace(now, key, pace)
}
