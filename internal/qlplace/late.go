package qlplace

import (
	"time"

	"github.com/quetzallane/quetzallane/internal/qlengine"
)

// A router whose processor is overloaded reports first events late. Such
// times show the router's scheduling lag and say nothing about the engines.
// If the placer learned from them, a single overloaded router would make all
// engines look slow, and its missing reports would make their first events
// look overdue.

// MarkLagging records a lag report of a router: for _lagReportTTL, the times
// of its first events are ignored.
func (p *Placer) MarkLagging(now time.Duration, router string) {
	p.laggingUntil[router] = now + _lagReportTTL
}

// MarkAllLagging records that this router itself lags and handles the reports
// of all routers late.
func (p *Placer) MarkAllLagging(now time.Duration) {
	p.allLaggingUntil = now + _lagReportTTL
}

func (p *Placer) isLagging(now time.Duration, router string) bool {
	return now < p.allLaggingUntil || now < p.laggingUntil[router]
}

// AssumeFirstEvents treats first events that lagging routers have not
// reported as received once their predicted times have passed. It also
// removes expired lag reports.
func (p *Placer) AssumeFirstEvents(now time.Duration) {
	for router, until := range p.laggingUntil {
		if now >= until {
			delete(p.laggingUntil, router)
		}
	}
	if len(p.laggingUntil) == 0 && now >= p.allLaggingUntil {
		return
	}
	for key, request := range p.active {
		if !p.isLagging(now, key.Router) {
			continue
		}
		if due, ok := request.engine.model.FirstEventDue(key); ok && now >= due {
			p.recordUntimed(now, key, request)
		}
	}
}

func (p *Placer) recordUntimed(now time.Duration, key qlengine.Key, request activeRequest) {
	if request.engine.model.FirstEventUntimed(now, key) {
		p.router(key.Router).Untimed++
	}
}
