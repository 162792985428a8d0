package qlplace

import (
	"time"
)

// Policy is a way of placing requests. Those but Predict are kept to measure
// against.
type Policy string

// The policies.
const (
	// Predict places by predicted first events and refuses what comes late.
	Predict Policy = ""
	// Affinity takes the first engine in the order of the last shared part and
	// refuses nothing.
	Affinity Policy = "affinity"
	// LeastRuns takes the engine with the fewest known runs and refuses
	// nothing.
	FewestActive Policy = "load"
)

// askBaseline places a request by one of the simple policies.
func (p *Placer) askBaseline(now time.Duration, pool *pool, request *Request) Decision {
	affinity, _ := request.Prompt.Affinity()
	var chosen *engine
	for _, e := range pool.engines {
		if excluded(request.Excluded, e.info.ID) {
			continue
		}
		better := chosen == nil || e.hash.RanksBefore(affinity, chosen.hash)
		if p.config.Policy == FewestActive && chosen != nil && e.model.Running() != chosen.model.Running() {
			better = e.model.Running() < chosen.model.Running()
		}
		if better {
			chosen = e
		}
	}
	if chosen == nil {
		return Decision{
			Reason:     NoEngine,
			RetryAfter: _fullRetry,
		}
	}
	p.RecordPlacement(now, request, chosen.info.ID)
	return Decision{
		Engine: chosen.info.ID,
	}
}
