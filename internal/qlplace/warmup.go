package qlplace

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/quetzallane/quetzallane/internal/qlwarmup"
)

// A cold engine gets a limited rate of requests from the whole fleet. The owner of its group
// grants them; a router that decides alone uses a cold engine only if all are cold.

// _coldFactor is by how much longer a first event takes at a cold engine than predicted. It
// isn't learned: a warm-up ends before enough first events have come.
const _coldFactor = 2

// WarmUp is the warm-up of an engine.
type WarmUp struct {
	Window qlwarmup.Window
	Limit  qlwarmup.Limit
}

// SetFleet sets what this router knows of the fleet.
func (p *Placer) SetFleet(fleet qlwarmup.Fleet) {
	p.fleet = fleet
}

// SetAlone sets whether this router decides because no owner answers.
func (p *Placer) SetAlone(alone bool) {
	p.alone = alone
}

// coldOffset spreads a router's turns for the engines.
func coldOffset(id string) float64 {
	return float64(xxhash.Sum64String(id)) / math.MaxUint64
}

// markBlocked sets blocked to the engines that may not get a request now, whether or not it
// was admitted before.
func (p *Placer) markBlocked(now time.Duration, pool *pool, router string) {
	p.blocked, p.anyBlocked = p.blocked[:0], false
	usesCold := false
	if p.alone {
		usesCold = pool.allCold(now)
	} else {
		usesCold = pool.term.Decide(now, router)
	}
	var limit qlwarmup.Limit
	var share qlwarmup.Share
	for _, e := range pool.engines {
		blocked := false
		if e.info.WarmUp.Window.IsLimited(now) {
			if limit != e.info.WarmUp.Limit {
				limit = e.info.WarmUp.Limit
				share = p.share(now, pool, limit)
			}
			blocked = !e.pace.Allows(now, e.info.WarmUp.Window, share, e.coldOffset)
			if e.info.WarmUp.Window.IsCold(now) {
				blocked = blocked || !usesCold
			} else {
				// It is warm: only an owner has so much traffic that it could get too
				// much at once.
				blocked = blocked && !p.alone
			}
			if blocked {
				pool.coldBlocked++
				p.anyBlocked = true
			}
		}
		p.blocked = append(p.blocked, blocked)
	}
}

func (p *Placer) share(now time.Duration, pool *pool, limit qlwarmup.Limit) qlwarmup.Share {
	if p.alone {
		return limit.AloneShare(p.fleet)
	}
	return limit.OwnerShare(p.fleet, pool.term.Asking(now))
}

// allCold reports whether every engine is cold.
func (p *pool) allCold(now time.Duration) bool {
	for _, e := range p.engines {
		if !e.info.WarmUp.Window.IsCold(now) {
			return false
		}
	}
	return true
}

// recordCold records a request to the engine, wherever it was decided.
func (e *engine) recordCold(now time.Duration) {
	if !e.info.WarmUp.Window.IsLimited(now) {
		return
	}
	e.pace.Record(now)
	e.pool.coldGranted++
}

// coldState returns how many engines are cold, and how many get their traffic back in steps.
func (p *pool) coldState(now time.Duration) (cold, returning int) {
	for _, e := range p.engines {
		switch {
		case e.info.WarmUp.Window.IsCold(now):
			cold++
		case e.info.WarmUp.Window.IsLimited(now):
			returning++
		}
	}
	return cold, returning
}
