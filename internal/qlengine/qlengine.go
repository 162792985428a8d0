// Package qlengine models the load of one LLM engine to predict the time to a
// request's first event.
//
// It handles the load of long prompts. Engines batch requests and prefill
// prompts in order of arrival, and their reports arrive late. A router that
// places requests therefore has to estimate what an engine still has to
// prefill. The model tracks the prompt tokens placed but not yet prefilled,
// the active requests, and the prompt segments cached in the engine's memory.
// Predictions are corrected by observed times.
//
// # Usage
//
//	engine := qlengine.New(qlengine.Config{Slots: 128, KVCacheTokens: 460000, TokensPerEvent: 5})
//	forecast := engine.Forecast(now, prompt, engine.MissingTokens(prompt))
//	engine.Place(now, key, prompt)
//	engine.FirstEvent(now, key)
//	engine.End(now, key, qlengine.Completed)
package qlengine

import (
	"time"

	"github.com/quetzallane/quetzallane/internal/qlslowness"
)

// Values that are learned start from the engine speed that the requirements
// state. See docs/PLACEMENT.md for the background of the others.
const (
	// _tokenPrefillTime is the prefill time of a prompt token at the usual
	// speed. The observed speed enters through the slowness.
	_tokenPrefillTime = 10 * time.Microsecond
	// _baseLatency is the constant part of the time to the first event at the
	// usual speed.
	_baseLatency = 50 * time.Millisecond
	// _stepTime is the time of a decoding step on an idle engine,
	// _stepTimePerRequest what each active request adds to it.
	_stepTime           = 4 * time.Millisecond
	_stepTimePerRequest = 100 * time.Microsecond
	// _initialDuration is the mean duration of a request before any is
	// observed, and _durationWeight the weight of one request in the learned
	// mean.
	_initialDuration = 500 * time.Millisecond
	_durationWeight  = 0.05
	// _prefillChunkTokens is the number of prompt tokens that an engine
	// prefills in one step, between decoding steps.
	_prefillChunkTokens = 4096
	// _loadDecay is the time constant over which an engine's load is
	// averaged.
	_loadDecay = 500 * time.Millisecond
	// _currentTTL is how long a computed load and slowness are reused.
	_currentTTL = 5 * time.Millisecond
	// _overdueSlack is how much later than predicted a first event may arrive
	// before it counts as overdue, since events are reported with delay.
	_overdueSlack = 200 * time.Millisecond
	// _slownessWeight is the weight of one observation in the learned
	// slowness.
	_slownessWeight = 0.08
	// MinSlowness and _maxSlowness bound the slowness: observed divided by
	// predicted time.
	MinSlowness  = 0.4
	_maxSlowness = 8
	// _slownessDecay is the time after which the slowness is back at 1 when
	// no new observation is made.
	_slownessDecay = 5 * time.Second
	// _failureDecay is the time after which the failure rate is back at 0
	// when no new request ends.
	_failureDecay = 3 * time.Second
)

// Outcome is how an active request ended.
type Outcome int

// The outcomes.
const (
	// Completed: the whole answer was received.
	Completed Outcome = iota + 1
	// Abandoned: the caller left, or the request was not sent.
	Abandoned
	// Failed: the answer broke off or never came.
	Failed
	// Unreachable: the request was not sent, since the engine did not accept
	// a connection.
	Unreachable
	// Shed: the engine refused the request because it was full.
	Shed
)

type activeRequest struct {
	placedAt       time.Duration
	predicted      time.Duration
	pendingTokens  int
	reservedTokens int
	// uncachedTokens are the reserved tokens that the cache doesn't list, and
	// cachedTokens the prompt's tokens that it listed at placement.
	uncachedTokens int
	cachedTokens   int
	firstReceived  bool
	// alone is set if the request was placed while the engine had no other prompt
	// to prefill, and modelDecode is the decode time that the model then predicted.
	alone       bool
	modelDecode time.Duration
	// untimed is set when the time of the first event is not known.
	untimed bool
	// paceAtPlacement is the PaceFactor included in predicted, and paceDuring an estimate
	// of the mean until the first event.
	paceAtPlacement float64
	paceDuring      float64
}

// Engine is the model of one engine. It is not safe for concurrent use.
type Engine struct {
	config Config
	speed  *Speed
	// minDecodeTime is the decode time of the idle engine at the initial speed, in
	// nanoseconds.
	minDecodeTime  float64
	active         map[Key]activeRequest
	waiting        int
	pendingTokens  int
	reservedTokens int
	uncachedTokens int
	// prefillDoneAt is the predicted time at which everything placed will be
	// prefilled.
	prefillDoneAt time.Duration
	// progressAt is when prefill last made known progress: a first event was
	// reported, a request ended before its first event, or the engine began
	// work after being idle.
	progressAt time.Duration
	// lastFirstEventAt is when a first event was reported last.
	lastFirstEventAt time.Duration
	// earliestDue is the earliest predicted time of the first events still
	// awaited; valid while dueKnown is set.
	earliestDue time.Duration
	dueKnown    bool
	cache       cache
	// meanDuration is the mean time from placement to end of completed
	// requests.
	meanDuration time.Duration
	// load is the share of its time that an engine of the usual speed would
	// prefill the prompts placed on this one, as of loadAt.
	load             float64
	loadAt           time.Duration
	observedSlowness float64
	slownessAt       time.Duration
	paces            qlslowness.Reports
	failureRate      float64
	failureRateAt    time.Duration
	// lost is the learned fraction of the tokens taken to be cached that the engine
	// lacked, as of lostAt. It may be negative, see observeLost.
	lost   float64
	lostAt time.Duration
	// The last result of current, and when it was computed.
	currentLoad     float64
	currentSlowness float64
	currentAt       time.Duration
	currentKnown    bool
}

// New returns the model of an idle engine with an empty cache.
func New(config Config) *Engine {
	return &Engine{
		config:           config,
		speed:            NewSpeed(),
		minDecodeTime:    float64(_baseLatency + time.Duration(config.TokensPerEvent)*_stepTime),
		active:           make(map[Key]activeRequest),
		cache:            newCache(config.KVCacheTokens, nil),
		observedSlowness: 1,
		meanDuration:     _initialDuration,
	}
}

// Place records a request that is placed now. It does nothing if the request
// is known.
func (e *Engine) Place(now time.Duration, key Key, prompt *Prompt) {
	if e.Has(key) {
		return
	}
	var forecast Forecast
	e.Forecast(now, prompt, e.MissingTokens(prompt), &forecast)
	tokens := prompt.UniqueTokens() + forecast.MissingTokens
	alone := e.waiting == 0
	load, _ := e.current(now)
	modelDecode := e.modelDecodeTime(load)
	e.addPrefill(now, tokens)
	e.addLoad(now, tokens)
	e.add(key, activeRequest{
		placedAt:       now,
		predicted:      forecast.FirstEvent,
		pendingTokens:  tokens,
		reservedTokens: prompt.UniqueTokens() + prompt.MaxOutputTokens,
		uncachedTokens: prompt.MaxOutputTokens,
		cachedTokens:   prompt.Tokens - tokens,
		alone:          alone,
		modelDecode:    modelDecode,

		paceAtPlacement: e.paces.Factor(now),
		paceDuring:      e.paces.Factor(now),
	})
	e.cache.use(now, prompt.Segments)
}

// Adopt records an active request that another router placed, with its tokens
// not yet prefilled and the tokens it reserves in memory. With no pending
// tokens, its first event counts as received.
func (e *Engine) Adopt(now time.Duration, key Key, pendingTokens, reservedTokens int) {
	if e.Has(key) {
		return
	}
	e.addPrefill(now, pendingTokens)
	e.add(key, activeRequest{
		placedAt:       now,
		predicted:      e.prefillDoneAt - now + e.decodeTime(e.decayedLoad(now)),
		pendingTokens:  pendingTokens,
		reservedTokens: reservedTokens,
		uncachedTokens: reservedTokens,
		firstReceived:  pendingTokens == 0,

		paceAtPlacement: e.paces.Factor(now),
		paceDuring:      e.paces.Factor(now),
	})
}

// addPrefill adds tokens to those still to be prefilled.
func (e *Engine) addPrefill(now time.Duration, tokens int) {
	if e.waiting == 0 {
		e.progressAt = now
	}
	e.prefillDoneAt = max(e.prefillDoneAt, now) + e.scaledPrefillTime(now, tokens)
}

func (e *Engine) scaledPrefillTime(now time.Duration, tokens int) time.Duration {
	return time.Duration(float64(e.speed.PrefillTime(tokens)) * e.momentarySlowness(now))
}

func (e *Engine) add(key Key, r activeRequest) {
	e.active[key] = r
	e.reservedTokens += r.reservedTokens
	e.uncachedTokens += r.uncachedTokens
	if !r.firstReceived {
		e.waiting++
		e.pendingTokens += r.pendingTokens
		e.dueKnown = false
	}
}

// FirstEvent records that a request's first event arrived, and learns from
// its time. It returns the time since placement; ok is false if the request
// is not known or its first event was recorded before.
func (e *Engine) FirstEvent(now time.Duration, key Key) (took time.Duration, ok bool) {
	r, ok := e.active[key]
	if !ok || r.firstReceived {
		return 0, false
	}
	took = now - r.placedAt
	e.lastFirstEventAt = now
	e.observe(now, r.paceAtPlacement*float64(r.withoutPace(took))/float64(max(r.predicted, time.Millisecond)))
	e.markPrefilled(now, r.pendingTokens)
	r.firstReceived = true
	e.active[key] = r
	return took, true
}

// LearnSpeed adds a request whose first event takes place now to the observations of
// the speed, if the engine had nothing else to prefill when it was placed, or went on
// to it from another prompt. It has to be called before FirstEvent, and only if all
// placements on the engine are known.
func (e *Engine) LearnSpeed(now time.Duration, key Key) {
	r, ok := e.active[key]
	switch {
	case !ok || r.firstReceived:
	case r.alone:
		e.observeLost(now, &r)
		e.speed.Observe(now, r.pendingTokens, r.modelDecode, r.withoutPace(now-r.placedAt))
	case r.placedAt < e.lastFirstEventAt:
		e.speed.ObserveBusy(now, r.pendingTokens, r.withoutPace(now-e.lastFirstEventAt))
	}
}

// FirstEventUntimed records a first event whose time is not known; nothing is
// learned from it. It reports whether the first event was still awaited.
func (e *Engine) FirstEventUntimed(now time.Duration, key Key) bool {
	r, ok := e.active[key]
	if !ok || r.firstReceived {
		return false
	}
	progressAt := e.progressAt
	e.markPrefilled(now, r.pendingTokens)
	e.progressAt = progressAt
	// The time between the known first events around this one includes its prefill.
	e.lastFirstEventAt = 0
	r.firstReceived, r.untimed = true, true
	e.active[key] = r
	return true
}

// FirstEventDue returns the predicted time of a request's first event; ok is
// false if none is awaited.
func (e *Engine) FirstEventDue(key Key) (due time.Duration, ok bool) {
	r, ok := e.active[key]
	return r.placedAt + r.predicted, ok && !r.firstReceived
}

// observe moves the slowness towards the observed one. The ratio is that of
// observed to predicted time, where the prediction included the slowness. Both
// are without the reported pace.
func (e *Engine) observe(now time.Duration, ratio float64) {
	current := e.slowness(now)
	ratio = min(max(ratio*current, MinSlowness), _maxSlowness)
	e.currentKnown = false
	e.observedSlowness = current + _slownessWeight*(ratio-current)
	e.slownessAt = now
}

func (e *Engine) markPrefilled(now time.Duration, tokens int) {
	e.dueKnown = false
	e.waiting--
	e.pendingTokens -= tokens
	e.progressAt = now
	e.prefillDoneAt = min(e.prefillDoneAt, now+e.scaledPrefillTime(now, e.pendingTokens))
}

// End records that a request ended. Unknown requests are ignored.
func (e *Engine) End(now time.Duration, key Key, outcome Outcome) {
	r, ok := e.active[key]
	if !ok {
		return
	}
	if !r.firstReceived {
		e.markPrefilled(now, r.pendingTokens)
	}
	if outcome == Completed && !r.untimed {
		e.meanDuration += time.Duration(_durationWeight * float64(now-r.placedAt-e.meanDuration))
	}
	delete(e.active, key)
	e.reservedTokens -= r.reservedTokens
	e.uncachedTokens -= r.uncachedTokens
	e.recordOutcome(now, outcome)
}

func (e *Engine) recordOutcome(now time.Duration, outcome Outcome) {
	weight := 0.0
	switch outcome {
	case Abandoned:
		return
	case Failed, Shed:
		weight = 1
	case Unreachable:
		weight = 3
	case Completed:
	}
	rate := e.FailureRate(now)
	e.failureRate = rate + _failureWeight*(weight-rate)
	e.failureRateAt = now
}

// _failureWeight is the weight of one request's end in the failure rate.
const _failureWeight = 0.2

// Load returns the share of its time that the engine prefills prompts.
func (e *Engine) Load(now time.Duration) float64 {
	load, slowness := e.current(now)
	return load * slowness
}

// Overdue returns by how much the first event that is overdue longest exceeds
// its predicted time, beyond a tolerance for delayed reports.
func (e *Engine) Overdue(now time.Duration) time.Duration {
	return e.overdue(now)
}

// FailureRate returns the rate of failed requests, which decays with time.
// Requests without a connection weigh more than others, so it can exceed 1.
func (e *Engine) FailureRate(now time.Duration) float64 {
	if e.failureRate == 0 {
		return 0
	}
	fade := min(float64(now-e.failureRateAt)/float64(_failureDecay), 1)
	return e.failureRate * (1 - fade)
}

// ActiveRequests returns the number of active requests.
func (e *Engine) ActiveRequests() int {
	return len(e.active)
}

// Waiting returns the number of active requests that await their first event.
func (e *Engine) Waiting() int {
	return e.waiting
}

// PendingTokens returns the number of prompt tokens placed and not yet
// prefilled.
func (e *Engine) PendingTokens() int {
	return e.pendingTokens
}

// Slowness returns the ratio of observed to predicted times, which decays to
// 1.
func (e *Engine) Slowness(now time.Duration) float64 {
	return e.slowness(now)
}

// Expire removes requests that are older than age; their ends were lost.
func (e *Engine) Expire(now, age time.Duration) {
	for key, r := range e.active {
		if now-r.placedAt > age {
			e.End(now, key, Abandoned)
		}
	}
}

// MissingTokens returns the number of the prompt's shared tokens that the
// engine does not cache.
func (e *Engine) MissingTokens(prompt *Prompt) int {
	return e.cache.missingTokens(prompt.Segments)
}

// Predicted returns the time to a request's first event as predicted at
// placement; ok is false when the request is not known.
func (e *Engine) Predicted(key Key) (predicted time.Duration, ok bool) {
	r, ok := e.active[key]
	return r.predicted, ok
}

// HasBegun reports whether the first event of a request has come.
func (e *Engine) HasBegun(key Key) bool {
	return e.active[key].firstReceived
}

// PlacedAt returns when a request was placed; ok is false when it is not
// known.
func (e *Engine) PlacedAt(key Key) (at time.Duration, ok bool) {
	r, ok := e.active[key]
	return r.placedAt, ok
}

// OnSegmentChange sets the function that is called for each shared segment
// that is used, with held set, and for each segment that is evicted. It is
// first called for each segment already cached.
func (e *Engine) OnSegmentChange(onChange func(id uint64, held bool)) {
	e.cache.onChange = onChange
	for id := range e.cache.segments {
		onChange(id, true)
	}
}

// Has reports whether the request is known.
func (e *Engine) Has(key Key) bool {
	_, ok := e.active[key]
	return ok
}
