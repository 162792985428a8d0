package qlplace

import (
	"math"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlengine"
)

// limits are the limits under which a request is admitted.
type limits struct {
	// maxFirstEvent is the longest predicted time to the first event: the
	// strictest recent latency objective, divided by the latency correction
	// factor.
	maxFirstEvent time.Duration
	// waitFactor scales the allowed wait.
	waitFactor float64
	// maxLoad is the load up to which an engine may be used.
	maxLoad float64
	// meanPrefill is the mean prefill time of recent prompts.
	meanPrefill time.Duration
	// reason is why a request beyond these limits is refused, unless it is Full.
	reason Reason
}

func (p *Placer) limits(now time.Duration, pool *pool, request *Request) limits {
	l := limits{
		// Requests with different objectives wait in the same engines. If
		// each were admitted by its own objective, those with longer ones
		// would fill the engines and leave no room for the others.
		maxFirstEvent: time.Duration(float64(min(pool.strictestObjective, request.LatencyObjective)) / pool.latencyCorrection),
		waitFactor:    1,
		maxLoad:       math.MaxFloat64,
		meanPrefill:   pool.meanPrefill,
		reason:        Late,
	}
	shares := p.shares[pool.group]
	if ratio := shares.Ratio(now, request.Customer); ratio > 1 {
		excess := shares.Excess(request.Customer)
		l.maxLoad = overShareMaxLoad(pool.meanLoad, excess)
		l.waitFactor, l.reason = overShareWaitFactor(excess), OverShare
	}
	return l
}

// maxWait returns the longest wait under which a request is admitted: what
// remains of the objective after prefill and decoding. At most the mean
// prefill time is deducted; otherwise the longest prompts would hardly ever
// be admitted.
func (l *limits) maxWait(forecast *qlengine.Forecast) time.Duration {
	afterWait := forecast.FirstEvent - forecast.Wait - max(forecast.Prefill-l.meanPrefill, 0)
	return time.Duration(l.waitFactor * float64(max(l.maxFirstEvent-afterWait, 0)))
}

// candidate is an engine that a request may be placed on.
type candidate struct {
	engine     *engine
	forecast   qlengine.Forecast
	admissible bool
	// score is the predicted time to the first event plus penalties; lower is
	// better.
	score time.Duration
}

// best returns the engine with the lowest score, among those that admit the
// request if there are any. Engines that cache most of the prompt are checked
// first; others are skipped when the recompute penalty alone exceeds the best
// score.
func (p *Placer) best(now time.Duration, pool *pool, request *Request, limits *limits) candidate {
	// Two candidates are reused, since copies would take most of the time.
	var candidates [2]candidate
	chosen, next := &candidates[0], &candidates[1]
	affinity, _ := request.Prompt.Affinity()
	unique := request.Prompt.UniqueTokens()
	fewestMissing := p.countMissing(pool, request)
	p.startWeighing(now, pool, request, fewestMissing)
	for _, wantCached := range []bool{true, false} {
		for i, e := range pool.engines {
			recomputed := p.missingTokens[i] - fewestMissing
			recomputeCost := p.minRecomputeCost(pool, recomputed)
			if (recomputed == 0) != wantCached || chosen.admissible && recomputeCost >= chosen.score {
				continue
			}
			if p.blocked[i] || excluded(request.Excluded, e.info.ID) {
				continue
			}
			if chosen.admissible && recomputeCost+e.model.MinFirstEvent(now, unique+p.missingTokens[i]) > chosen.score {
				continue
			}
			p.evaluate(next, now, e, request, limits, p.missingTokens[i], recomputeCost)
			if chosen.engine == nil || next.betterThan(chosen, affinity) {
				chosen, next = next, chosen
			}
		}
	}
	return *chosen
}

// evaluate sets a candidate to the placement of a request on an engine.
func (p *Placer) evaluate(c *candidate, now time.Duration, e *engine, request *Request, limits *limits, missing int, recomputeCost time.Duration) {
	c.engine = e
	e.model.Forecast(now, &request.Prompt, missing, &c.forecast)
	p.applyLoadScale(&c.forecast)
	if e.info.WarmUp.Window.IsCold(now) {
		c.forecast.FirstEvent *= _coldFactor
	}
	if p.config.WeighPrefixes {
		recomputeCost = p.prefixWorth(now, c, request, limits, recomputeCost)
	}
	// Under load, recomputing a segment takes prefill time from other
	// requests, so its penalty counts towards the wait, too.
	wait := c.forecast.Wait + recomputeCost
	c.admissible = c.forecast.Fits && c.forecast.Load <= limits.maxLoad && wait <= limits.maxWait(&c.forecast)
	if !c.admissible && !e.pool.speed.Known() && e.model.Waiting() == 0 && c.forecast.Fits && c.forecast.Load <= limits.maxLoad {
		// Until the engines' speed is known, an idle engine is tried: if the initial
		// speed were too low, nothing would be admitted and the speed never learned.
		c.admissible = true
	}
	c.score = p.score(now, e, &c.forecast, request) + recomputeCost
	if c.admissible {
		p.weighing.bestScore = min(p.weighing.bestScore, c.score)
	}
}

// refreshLoad recomputes the engines' mean load when it is older than
// _meanLoadTTL.
func (p *pool) refreshLoad(now time.Duration) {
	if now-p.meanLoadAt < _meanLoadTTL || len(p.engines) == 0 {
		return
	}
	p.meanLoadAt = now
	load := 0.0
	for _, e := range p.engines {
		load += e.model.Load(now)
	}
	p.meanLoad = load / float64(len(p.engines))
}

// countMissing stores the number of shared tokens that each engine is missing
// in missingTokens, and returns the lowest number among the engines that
// aren't excluded. Tokens that every engine is missing have to be computed in
// any case; only an engine's missing tokens beyond this number are penalized.
func (p *Placer) countMissing(pool *pool, request *Request) int {
	p.missingTokens = p.missingTokens[:0]
	for range pool.engines {
		p.missingTokens = append(p.missingTokens, 0)
	}
	shared := request.Prompt.Segments[:max(len(request.Prompt.Segments)-1, 0)]
	for _, segment := range shared {
		engineBits := pool.cacheIndex.bySegment[segment.ID]
		for i := range p.missingTokens {
			// A cached segment can be used only when all segments before it
			// are cached, too.
			if p.missingTokens[i] > 0 || !held(engineBits, i) {
				p.missingTokens[i] += segment.Tokens
			}
		}
	}
	fewest := request.Prompt.Tokens
	for i, e := range pool.engines {
		if !p.blocked[i] && !excluded(request.Excluded, e.info.ID) {
			fewest = min(fewest, p.missingTokens[i])
		}
	}
	return fewest
}

func (c *candidate) betterThan(other *candidate, affinity uint64) bool {
	switch {
	case c.admissible != other.admissible:
		return c.admissible
	case c.forecast.Fits != other.forecast.Fits:
		return c.forecast.Fits
	case c.score != other.score:
		return c.score < other.score
	}
	return c.engine.hash.RanksBefore(affinity, other.engine.hash)
}

// overShareWaitFactor returns the factor for the allowed wait of a customer
// above its fair share, given its excess.
func overShareWaitFactor(excess float64) float64 {
	factor := _overShareWaitFactor / math.Pow(excess, _overShareWaitExponent)
	return min(max(factor, _minOverShareWaitFactor), 1)
}

// overShareMaxLoad returns the load up to which engines are used for a customer
// above its fair share, given the engines' mean load and its excess.
func overShareMaxLoad(meanLoad, excess float64) float64 {
	limit := max(2*_overShareLoad-meanLoad, _minOverShareLoad)
	return min(limit/math.Pow(excess, _overShareLoadExponent), _maxOverShareLoad)
}

// trackObjective lowers strictestObjective to a stricter objective at once and
// raises it a little with each less strict one, so that it rises gradually once
// the strictest objective is no longer requested.
func (p *pool) trackObjective(objective time.Duration) {
	if p.strictestObjective == 0 || objective < p.strictestObjective {
		p.strictestObjective = objective
		return
	}
	p.strictestObjective += (objective - p.strictestObjective) / _objectiveDecayRequests
}

func excluded(ids []string, id string) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}
	return false
}

func (p *Placer) applyLoadScale(forecast *qlengine.Forecast) {
	if p.loadScale == 1 {
		return
	}
	extra := time.Duration(float64(forecast.Wait) * (p.loadScale - 1))
	forecast.Wait += extra
	forecast.FirstEvent += extra
}

func (p *Placer) score(now time.Duration, e *engine, forecast *qlengine.Forecast, request *Request) time.Duration {
	score := forecast.FirstEvent + time.Duration(_failurePenalty*e.model.FailureRate(now)*float64(request.LatencyObjective))
	if e.info.Zone != request.Zone {
		score += _crossZonePenalty
	}
	return score
}

func (p *Placer) refuse(pool *pool, reason Reason, best *candidate, limits *limits) Decision {
	pool.refused[reason]++
	decision := Decision{
		Reason:     reason,
		Predicted:  best.forecast.FirstEvent,
		RetryAfter: time.Duration(p.config.Random.Int64N(int64(_retryJitter))),
	}
	switch reason {
	case OverShare:
		// Such a customer is admitted again when its older grants have left
		// the window.
		decision.RetryAfter += _overShareRetryAfter
	case NoEngine, Full:
		decision.RetryAfter += _fullRetryAfter
	case Late, Admitted:
		decision.RetryAfter += max(best.forecast.Wait-limits.maxWait(&best.forecast), _minRetryAfter)
	}
	return decision
}
