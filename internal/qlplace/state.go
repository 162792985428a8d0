package qlplace

import (
	"time"

	"github.com/quetzallane/quetzallane/internal/qlshare"
)

// Shares returns the fair shares' window.
func (p *Placer) Shares() *qlshare.Window {
	return p.shares
}

// PoolState is one service's engines, for dumps.
type PoolState struct {
	Service string        `json:"service"`
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
	for service, pool := range p.pools {
		state := PoolState{
			Service: service,
			Margin:  pool.margin,
			InTime:  pool.inTime,
			Late:    pool.late,
			Reread:  pool.reread,
		}
		for _, e := range pool.engines {
			state.Engines = append(state.Engines, EngineState{
				ID:       e.info.ID,
				Running:  e.model.Running(),
				Waiting:  e.model.Waiting(),
				Unread:   e.model.Unread(),
				Slowness: e.model.Slowness(now),
				Faults:   e.model.Faults(now),
			})
		}
		states = append(states, state)
	}
	return states
}
