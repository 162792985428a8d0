package qlplace

import (
	"sort"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlshare"
)

// Shares returns the fair shares' windows, one for each group of engines.
func (p *Placer) Shares() []*qlshare.Window {
	return p.shares
}

// PoolState is one group of a service's engines, for dumps.
type PoolState struct {
	Service           string  `json:"service"`
	Group             int     `json:"group"`
	LatencyCorrection float64 `json:"margin"`
	InTime            uint64  `json:"in-time"`
	Late              uint64  `json:"late"`
	RecomputedTokens  uint64  `json:"tokens-read-again"`
	// Refused counts refusals by reason.
	Refused map[string]uint64 `json:"refused"`
	// Load is the engines' mean load.
	Load    float64       `json:"load"`
	Engines []EngineState `json:"engines"`
}

// RouterState counts the first events that a router told of.
type RouterState struct {
	Router string `json:"router"`
	InTime uint64 `json:"in-time"`
	Late   uint64 `json:"late"`
	// Untimed counts first events that the router was too late to time.
	Untimed uint64 `json:"untimed"`
}

func (p *Placer) router(id string) *RouterState {
	state := p.routers[id]
	if state == nil {
		state = &RouterState{
			Router: id,
		}
		p.routers[id] = state
	}
	return state
}

// Routers returns the routers that told of first events, those that told of
// the most late ones first.
func (p *Placer) Routers() []RouterState {
	states := make([]RouterState, 0, len(p.routers))
	for _, state := range p.routers {
		states = append(states, *state)
	}
	sort.Slice(states, func(i, j int) bool {
		if states[i].Late != states[j].Late {
			return states[i].Late > states[j].Late
		}
		return states[i].Router < states[j].Router
	})
	return states
}

// EngineState is one engine, for dumps.
type EngineState struct {
	ID            string  `json:"id"`
	Running       int     `json:"running"`
	Waiting       int     `json:"waiting"`
	PendingTokens int     `json:"unread-tokens"`
	Slowness      float64 `json:"slowness"`
	// Overdue is how late the first event is that has been awaited longest.
	Overdue     time.Duration `json:"overdue-ns"`
	FailureRate float64       `json:"faults"`
}

// State returns what is believed of the engines.
func (p *Placer) State(now time.Duration) []PoolState {
	var states []PoolState
	for _, groups := range p.pools {
		for _, pool := range groups {
			states = append(states, pool.state(now))
		}
	}
	return states
}

func (p *pool) state(now time.Duration) PoolState {
	state := PoolState{
		Service:           p.service,
		Group:             p.group,
		LatencyCorrection: p.margin,
		InTime:            p.inTime,
		Late:              p.late,
		RecomputedTokens:  p.reread,
		Refused:           make(map[string]uint64),
		Load:              p.meanLoad,
	}
	for reason, count := range p.refused {
		if count > 0 {
			state.Refused[Reason(reason).String()] = count
		}
	}
	for _, e := range p.engines {
		state.Engines = append(state.Engines, EngineState{
			ID:            e.info.ID,
			Running:       e.model.Running(),
			Waiting:       e.model.Waiting(),
			PendingTokens: e.model.PendingTokens(),
			Slowness:      e.model.Slowness(now),
			Overdue:       e.model.Overdue(now),
			FailureRate:   e.model.FailureRate(now),
		})
	}
	return state
}
