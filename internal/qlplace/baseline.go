package qlplace

import (
	"time"
)

// Policy selects how requests are placed. All but Predict are simple
// baselines for comparison.
type Policy string

// The policies.
const (
	// Predict places by predicted time to the first event and refuses
	// requests that would miss their objective.
	Predict Policy = ""
	// Affinity chooses the engine that ranks first for the last shared
	// segment and refuses nothing.
	Affinity Policy = "affinity"
	// FewestActive chooses the engine with the fewest active requests and
	// refuses nothing.
	FewestActive Policy = "load"
)

// decideByPolicy places a request by one of the baseline policies.
func (p *Placer) decideByPolicy(now time.Duration, pool *pool, request *Request) Decision {
	affinity, _ := request.Prompt.Affinity()
	var chosen *engine
	for i, e := range pool.engines {
		if p.blocked[i] || excluded(request.Excluded, e.info.ID) {
			continue
		}
		better := chosen == nil || e.hash.RanksBefore(affinity, chosen.hash)
		if p.config.Policy == FewestActive && chosen != nil && e.model.ActiveRequests() != chosen.model.ActiveRequests() {
			better = e.model.ActiveRequests() < chosen.model.ActiveRequests()
		}
		if better {
			chosen = e
		}
	}
	if chosen == nil {
		return Decision{
			Reason:     NoEngine,
			RetryAfter: _fullRetryAfter,
		}
	}
	p.RecordPlacement(now, request, chosen.info.ID)
	return Decision{
		Engine: chosen.info.ID,
	}
}
