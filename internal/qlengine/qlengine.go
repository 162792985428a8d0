// Package qlengine models the work of one model engine.
//
// It answers the load of long prompts: engines batch requests, read prompts in
// order of arrival and report late, so who places requests has to know what
// an engine still has to read. The model holds the prompt tokens placed and
// not yet read, the requests that run, and which parts of prompts the
// engine's memory holds; it predicts the time to a request's first event, and
// corrects its predictions by what is observed.
//
// # Usage
//
//	engine := qlengine.New(qlengine.Config{Slots: 128, Memory: 460000, TokensPerEvent: 5})
//	forecast := engine.Forecast(now, prompt, engine.Missing(prompt))
//	engine.Place(now, key, prompt)
//	engine.First(now, key)
//	engine.End(now, key, qlengine.Completed)
package qlengine

import (
	"math"
	"time"
)

// Figures that are learned begin at the speed of the engines on the users'
// sheets; the others come from the runs in docs/PLACEMENT.md.
const (
	// _tokenTime is what an engine takes to read a token of a prompt, until its
	// speed is learned.
	_tokenTime = 10 * time.Microsecond
	// _startLatency is the first event's time on an idle engine, until it is
	// learned.
	_startLatency = 50 * time.Millisecond
	// _stepTime is a decoding step of an idle engine, _stepPerRun what each
	// running request adds.
	_stepTime   = 4 * time.Millisecond
	_stepPerRun = 100 * time.Microsecond
	// _startDuration is how long a run takes, until it is learned, and
	// _durationWeight the weight of one run in what is learned.
	_startDuration  = 500 * time.Millisecond
	_durationWeight = 0.05
	// _chunk is how many prompt tokens an engine reads in one step, between the
	// steps of what it generates.
	_chunk = 4096
	// _loadMemory is the span over which an engine's load is averaged.
	_loadMemory = 500 * time.Millisecond
	// _currentFor is how long a computed load and slowness are used.
	_currentFor = 5 * time.Millisecond
	// _overdueSlack is how much later than predicted a first event may come
	// before the engine is taken for slow: events are told late.
	_overdueSlack = 200 * time.Millisecond
	// _correction is the weight of one observation in the learned ratio.
	_correction = 0.08
	// _minRatio and _maxRatio bound observed time against predicted time.
	_minRatio = 0.4
	_maxRatio = 8
	// _ratioMemory is after how long a ratio that is not observed any more is
	// back at 1.
	_ratioMemory = 5 * time.Second
	// _faultMemory is after how long observed failures are forgotten.
	_faultMemory = 3 * time.Second
)

// Segment is a piece of a prompt that several requests may share.
type Segment struct {
	ID     uint64
	Tokens int
}

// Prompt is what a request asks of an engine.
type Prompt struct {
	// Tokens is the length of the whole prompt, parts included.
	Tokens int
	// Output is the most tokens generated.
	MaxOutputTokens int
	// Parts are the prompt's pieces in order; the last is the request's own.
	Segments []Segment
}

// UniqueTokens returns the prompt's tokens that no other request shares.
func (p *Prompt) UniqueTokens() int {
	own := p.Tokens
	for i := range len(p.Segments) - 1 {
		own -= p.Segments[i].Tokens
	}
	return max(own, 0)
}

// Affinity returns the id of the last shared part; ok is false without one.
func (p *Prompt) Affinity() (id uint64, ok bool) {
	if len(p.Segments) < 2 {
		return 0, false
	}
	return p.Segments[len(p.Segments)-2].ID, true
}

// Config configures an Engine.
type Config struct {
	Slots int
	// Memory is in tokens; 0 when unknown.
	KVCacheTokens int
	// TokensPerEvent is how many tokens the first event waits for.
	TokensPerEvent int
}

// Key names a run: the router that sends it and its number there.
type Key struct {
	Router  string
	Request uint64
}

// Outcome says how a run ended.
type Outcome int

// The outcomes.
const (
	// Completed runs ended with their whole answer.
	Completed Outcome = iota + 1
	// Abandoned runs were left by their callers, or not sent.
	Abandoned
	// Failed runs broke off or were not answered.
	Failed
	// Unreachable runs were not sent, since the engine took no connection.
	Unreachable
	// Shed runs were turned away by an engine that is full.
	Shed
)

type run struct {
	placedAt  time.Duration
	predicted time.Duration
	unread    int
	memory    int
	first     bool
	// untimed is set when the first event's time is not known.
	untimed bool
}

// Engine is the model. It is not safe for several goroutines.
type Engine struct {
	config   Config
	runs     map[Key]run
	waiting  int
	unread   int
	reserved int
	// finishAt is when all that was placed will have been read.
	finishAt time.Duration
	// progressAt is when a first event was told last.
	progressAt time.Duration
	// due is when the first of the awaited first events was predicted.
	due      time.Duration
	dueKnown bool
	cache    cache
	// usual is the mean time that runs take.
	usual time.Duration
	// load is the part of its time that the engine reads prompts.
	load     float64
	loadAt   time.Duration
	ratio    float64
	ratioAt  time.Duration
	faults   float64
	faultsAt time.Duration
	// The last answer of current, and when it was computed.
	currentLoad  float64
	currentRatio float64
	currentAt    time.Duration
	currentKnown bool
}

// New returns an idle engine that holds nothing.
func New(config Config) *Engine {
	return &Engine{
		config: config,
		runs:   make(map[Key]run),
		cache:  newCache(config.KVCacheTokens, nil),
		ratio:  1,
		usual:  _startDuration,
	}
}

// Forecast is what placing a request would mean.
type Forecast struct {
	// Wait is the time until the engine begins to read the prompt.
	Wait time.Duration
	// Read is the time that it reads the prompt, and First that to the first
	// event.
	Prefill    time.Duration
	FirstEvent time.Duration
	// Load is the part of its time that the engine reads prompts.
	Load float64
	// Missing is how many tokens of shared parts have to be read again.
	MissingTokens int
	// Fits is false when memory is used up.
	Fits bool
}

// Forecast predicts what placing the prompt now would mean, where the engine
// lacks so many of its shared tokens.
func (e *Engine) Forecast(now time.Duration, prompt *Prompt, missing int) Forecast {
	load, ratio := e.current(now)
	decode := float64(e.decode(load)) * ratio
	wait := max(e.readWait(now, ratio, decode), e.slotWait()) + e.overdue(now)
	read := float64(readTime(prompt.UniqueTokens()+missing)) * ratio
	return Forecast{
		Wait:          wait,
		Prefill:       time.Duration(read),
		FirstEvent:    wait + time.Duration(read+decode),
		Load:          load * ratio,
		MissingTokens: missing,
		Fits:          e.room(prompt, missing),
	}
}

// current returns load and slowness, computed anew every few milliseconds:
// they fade over hundreds.
func (e *Engine) current(now time.Duration) (load, ratio float64) {
	if now-e.currentAt >= _currentFor || !e.currentKnown {
		e.currentLoad, e.currentRatio = e.loadNow(now), e.slowness(now)
		e.currentAt = now
		e.currentKnown = true
	}
	return e.currentLoad, e.currentRatio
}

// readWait is the time until what was placed is read: as it was reckoned at
// placing, but no less than what is known to be unread takes. That is told
// late by the time to a first event.
func (e *Engine) readWait(now time.Duration, ratio, decode float64) time.Duration {
	unread := float64(readTime(e.unread)) * ratio
	told := decode + float64(now-e.progressAt)
	return max(e.finishAt-now, time.Duration(unread-told), 0)
}

// slotWait is the time until a slot is free: slots come free one after the
// other in the usual time that a run takes.
func (e *Engine) slotWait() time.Duration {
	ahead := len(e.runs) - e.config.Slots + 1
	if ahead <= 0 || e.config.Slots <= 0 {
		return 0
	}
	return time.Duration(ahead) * e.usual / time.Duration(e.config.Slots)
}

// PrefillTime returns how long an engine of the usual speed reads the tokens.
func PrefillTime(tokens int) time.Duration {
	return readTime(tokens)
}

func readTime(tokens int) time.Duration {
	return time.Duration(tokens) * _tokenTime
}

// decode is the time from a prompt's end to its first event: each of its
// tokens takes a step, in which others' prompts are read, too.
func (e *Engine) decode(load float64) time.Duration {
	step := _stepTime + time.Duration(len(e.runs))*_stepPerRun
	step += time.Duration(min(load, 1) * float64(readTime(_chunk)))
	return _startLatency + time.Duration(e.config.TokensPerEvent)*step
}

// loadNow is the load as it has faded since the last placing.
func (e *Engine) loadNow(now time.Duration) float64 {
	// Close to an exponential decay, which costs more than all else here.
	x := float64(now-e.loadAt) / float64(_loadMemory)
	return e.load / (1 + x + x*x/2)
}

// addLoad counts tokens that were placed.
func (e *Engine) addLoad(now time.Duration, tokens int) {
	e.currentKnown = false
	e.load = e.loadNow(now) + float64(readTime(tokens))/float64(_loadMemory)
	e.loadAt = now
}

func (e *Engine) room(prompt *Prompt, missing int) bool {
	if e.config.KVCacheTokens == 0 {
		return true
	}
	return e.reserved+prompt.UniqueTokens()+prompt.MaxOutputTokens+missing <= e.config.KVCacheTokens
}

// overdue is how much longer than predicted the oldest first event takes.
func (e *Engine) overdue(now time.Duration) time.Duration {
	if e.waiting == 0 {
		return 0
	}
	if !e.dueKnown {
		e.dueKnown = true
		e.due = math.MaxInt64
		for _, r := range e.runs {
			if !r.first {
				e.due = min(e.due, r.placedAt+r.predicted)
			}
		}
	}
	return max(now-e.due-_overdueSlack, 0)
}

// slowness is the ratio of observed to predicted times, which fades to 1.
func (e *Engine) slowness(now time.Duration) float64 {
	fade := min(float64(now-e.ratioAt)/float64(_ratioMemory), 1)
	return e.ratio + (1-e.ratio)*fade
}

// Place takes a run that was placed now.
func (e *Engine) Place(now time.Duration, key Key, prompt *Prompt) {
	if e.Has(key) {
		return
	}
	forecast := e.Forecast(now, prompt, e.MissingTokens(prompt))
	unread := prompt.UniqueTokens() + forecast.MissingTokens
	e.extend(now, unread)
	e.addLoad(now, unread)
	e.add(key, run{
		placedAt:  now,
		predicted: forecast.FirstEvent,
		unread:    unread,
		memory:    prompt.UniqueTokens() + prompt.MaxOutputTokens,
	})
	e.cache.use(prompt.Segments)
}

// Adopt takes a run that another router placed.
func (e *Engine) Adopt(now time.Duration, key Key, unread, memory int) {
	if e.Has(key) {
		return
	}
	e.extend(now, unread)
	e.add(key, run{
		placedAt:  now,
		predicted: e.finishAt - now + e.decode(e.loadNow(now)),
		unread:    unread,
		memory:    memory,
		first:     unread == 0,
	})
}

// extend adds tokens to what is to be read.
func (e *Engine) extend(now time.Duration, unread int) {
	if e.waiting == 0 {
		e.progressAt = now
	}
	e.finishAt = max(e.finishAt, now) + e.scaled(now, unread)
}

func (e *Engine) scaled(now time.Duration, tokens int) time.Duration {
	return time.Duration(float64(readTime(tokens)) * e.slowness(now))
}

func (e *Engine) add(key Key, r run) {
	e.runs[key] = r
	e.reserved += r.memory
	if !r.first {
		e.waiting++
		e.unread += r.unread
		e.dueKnown = false
	}
}

// FirstEvent takes a run's first event and returns the time from its placing, and
// whether the run was waiting for it.
func (e *Engine) FirstEvent(now time.Duration, key Key) (took time.Duration, ok bool) {
	r, ok := e.runs[key]
	if !ok || r.first {
		return 0, false
	}
	took = now - r.placedAt
	e.observe(now, float64(took)/float64(max(r.predicted, time.Millisecond)))
	e.markRead(now, r.unread)
	r.first = true
	e.runs[key] = r
	return took, true
}

// FirstEventUntimed takes a run's first event whose time is not known: nothing is
// learned from it. It reports whether the run was waiting for it.
func (e *Engine) FirstEventUntimed(now time.Duration, key Key) bool {
	r, ok := e.runs[key]
	if !ok || r.first {
		return false
	}
	progressAt := e.progressAt
	e.markRead(now, r.unread)
	e.progressAt = progressAt
	r.first, r.untimed = true, true
	e.runs[key] = r
	return true
}

// FirstEventDue returns when a run's first event was predicted, if it is awaited.
func (e *Engine) FirstEventDue(key Key) (due time.Duration, ok bool) {
	r, ok := e.runs[key]
	return r.placedAt + r.predicted, ok && !r.first
}

func (e *Engine) observe(now time.Duration, ratio float64) {
	current := e.slowness(now)
	ratio = min(max(ratio*current, _minRatio), _maxRatio)
	e.currentKnown = false
	e.ratio = current + _correction*(ratio-current)
	e.ratioAt = now
}

func (e *Engine) markRead(now time.Duration, unread int) {
	e.dueKnown = false
	e.waiting--
	e.unread -= unread
	e.progressAt = now
	e.finishAt = min(e.finishAt, now+e.scaled(now, e.unread))
}

// End takes a run's end.
func (e *Engine) End(now time.Duration, key Key, outcome Outcome) {
	r, ok := e.runs[key]
	if !ok {
		return
	}
	if !r.first {
		e.markRead(now, r.unread)
	}
	if outcome == Completed && !r.untimed {
		e.usual += time.Duration(_durationWeight * float64(now-r.placedAt-e.usual))
	}
	delete(e.runs, key)
	e.reserved -= r.memory
	e.note(now, outcome)
}

func (e *Engine) note(now time.Duration, outcome Outcome) {
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
	faults := e.FailureRate(now)
	e.faults = faults + _faultWeight*(weight-faults)
	e.faultsAt = now
}

// _faultWeight is the weight of one run's end in the rate of failures.
const _faultWeight = 0.2

// Load returns the part of its time that the engine reads prompts.
func (e *Engine) Load(now time.Duration) float64 {
	load, ratio := e.current(now)
	return load * ratio
}

// Overdue returns how much longer than predicted the first event takes that has
// been awaited longest.
func (e *Engine) Overdue(now time.Duration) time.Duration {
	return e.overdue(now)
}

// FailureRate returns the rate of failed runs, which fades with time.
func (e *Engine) FailureRate(now time.Duration) float64 {
	if e.faults == 0 {
		return 0
	}
	fade := min(float64(now-e.faultsAt)/float64(_faultMemory), 1)
	return e.faults * (1 - fade)
}

// Running returns how many runs the engine has.
func (e *Engine) Running() int {
	return len(e.runs)
}

// Waiting returns how many runs wait for their first event.
func (e *Engine) Waiting() int {
	return e.waiting
}

// PendingTokens returns the tokens placed and not yet read.
func (e *Engine) PendingTokens() int {
	return e.unread
}

// Slowness returns observed times against predicted ones.
func (e *Engine) Slowness(now time.Duration) float64 {
	return e.slowness(now)
}

// Expire ends runs that are older than the age; their ends were lost.
func (e *Engine) Expire(now, age time.Duration) {
	for key, r := range e.runs {
		if now-r.placedAt > age {
			e.End(now, key, Abandoned)
		}
	}
}

// MissingTokens returns how many shared tokens of the prompt the engine lacks.
func (e *Engine) MissingTokens(prompt *Prompt) int {
	return e.cache.missing(prompt.Segments)
}

// Predicted returns the time to a run's first event that was predicted.
func (e *Engine) Predicted(key Key) (predicted time.Duration, ok bool) {
	r, ok := e.runs[key]
	return r.predicted, ok
}

// PlacedAt returns when a run was placed; ok is false when it is not known.
func (e *Engine) PlacedAt(key Key) (at time.Duration, ok bool) {
	r, ok := e.runs[key]
	return r.placedAt, ok
}

// OnSegmentChange sets who is told of each shared part that the engine comes to hold
// or lets go, beginning with those that it holds.
func (e *Engine) OnSegmentChange(changed func(id uint64, held bool)) {
	e.cache.changed = changed
	for id := range e.cache.parts {
		changed(id, true)
	}
}

// Has reports whether the run is known.
func (e *Engine) Has(key Key) bool {
	_, ok := e.runs[key]
	return ok
}
