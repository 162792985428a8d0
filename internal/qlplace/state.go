package qlplace

import (
	"sort"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlshare"
)

// Shares returns the windows of fair shares, one for each group of engines.
func (p *Placer) Shares() []*qlshare.Window {
	return p.shares
}

// HasEngine reports whether the engine is known and may get requests.
func (p *Placer) HasEngine(id string) bool {
	return p.engines[id] != nil
}

// PoolState is the state of one group of a service's engines, for dumps.
type PoolState struct {
	Service           string  `json:"service"`
	Group             int     `json:"group"`
	LatencyCorrection float64 `json:"margin"`
	InTime            uint64  `json:"in-time"`
	Late              uint64  `json:"late"`
	RecomputedTokens  uint64  `json:"tokens-read-again"`
	// Refused counts refusals by reason.
	Refused map[string]uint64 `json:"refused"`
	// Cold is the number of cold engines, and Returning that of engines which get their
	// traffic back in steps. ColdGranted counts requests to either, ColdBlocked how often
	// one was left out of a decision.
	Cold        int    `json:"cold"`
	Returning   int    `json:"returning"`
	ColdGranted uint64 `json:"cold-granted"`
	ColdBlocked uint64 `json:"cold-blocked"`
	// Load is the engines' mean load.
	Load float64 `json:"load"`
	// TokenPrefill and LatencyScale are the learned speed of the engines, see
	// qlengine.Speed.
	TokenPrefill time.Duration `json:"token-prefill-ns"`
	LatencyScale float64       `json:"latency-scale"`
	Engines      []EngineState `json:"engines"`
	// Prefixes is nil if prefixes are not weighed.
	Prefixes *PrefixState `json:"prefixes,omitempty"`
}

// RouterState counts the first events that a router reported.
type RouterState struct {
	Router string `json:"router"`
	InTime uint64 `json:"in-time"`
	Late   uint64 `json:"late"`
	// Untimed counts first events whose times were ignored because the router
	// lagged.
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

// Routers returns the routers that reported first events, sorted by the
// number of late ones, highest first.
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

// EngineState is the state of one engine, for dumps.
type EngineState struct {
	ID             string  `json:"id"`
	ActiveRequests int     `json:"running"`
	Waiting        int     `json:"waiting"`
	PendingTokens  int     `json:"unread-tokens"`
	Slowness       float64 `json:"slowness"`
	// Pace is the last pace that the engine reported, or 0, and PaceFactor the factor of
	// predicted times at present that results from it.
	Pace       float64 `json:"pace"`
	PaceFactor float64 `json:"pace-factor"`
	// Overdue is how far the first event that is overdue longest exceeds its
	// predicted time, beyond a tolerance.
	Overdue     time.Duration `json:"overdue-ns"`
	FailureRate float64       `json:"faults"`
	// ColdLeft is how much longer the engine stays cold.
	ColdLeft time.Duration `json:"cold-left-ns"`
	// Lost is the fraction of the tokens taken to be cached that the engine has
	// turned out to lack, and FreeTokens the memory that running requests don't
	// reserve.
	Lost       float64 `json:"cache-lost"`
	FreeTokens int     `json:"free-tokens"`
}

// State returns the estimated state of all engines.
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
		LatencyCorrection: p.latencyCorrection,
		InTime:            p.inTime,
		Late:              p.late,
		RecomputedTokens:  p.recomputedTokens,
		ColdGranted:       p.coldGranted,
		ColdBlocked:       p.coldBlocked,
		Refused:           make(map[string]uint64),
		Load:              p.meanLoad,
		TokenPrefill:      p.speed.TokenPrefill(),
		LatencyScale:      p.speed.LatencyScale(),
		Prefixes:          p.prefixState(now),
	}
	state.Cold, state.Returning = p.coldState(now)
	for reason, count := range p.refused {
		if count > 0 {
			state.Refused[Reason(reason).String()] = count
		}
	}
	for _, e := range p.engines {
		state.Engines = append(state.Engines, EngineState{
			ID:             e.info.ID,
			ActiveRequests: e.model.ActiveRequests(),
			Waiting:        e.model.Waiting(),
			PendingTokens:  e.model.PendingTokens(),
			Slowness:       e.model.Slowness(now),
			Pace:           e.model.Pace(),
			PaceFactor:     e.model.PaceFactor(now),
			Overdue:        e.model.Overdue(now),
			FailureRate:    e.model.FailureRate(now),
			ColdLeft:       max(e.info.WarmUp.Window.Until-now, 0),
			Lost:           e.model.Lost(now),
			FreeTokens:     e.model.FreeTokens(),
		})
	}
	return state
}
