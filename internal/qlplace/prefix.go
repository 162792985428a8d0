package qlplace

import (
	"math"
	"math/bits"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlengine"
	"github.com/quetzallane/quetzallane/internal/qlprefix"
)

const (
	// _maxPrefixes bounds the shared segments whose demand is tracked in a pool, to
	// about 1 MB. Further ones count as requested for the first time.
	_maxPrefixes = 16_384
	// _prefixTTL is how long the demand for a segment is kept after the last request.
	_prefixTTL = 10 * time.Second
	// _intervalWeight is the weight of one request in the mean time between requests
	// for a segment.
	_intervalWeight = 0.125
	// _hotInterval is the mean time between requests for a segment below which it
	// counts as hot in dumps.
	_hotInterval = 500 * time.Millisecond
)

// prefixDemand is the demand for the last shared segments of prompts, which stand
// for the prompts' whole shared beginnings.
type prefixDemand struct {
	bySegment map[uint64]segmentDemand
	// cachedTokens counts the shared tokens that the chosen engines were taken to
	// cache. copies counts the requests for which an engine was chosen that had to
	// read again what another one caches.
	cachedTokens uint64
	copies       uint64
}

type segmentDemand struct {
	requestedAt time.Duration
	// interval is the mean time between requests.
	interval time.Duration
}

// weighing holds what the engines evaluated for one decision have in common.
type weighing struct {
	affinity      uint64
	sharedTokens  int
	fewestMissing int
	interval      time.Duration
	holders       int
	// holderLoad is the lowest load of the engines evaluated so far that miss the
	// fewest tokens; best evaluates these first.
	holderLoad float64
	// bestScore is the lowest score of an engine that admits the request so far.
	bestScore time.Duration
	// minWeight is the lowest price of reading tokens again, relative to their
	// prefill time.
	minWeight float64
}

// record counts a request for a segment.
func (d *prefixDemand) record(now time.Duration, id uint64) {
	if d.bySegment == nil {
		d.bySegment = make(map[uint64]segmentDemand)
	}
	segment, known := d.bySegment[id]
	switch {
	case !known && len(d.bySegment) >= _maxPrefixes:
		return
	case !known:
		segment.interval = _prefixTTL
	default:
		gap := min(now-segment.requestedAt, _prefixTTL)
		segment.interval += time.Duration(_intervalWeight * float64(gap-segment.interval))
	}
	segment.requestedAt = now
	d.bySegment[id] = segment
}

func (d *prefixDemand) expire(now time.Duration) {
	for id, segment := range d.bySegment {
		if now-segment.requestedAt > _prefixTTL {
			delete(d.bySegment, id)
		}
	}
}

// startWeighing counts the demand for the prompt's shared segments and prepares
// prefixWorth for a decision.
func (p *Placer) startWeighing(now time.Duration, pool *pool, request *Request, fewestMissing int) {
	if !p.config.WeighPrefixes {
		return
	}
	affinity, ok := request.Prompt.Affinity()
	p.weighing = weighing{
		affinity:      affinity,
		sharedTokens:  request.Prompt.Tokens - request.Prompt.UniqueTokens(),
		fewestMissing: fewestMissing,
		holderLoad:    math.MaxFloat64,
		bestScore:     math.MaxInt64,
	}
	if !ok {
		return
	}
	pool.prefixes.record(now, affinity)
	// The other routers' requests are not known here while this one decides alone.
	p.weighing.interval = time.Duration(float64(pool.prefixes.bySegment[affinity].interval) / p.loadScale)
	p.weighing.holders = pool.cacheIndex.holders(affinity)
	p.weighing.minWeight = qlprefix.MinWeight(pool.meanLoad, p.weighing.interval, p.weighing.holders)
}

// minRecomputeCost returns a lower bound of the penalty for tokens that are read
// again: the penalty itself unless prefixes are weighed.
func (p *Placer) minRecomputeCost(pool *pool, tokens int) time.Duration {
	if p.config.WeighPrefixes {
		// An engine may be faster than the others by the lowest slowness.
		return time.Duration(qlengine.MinSlowness * p.weighing.minWeight * float64(pool.speed.PrefillTime(tokens)))
	}
	return _recomputeWeight * pool.speed.PrefillTime(tokens)
}

// prefixWorth returns the penalty of a candidate, whose forecast is set, for what it
// would read again or may have evicted. It returns the lower bound minCost where the
// price can't change the decision: while a group is overloaded, most engines are
// evaluated for each request.
func (p *Placer) prefixWorth(now time.Duration, c *candidate, request *Request, limits *limits, minCost time.Duration) time.Duration {
	w := &p.weighing
	if w.sharedTokens == 0 {
		return 0
	}
	model := c.engine.model
	var state qlengine.PrefixState
	model.PrefixState(now, w.affinity, &state)
	missing := c.forecast.MissingTokens
	if missing == w.fewestMissing {
		w.holderLoad = min(w.holderLoad, c.forecast.Load)
	}
	refused := !request.AlreadyAdmitted && c.forecast.Wait+minCost > limits.maxWait(&c.forecast)
	if refused || c.forecast.FirstEvent+minCost > w.bestScore {
		return minCost
	}
	prefill := func(tokens int) time.Duration {
		return time.Duration(float64(c.engine.pool.speed.PrefillTime(tokens)) * model.Slowness(now))
	}
	return qlprefix.Worth(qlprefix.Candidate{
		Read:       prefill(missing - w.fewestMissing),
		Cached:     prefill(w.sharedTokens - missing),
		Wait:       c.forecast.Wait,
		FirstEvent: c.forecast.FirstEvent,
		Goal:       request.LatencyObjective,
		Load:       max(c.forecast.Load, c.engine.pool.meanLoad),
		HolderLoad: w.holderLoad,
		Streams:    state.Streams,
		Slots:      state.Slots,
		Room:       state.Room,
		Held:       state.Held,
		Capacity:   state.Capacity,
		Age:        state.Age,
		Turnover:   state.Turnover,
		Lost:       state.Lost,
		Interval:   w.interval,
		Holders:    w.holders,
	})
}

// countPrefixUse counts the shared tokens of an admitted request.
func (p *Placer) countPrefixUse(pool *pool, chosen *candidate) {
	if !p.config.WeighPrefixes {
		return
	}
	missing := chosen.forecast.MissingTokens
	pool.prefixes.cachedTokens += uint64(max(p.weighing.sharedTokens-missing, 0))
	if missing > p.weighing.fewestMissing {
		pool.prefixes.copies++
	}
}

// holders returns the number of engines that cache a segment.
func (c *cacheIndex) holders(segment uint64) int {
	count := 0
	for _, word := range c.bySegment[segment] {
		count += bits.OnesCount(word)
	}
	return count
}

// PrefixState is the state of cached prefixes in a group, for dumps and metrics.
type PrefixState struct {
	// CachedTokens counts the shared tokens that the chosen engines were taken to
	// cache, and Copies the requests placed on an engine that had to read again what
	// another one caches.
	CachedTokens uint64 `json:"tokens-saved"`
	Copies       uint64 `json:"copies-read"`
	// HotSegments is the number of segments that are requested often, and HotHolders
	// the number of engines that cache them, summed over the segments.
	HotSegments int `json:"hot-parts"`
	HotHolders  int `json:"hot-part-holders"`
}

// prefixState returns nil if prefixes are not weighed.
func (p *pool) prefixState(now time.Duration) *PrefixState {
	if p.prefixes.bySegment == nil {
		return nil
	}
	state := &PrefixState{
		CachedTokens: p.prefixes.cachedTokens,
		Copies:       p.prefixes.copies,
	}
	for id, segment := range p.prefixes.bySegment {
		if max(segment.interval, now-segment.requestedAt) > _hotInterval {
			continue
		}
		state.HotSegments++
		state.HotHolders += p.cacheIndex.holders(id)
	}
	return state
}
