package qlengine

import "time"

// The cache model follows what was placed, so it doesn't know what an engine has
// really evicted. First events that arrive late by the prefill time of what was
// taken to be cached show that it was not.
const (
	// _lostWeight is the weight of one first event in the lost fraction.
	_lostWeight = 0.1
	// _lostDecay is the time after which the lost fraction is back at 0 when there is
	// no new observation: by then other parts are cached.
	_lostDecay = 10 * time.Second
	// _minLostPrefill is the shortest prefill time of cached tokens from which is
	// learned: reports of first events are delayed by some milliseconds.
	_minLostPrefill = 20 * time.Millisecond
	// _lostTolerance is the lost fraction that counts as none: a machine that is
	// slow for a moment looks the same.
	_lostTolerance = 0.25
)

// PrefixState is what is known of an engine's memory and streams that decides
// the value of a cached prefix.
type PrefixState struct {
	// Streams is the number of requests past their first event.
	Streams int
	Slots   int
	// Room is the memory in tokens that running requests leave for cached segments,
	// Held the tokens that the model lists as cached, and Capacity the whole memory; 0
	// when unknown.
	Room     int
	Held     int
	Capacity int
	// Age is the time since the segment's last use, and Turnover that since the last
	// use of the segment that is evicted next. They are 0 while nothing is evicted.
	Age      time.Duration
	Turnover time.Duration
	// Lost is the fraction of the tokens listed as cached that the engine has turned
	// out to lack.
	Lost float64
}

// PrefixState stores the state in which the engine would use a cached segment.
func (e *Engine) PrefixState(now time.Duration, segment uint64, state *PrefixState) {
	state.Streams = len(e.active) - e.waiting
	state.Slots = e.config.Slots
	state.Capacity = e.config.KVCacheTokens
	state.Room = e.config.KVCacheTokens - e.uncachedTokens
	state.Held = e.cache.heldTokens
	state.Lost = e.Lost(now)
	state.Age, state.Turnover = 0, 0
	if state.Held >= state.Room {
		state.Age = e.cache.age(now, segment)
		state.Turnover = e.cache.turnover(now)
	}
}

// Lost returns the fraction of the tokens taken to be cached that the engine has
// turned out to lack.
func (e *Engine) Lost(now time.Duration) float64 {
	return max(e.decayedLost(now)-_lostTolerance, 0) / (1 - _lostTolerance)
}

// FreeTokens returns the memory that running requests don't reserve; 0 when
// unknown.
func (e *Engine) FreeTokens() int {
	return max(e.config.KVCacheTokens-e.reservedTokens, 0)
}

func (e *Engine) decayedLost(now time.Duration) float64 {
	fade := min(float64(now-e.lostAt)/float64(_lostDecay), 1)
	return e.lost * (1 - fade)
}

// observeLost learns the lost fraction from the first event of a request that was
// placed while the engine had nothing else to prefill. A first event that is early
// counts as a negative fraction, so that noise evens out.
func (e *Engine) observeLost(now time.Duration, r *activeRequest) {
	prefill := e.scaledPrefillTime(now, r.cachedTokens)
	if prefill < _minLostPrefill {
		return
	}
	lost := float64(now-r.placedAt-r.predicted) / float64(prefill)
	current := e.decayedLost(now)
	e.lost = current + _lostWeight*(min(max(lost, -1), 1)-current)
	e.lostAt = now
}
