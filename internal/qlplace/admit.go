package qlplace

import (
	"math"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlengine"
)

// terms are what a request is admitted under.
type terms struct {
	// goal is what the first event is reckoned to take at most.
	goal time.Duration
	// factor scales the wait that is allowed.
	factor float64
	// load is up to which load the engines may be used.
	load float64
	// usualRead is what a prompt usually takes to be read.
	usualRead time.Duration
	reason    Reason
}

func (p *Placer) terms(now time.Duration, pool *pool, request *Request) terms {
	t := terms{
		// All kinds wait in the same engines: were each admitted by its own
		// objective, those with longer ones would leave the others no room.
		goal:      time.Duration(float64(min(pool.goal, request.LatencyObjective)) / pool.margin),
		factor:    1,
		load:      math.MaxFloat64,
		usualRead: pool.usualRead,
		reason:    Late,
	}
	shares := p.shares[pool.group]
	if ratio := shares.Ratio(now, request.Customer); ratio > 1 {
		lead := shares.Excess(request.Customer)
		t.load = min(max(2*_overLoad-pool.meanLoad, _leastOverLoad), 1) / math.Pow(lead, _loadPower)
		t.factor, t.reason = overFactor(lead), OverShare
	}
	return t
}

// allowed returns the wait under which a request is admitted. A long prompt
// takes its own time; it is not refused for more of it than the usual one
// has, or the longest would hardly ever be served.
func (t *terms) allowed(forecast *qlengine.Forecast) time.Duration {
	least := forecast.FirstEvent - forecast.Wait - max(forecast.Prefill-t.usualRead, 0)
	return time.Duration(t.factor * float64(max(t.goal-least, 0)))
}

// option is an engine that a request may be placed on.
type option struct {
	engine     *engine
	forecast   qlengine.Forecast
	admissible bool
	score      time.Duration
}

// best returns the engine that harms least, among those that the request is
// admitted to if there are any. Engines that hold most of its parts are looked
// at first; another one is passed over when reading again alone makes it worse.
func (p *Placer) best(now time.Duration, pool *pool, request *Request, terms *terms) option {
	var chosen option
	affinity, _ := request.Prompt.Affinity()
	held := p.lookUp(pool, request)
	for _, holding := range []bool{true, false} {
		for i, e := range pool.engines {
			again := _rereadPrice * qlengine.PrefillTime(p.missing[i]-held)
			if (again == 0) != holding || chosen.admissible && again >= chosen.score {
				continue
			}
			if excluded(request.Excluded, e.info.ID) {
				continue
			}
			o := p.option(now, e, request, terms, p.missing[i], again)
			if chosen.engine == nil || o.before(&chosen, affinity) {
				chosen = o
			}
		}
	}
	return chosen
}

// option works out what placing a request on an engine would mean.
func (p *Placer) option(now time.Duration, e *engine, request *Request, terms *terms, missing int, again time.Duration) option {
	o := option{
		engine:   e,
		forecast: e.model.Forecast(now, &request.Prompt, missing),
	}
	p.scale(&o.forecast)
	// Under load a part that is read again takes the room of other requests,
	// so its price counts against the wait, too.
	wait := o.forecast.Wait + again
	o.admissible = o.forecast.Fits && o.forecast.Load <= terms.load && wait <= terms.allowed(&o.forecast)
	o.score = p.score(now, e, &o.forecast, request) + again
	return o
}

// refreshLoad computes the engines' mean load, now and then.
func (p *pool) refreshLoad(now time.Duration) {
	if now-p.meanLoadAt < _meanLoadFor || len(p.engines) == 0 {
		return
	}
	p.meanLoadAt = now
	load := 0.0
	for _, e := range p.engines {
		load += e.model.Load(now)
	}
	p.meanLoad = load / float64(len(p.engines))
}

// lookUp notes how many shared tokens each engine lacks, and returns how many
// the one lacks that holds most of them. Only what is lacking beyond that is
// read again.
func (p *Placer) lookUp(pool *pool, request *Request) int {
	p.missing = p.missing[:0]
	for range pool.engines {
		p.missing = append(p.missing, 0)
	}
	shared := request.Prompt.Segments[:max(len(request.Prompt.Segments)-1, 0)]
	for _, part := range shared {
		words := pool.holders.byPart[part.ID]
		for i := range p.missing {
			// A part is of use only when all parts before it are held, too.
			if p.missing[i] > 0 || !held(words, i) {
				p.missing[i] += part.Tokens
			}
		}
	}
	least := request.Prompt.Tokens
	for i, e := range pool.engines {
		if !excluded(request.Excluded, e.info.ID) {
			least = min(least, p.missing[i])
		}
	}
	return least
}

func (o *option) before(other *option, affinity uint64) bool {
	switch {
	case o.admissible != other.admissible:
		return o.admissible
	case o.forecast.Fits != other.forecast.Fits:
		return o.forecast.Fits
	case o.score != other.score:
		return o.score < other.score
	}
	return o.engine.hash.RanksBefore(affinity, other.engine.hash)
}

// overFactor scales the wait allowed to a customer above its share, by its lead
// over an even division of what was granted.
func overFactor(lead float64) float64 {
	return max(_overFactor/math.Pow(lead, _overPower), _leastFactor)
}

// noteGoal follows the strictest objective; it rises slowly when that is not
// asked for any more.
func (p *pool) noteGoal(goal time.Duration) {
	if p.goal == 0 || goal < p.goal {
		p.goal = goal
		return
	}
	p.goal += (goal - p.goal) / _goalMemory
}

func excluded(ids []string, id string) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}
	return false
}

func (p *Placer) scale(forecast *qlengine.Forecast) {
	if p.others == 1 {
		return
	}
	extra := time.Duration(float64(forecast.Wait) * (p.others - 1))
	forecast.Wait += extra
	forecast.FirstEvent += extra
}

func (p *Placer) score(now time.Duration, e *engine, forecast *qlengine.Forecast, request *Request) time.Duration {
	score := forecast.FirstEvent + time.Duration(_faultPrice*e.model.FailureRate(now)*float64(request.LatencyObjective))
	if e.info.Zone != request.Zone {
		score += _crossPrice
	}
	return score
}

func (p *Placer) refuse(pool *pool, reason Reason, best *option, terms *terms) Decision {
	pool.refused[reason]++
	verdict := Decision{
		Reason:     reason,
		Predicted:  best.forecast.FirstEvent,
		RetryAfter: time.Duration(p.config.Random.Int64N(int64(_retrySpread))),
	}
	switch reason {
	case OverShare:
		// Room comes when older grants have left the window.
		verdict.RetryAfter += _shareRetry
	case NoEngine, Full:
		verdict.RetryAfter += _fullRetry
	case Late, Admitted:
		verdict.RetryAfter += max(best.forecast.Wait-terms.allowed(&best.forecast), _leastRetry)
	}
	return verdict
}
