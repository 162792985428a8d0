package qlplace

import (
	"time"

	"github.com/quetzallane/quetzallane/internal/qlengine"
)

// A router whose processor is overloaded tells of first events when it gets
// round to them. Such times say nothing about the engines: learned from, one
// busy router would make all engines look slow, and its silence would make
// them look overdue.

// MarkLagging takes that a router handles its events late.
func (p *Placer) MarkLagging(now time.Duration, router string) {
	p.lateUntil[router] = now + _lateWordFor
}

// MarkAllLagging takes that this router handles late what the others tell.
func (p *Placer) MarkAllLagging(now time.Duration) {
	p.allLateUntil = now + _lateWordFor
}

func (p *Placer) isLate(now time.Duration, router string) bool {
	return now < p.allLateUntil || now < p.lateUntil[router]
}

// AssumeFirstEvents takes first events that late routers have not told of for come
// when they were predicted.
func (p *Placer) AssumeFirstEvents(now time.Duration) {
	for router, until := range p.lateUntil {
		if now >= until {
			delete(p.lateUntil, router)
		}
	}
	if len(p.lateUntil) == 0 && now >= p.allLateUntil {
		return
	}
	for key, run := range p.runs {
		if !p.isLate(now, key.Router) {
			continue
		}
		if due, ok := run.engine.model.FirstEventDue(key); ok && now >= due {
			p.firstUntimed(now, key, run)
		}
	}
}

func (p *Placer) firstUntimed(now time.Duration, key qlengine.Key, run placed) {
	if run.engine.model.FirstEventUntimed(now, key) {
		p.router(key.Router).Untimed++
	}
}
