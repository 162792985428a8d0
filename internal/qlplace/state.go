package qlplace

import (
	"time"

	"github.com/quetzallane/quetzallane/internal/qlshare"
)

// Shares returns the fair shares' windows, one for each group of engines.
func (p *Placer) Shares() []*qlshare.Window {
	return p.shares
}

// PoolState is one group of a service's engines, for dumps.
type PoolState struct {
	Service string        `json:"service"`
	Group   int           `json:"group"`
	Margin  float64       `json:"margin"`
	InTime  uint64        `json:"in-time"`
	Late    uint64        `json:"late"`
	Reread  uint64        `json:"tokens-read-again"`
	Engines []EngineState `json:"engines"`
}

// EngineState is one engine, for dumps.
type EngineState struct {
	ID       string  `json:"id"`
	Running  int     `json:"running"`
	Waiting  int     `json:"waiting"`
	Unread   int     `json:"unread-tokens"`
	Slowness float64 `json:"slowness"`
	Faults   float64 `json:"faults"`
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
		Service: p.service,
		Group:   p.group,
		Margin:  p.margin,
		InTime:  p.inTime,
		Late:    p.late,
		Reread:  p.reread,
	}
	for _, e := range p.engines {
		state.Engines = append(state.Engines, EngineState{
			ID:       e.info.ID,
			Running:  e.model.Running(),
			Waiting:  e.model.Waiting(),
			Unread:   e.model.Unread(),
			Slowness: e.model.Slowness(now),
			Faults:   e.model.Faults(now),
		})
	}
	return state
}
