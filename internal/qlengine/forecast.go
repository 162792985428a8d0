package qlengine

import (
	"math"
	"time"
)

// Forecast is the predicted effect of placing a request.
type Forecast struct {
	// Wait is the time until the engine starts to prefill the prompt.
	Wait time.Duration
	// Prefill is the prefill time of the prompt, and FirstEvent the time from
	// now to the first event.
	Prefill    time.Duration
	FirstEvent time.Duration
	// Load is the share of its time that the engine prefills prompts; above 1
	// when more was placed recently than it can prefill.
	Load float64
	// MissingTokens is the number of shared tokens that the engine has to
	// recompute.
	MissingTokens int
	// Fits is false when the engine's memory has no room for the request.
	Fits bool
}

// MinFirstEvent returns a lower bound of the time to the first event that Forecast
// predicts for a prompt of which the tokens have to be prefilled. It takes a fraction of
// the time.
func (e *Engine) MinFirstEvent(now time.Duration, tokens int) time.Duration {
	_, slowness := e.current(now)
	own := float64(e.speed.PrefillTime(tokens)) + e.minDecodeTime*e.speed.latencyScale
	return max(e.prefillDoneAt-now, 0) + time.Duration(own*slowness)
}

// Forecast predicts the effect of placing the prompt now, where missing is
// the number of its shared tokens that the engine does not cache. It stores the
// result in forecast.
func (e *Engine) Forecast(now time.Duration, prompt *Prompt, missing int, forecast *Forecast) {
	load, slowness := e.current(now)
	decodeTime := float64(e.modelDecodeTime(load)) * e.speed.latencyScale * slowness
	wait := max(e.prefillWait(now, slowness, decodeTime), e.slotWait()) + e.overdue(now)
	prefill := float64(e.speed.PrefillTime(prompt.UniqueTokens()+missing)) * slowness
	forecast.Wait = wait
	forecast.Prefill = time.Duration(prefill)
	forecast.FirstEvent = wait + time.Duration(prefill+decodeTime)
	forecast.Load = load * slowness
	forecast.MissingTokens = missing
	forecast.Fits = e.fits(prompt, missing)
}

// current returns the load and the momentary slowness. They are recomputed only every
// few milliseconds, since they change over hundreds of milliseconds.
func (e *Engine) current(now time.Duration) (load, slowness float64) {
	if now-e.currentAt >= _currentTTL || !e.currentKnown {
		e.currentLoad, e.currentSlowness = e.decayedLoad(now), e.momentarySlowness(now)
		e.currentAt = now
		e.currentKnown = true
	}
	return e.currentLoad, e.currentSlowness
}

// prefillWait returns the time until everything placed is prefilled. This is
// the time predicted at placement, but at least what the tokens known to be
// pending need. Progress is only reported by first events, a decode time
// after the prefill; the decode time and the time since the last report are
// therefore deducted.
func (e *Engine) prefillWait(now time.Duration, slowness, decodeTime float64) time.Duration {
	pending := float64(e.speed.PrefillTime(e.pendingTokens)) * slowness
	unreported := decodeTime + float64(now-e.progressAt)
	return max(e.prefillDoneAt-now, time.Duration(pending-unreported), 0)
}

// slotWait returns the time until a slot becomes free. Slots are taken to
// become free at even intervals, given the mean duration of a request.
func (e *Engine) slotWait() time.Duration {
	ahead := len(e.active) - e.config.Slots + 1
	if ahead <= 0 || e.config.Slots <= 0 {
		return 0
	}
	return time.Duration(ahead) * e.meanDuration / time.Duration(e.config.Slots)
}

// UseSpeed makes the engine use a speed that it shares with others.
func (e *Engine) UseSpeed(speed *Speed) {
	e.speed = speed
	e.currentKnown = false
}

// decodeTime returns the time from the end of a prompt's prefill to its first
// event at the usual speed.
func (e *Engine) decodeTime(load float64) time.Duration {
	return time.Duration(float64(e.modelDecodeTime(load)) * e.speed.LatencyScale())
}

// modelDecodeTime returns the decode time at the initial speed. Each of the event's
// tokens takes a step, in which chunks of other prompts are prefilled, too.
func (e *Engine) modelDecodeTime(load float64) time.Duration {
	step := _stepTime + time.Duration(len(e.active))*_stepTimePerRequest
	step += time.Duration(min(load, 1) * float64(e.speed.PrefillTime(_prefillChunkTokens)))
	return _baseLatency + time.Duration(e.config.TokensPerEvent)*step
}

// decayedLoad returns the load, decayed since the last placement.
func (e *Engine) decayedLoad(now time.Duration) float64 {
	// This approximates exponential decay; math.Exp would cost more than
	// everything else in a forecast.
	x := float64(now-e.loadAt) / float64(_loadDecay)
	return e.load / (1 + x + x*x/2)
}

// addLoad adds placed tokens to the load.
func (e *Engine) addLoad(now time.Duration, tokens int) {
	e.currentKnown = false
	e.load = e.decayedLoad(now) + float64(e.speed.PrefillTime(tokens))/float64(_loadDecay)
	e.loadAt = now
}

func (e *Engine) fits(prompt *Prompt, missing int) bool {
	if e.config.KVCacheTokens == 0 {
		return true
	}
	return e.reservedTokens+prompt.UniqueTokens()+prompt.MaxOutputTokens+missing <= e.config.KVCacheTokens
}

// overdue returns by how much the earliest awaited first event exceeds its
// predicted time and _overdueSlack.
func (e *Engine) overdue(now time.Duration) time.Duration {
	if e.waiting == 0 {
		return 0
	}
	if !e.dueKnown {
		e.dueKnown = true
		e.earliestDue = math.MaxInt64
		for _, r := range e.active {
			if !r.firstReceived {
				e.earliestDue = min(e.earliestDue, r.placedAt+r.predicted)
			}
		}
	}
	return max(now-e.earliestDue-_overdueSlack, 0)
}

// slowness returns the ratio of observed to predicted times, which decays to
// 1.
func (e *Engine) slowness(now time.Duration) float64 {
	fade := min(float64(now-e.slownessAt)/float64(_slownessDecay), 1)
	return e.observedSlowness + (1-e.observedSlowness)*fade
}
