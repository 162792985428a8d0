// Package qlplace decides which engine serves a request, and whether one does.
//
// It answers the heaviest load: more prompts than the engines can read within
// the latency objective. A request goes where its first event is predicted
// soonest, counting the price of reading shared parts again. It is admitted
// when its wait leaves time for the rest within the objective; the reckoned
// time is the predicted one times a margin that follows from what was observed.
// Customers above their fair share may wait less and use only engines that
// have time left. Everything else is refused at once, with the time after which
// there should be room.
//
// # Usage
//
//	placer := qlplace.New(qlplace.Config{Random: random})
//	placer.SetEngines(engines)
//	verdict := placer.Ask(now, request)
//	placer.First(now, key)
//	placer.End(now, key, outcome)
package qlplace

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlengine"
	"github.com/quetzallane/quetzallane/internal/qlring"
	"github.com/quetzallane/quetzallane/internal/qlshare"
)

// Figures without another source come from the runs in docs/PLACEMENT.md.
const (
	// _rereadPrice is how much a token that is read again weighs against one
	// that delays the request.
	_rereadPrice = 4
	// _quantile is the share of first events that are to come within what is
	// reckoned for them.
	_quantile = 0.9
	// _startMargin is the reckoned time against the predicted one, until it is
	// learned; it stays between _minMargin and _maxMargin.
	_startMargin = 1.3
	_minMargin   = 1.0
	_maxMargin   = 2.5
	// _marginStep is the weight of one observation, and _marginMemory the time
	// in which two thirds of an excess over _startMargin are forgotten.
	_marginStep   = 0.02
	_marginMemory = 10 * time.Second
	// _overFactor scales the wait that is allowed to customers above their
	// fair share. It falls by _overPower of their lead over an even division of
	// what was granted, to _leastFactor.
	_overFactor  = 0.6
	_overPower   = 4
	_leastFactor = 0.1
	// _overLoad is up to which load engines are used for them: beyond it the
	// streams that run become too slow for their callers. While the engines'
	// mean is below it, single engines may be above it by as much, and the
	// other way round, down to _leastOverLoad. A lead lowers it by _loadPower.
	_overLoad      = 0.5
	_leastOverLoad = 0.35
	_loadPower     = 2
	// _meanLoadFor is how long a computed mean is used.
	_meanLoadFor = 10 * time.Millisecond
	// _faultPrice is what a rate of failures of 1 weighs against the
	// objective.
	_faultPrice = 3.0
	// _crossPrice is what a zone's border weighs: its transfer is priced, and
	// it adds a round trip.
	_crossPrice = 8 * time.Millisecond
	// _leastRetry is the least time after which callers are told to return;
	// _retrySpread keeps them from returning together.
	_leastRetry  = 20 * time.Millisecond
	_retrySpread = 100 * time.Millisecond
	// _shareRetry and _fullRetry are the times for customers above their share
	// and for engines that are full or not known.
	_shareRetry = 100 * time.Millisecond
	_fullRetry  = 200 * time.Millisecond
	// _goalMemory is over how many requests the strictest objective is
	// forgotten.
	_goalMemory = 1000
	// _usualWeight is the weight of one prompt in the mean time of reading.
	_usualWeight = 0.01
	// _runAge is when a run whose end was never told is forgotten.
	_runAge = 30 * time.Second
	// _lateWordFor is how long a router's word that it is late holds, unless it
	// repeats it: its packets may be lost.
	_lateWordFor = time.Second
	// _shareSpan is the window of fair shares, as the users' sheets state it.
	_shareSpan = 4 * time.Second
	// _outputWeight is the cost of a generated token against a read one, as the
	// users' pages reckon the stated throughput.
	_outputWeight = 2
)

// EngineInfo is one engine as the list of upstreams has it.
type EngineInfo struct {
	ID      string
	Service string
	Zone    string
	// Born tells starts of one engine apart.
	StartMillis int64
	Config      qlengine.Config
}

// Request asks for an engine.
type Request struct {
	Key      qlengine.Key
	Service  string
	Customer string
	// Zone is that of the router that will send the request.
	Zone   string
	Prompt qlengine.Prompt
	// Group is the group of the service's engines that is asked.
	Group int
	// Goal is the route's objective for the first event.
	LatencyObjective time.Duration
	// Excluded engines were tried already.
	Excluded []string
	// Again is set when the request was admitted before and its engine
	// failed: it is placed if at all possible.
	AlreadyAdmitted bool
}

// Reason says why a request was refused.
type Reason int

// The reasons.
const (
	Admitted Reason = iota
	// NoEngine: no engine of the service is known.
	NoEngine
	// Late: the first event would come too late.
	Late
	// OverShare: it would come too late for one above its fair share.
	OverShare
	// Full: no engine has memory for the request.
	Full
)

// String returns the reason's name for logs.
func (r Reason) String() string {
	switch r {
	case Admitted:
		return "admitted"
	case NoEngine:
		return "no-engine"
	case Late:
		return "late"
	case OverShare:
		return "over-share"
	case Full:
		return "full"
	}
	return "invalid"
}

// Decision is the decision.
type Decision struct {
	// Engine is empty when the request is refused.
	Engine string
	Reason Reason
	// Predicted is the time to the first event at the best engine.
	Predicted time.Duration
	// RetryAfter is when a refused request may find room.
	RetryAfter time.Duration
	// Missing is how many shared tokens will be read again.
	MissingTokens int
	// Decider is the router that decided.
	Decider string
}

type engine struct {
	info  EngineInfo
	pool  *pool
	hash  qlring.Node
	model *qlengine.Engine
}

type pool struct {
	service string
	group   int
	engines []*engine
	holders *holders
	margin  float64
	// goal is the strictest objective that was asked for lately.
	goal time.Duration
	// usualRead is the mean time that prompts take to be read.
	usualRead time.Duration
	marginAt  time.Duration
	// meanLoad is the engines' mean load, computed at meanLoadAt.
	meanLoad   float64
	meanLoadAt time.Duration
	late       uint64
	inTime     uint64
	// refused counts refusals by reason.
	refused [Full + 1]uint64
	// reread counts the tokens of shared parts that placed requests lacked.
	reread uint64
}

type placed struct {
	engine *engine
	goal   time.Duration
}

// Config configures a Placer.
type Config struct {
	Random *rand.Rand
	Policy Policy
}

// Placer decides for the engines it knows. It is not safe for several
// goroutines.
type Placer struct {
	config Config
	// pools holds each service's groups of engines.
	pools   map[string][]*pool
	engines map[string]*engine
	runs    map[qlengine.Key]placed
	// routers counts first events by the router that told of them.
	routers map[string]*RouterState
	// lateUntil tells until when routers are taken for late, and allLateUntil
	// until when all are, since this one is.
	lateUntil    map[string]time.Duration
	allLateUntil time.Duration
	// shares are the fair shares of each group.
	shares   []*qlshare.Window
	capacity float64
	// others scales the load that is known up to what all routers place,
	// while this one hears only of its own.
	others float64
	// missing is used within one decision.
	missing []int
}

// New returns a placer without engines.
func New(config Config) *Placer {
	return &Placer{
		config:    config,
		pools:     make(map[string][]*pool),
		engines:   make(map[string]*engine),
		runs:      make(map[qlengine.Key]placed),
		routers:   make(map[string]*RouterState),
		lateUntil: make(map[string]time.Duration),
		shares:    []*qlshare.Window{newWindow()},
		others:    1,
	}
}

func newWindow() *qlshare.Window {
	return qlshare.New(qlshare.Config{
		Span: _shareSpan,
	})
}

// SetCapacity sets what all engines produce together, in tokens a second.
func (p *Placer) SetCapacity(tokens float64) {
	p.capacity = tokens
	p.divideCapacity()
}

// divideCapacity gives each group its part: groups are about equal.
func (p *Placer) divideCapacity() {
	for _, shares := range p.shares {
		shares.SetCapacity(p.capacity / float64(len(p.shares)))
	}
}

// SetLoadScale says by how much the load is larger than what is told here.
func (p *Placer) SetLoadScale(factor float64) {
	p.others = max(factor, 1)
}

// SetEngines takes the engines that may get new requests. What is known of
// the others' runs is dropped.
func (p *Placer) SetEngines(infos []EngineInfo) {
	p.regroup(infos)
	known := make(map[string]*engine, len(infos))
	for _, info := range infos {
		e := p.engines[info.ID]
		if e == nil || e.info.StartMillis != info.StartMillis || e.info.Config != info.Config {
			e = &engine{
				hash:  qlring.NewNode(info.ID, info.Zone),
				model: qlengine.New(info.Config),
			}
		}
		e.info = info
		known[info.ID] = e
		groups := p.pools[info.Service]
		e.pool = groups[groupOf(info.ID, len(groups))]
		e.pool.engines = append(e.pool.engines, e)
	}
	p.engines = known
	for _, groups := range p.pools {
		for _, pool := range groups {
			pool.index()
		}
	}
}

// regroup empties the pools and makes as many as the engines need.
func (p *Placer) regroup(infos []EngineInfo) {
	counts := make(map[string]int)
	for service := range p.pools {
		counts[service] = 0
	}
	for _, info := range infos {
		counts[info.Service]++
	}
	most := 1
	for service, count := range counts {
		groups := p.pools[service]
		number := groupsFor(count, len(groups))
		most = max(most, number)
		for len(groups) < number {
			groups = append(groups, newPool(service, len(groups)))
		}
		p.pools[service] = groups[:number]
		for _, pool := range groups {
			pool.engines = pool.engines[:0]
		}
	}
	for len(p.shares) < most {
		p.shares = append(p.shares, newWindow())
	}
	p.shares = p.shares[:most]
	p.divideCapacity()
}

// index notes anew which engines hold which parts.
func (p *pool) index() {
	index := newHolders(len(p.engines))
	p.holders = index
	for i, e := range p.engines {
		e.model.OnSegmentChange(func(part uint64, held bool) { index.set(part, i, held) })
	}
}

func newPool(service string, group int) *pool {
	return &pool{
		service: service,
		group:   group,
		holders: newHolders(0),
		margin:  _startMargin,
	}
}

// pool returns the group that a request asks.
func (p *Placer) pool(request *Request) *pool {
	groups := p.pools[request.Service]
	if len(groups) == 0 {
		groups = []*pool{newPool(request.Service, 0)}
		p.pools[request.Service] = groups
	}
	return groups[request.Group%len(groups)]
}

// Decide decides on a request and, if it is admitted, counts it as placed.
func (p *Placer) Decide(now time.Duration, request *Request) Decision {
	cost := costOf(&request.Prompt)
	pool := p.pool(request)
	shares := p.shares[pool.group]
	shares.AddDemand(now, request.Customer, cost)
	pool.noteGoal(request.LatencyObjective)
	pool.refreshLoad(now)
	if p.config.Policy != Predict {
		return p.askBaseline(now, pool, request)
	}
	terms := p.terms(now, pool, request)
	best := p.best(now, pool, request, &terms)
	if best.engine == nil {
		return p.refuse(pool, NoEngine, &best, &terms)
	}
	pool.usualRead += time.Duration(_usualWeight * float64(best.forecast.Prefill-pool.usualRead))
	if !best.admissible && !request.AlreadyAdmitted {
		reason := terms.reason
		if !best.forecast.Fits {
			reason = Full
		}
		return p.refuse(pool, reason, &best, &terms)
	}
	shares.AddGrant(now, request.Customer, cost)
	pool.reread += uint64(best.forecast.MissingTokens)
	p.RecordPlacement(now, request, best.engine.info.ID)
	return Decision{
		Engine:        best.engine.info.ID,
		Predicted:     best.forecast.FirstEvent,
		MissingTokens: best.forecast.MissingTokens,
	}
}

func costOf(prompt *qlengine.Prompt) float64 {
	return float64(prompt.Tokens + _outputWeight*prompt.MaxOutputTokens)
}

// RecordPlacement counts a request that another router placed on the engine.
func (p *Placer) RecordPlacement(now time.Duration, request *Request, id string) {
	e := p.engines[id]
	if e == nil {
		return
	}
	e.model.Place(now, request.Key, &request.Prompt)
	p.runs[request.Key] = placed{
		engine: e,
		goal:   request.LatencyObjective,
	}
}

// Adopt takes a run that another router placed on an engine.
func (p *Placer) Adopt(now time.Duration, key qlengine.Key, id string, unread, memory int, goal time.Duration) {
	e := p.engines[id]
	if e == nil {
		return
	}
	if _, known := p.runs[key]; known {
		return
	}
	e.model.Adopt(now, key, unread, memory)
	p.runs[key] = placed{
		engine: e,
		goal:   goal,
	}
}

// FirstEvent takes a run's first event.
func (p *Placer) FirstEvent(now time.Duration, key qlengine.Key) {
	run, ok := p.runs[key]
	if !ok {
		return
	}
	if p.isLate(now, key.Router) {
		p.firstUntimed(now, key, run)
		return
	}
	predicted, _ := run.engine.model.Predicted(key)
	took, ok := run.engine.model.FirstEvent(now, key)
	if !ok || run.goal == 0 {
		return
	}
	pool := run.engine.pool
	pool.observe(now, float64(took)/float64(max(predicted, time.Millisecond)))
	router := p.router(key.Router)
	if took > run.goal {
		pool.late++
		router.Late++
		return
	}
	pool.inTime++
	router.InTime++
}

// observe follows the quantile of observed against predicted times.
func (p *pool) observe(now time.Duration, ratio float64) {
	faded := math.Exp(-float64(now-p.marginAt) / float64(_marginMemory))
	if p.margin > _startMargin {
		p.margin = _startMargin + (p.margin-_startMargin)*faded
	}
	p.marginAt = now
	if ratio > p.margin {
		p.margin += _marginStep * _quantile
	} else {
		p.margin -= _marginStep * (1 - _quantile)
	}
	p.margin = min(max(p.margin, _minMargin), _maxMargin)
}

// End takes a run's end.
func (p *Placer) End(now time.Duration, key qlengine.Key, outcome qlengine.Outcome) {
	run, ok := p.runs[key]
	if !ok {
		return
	}
	delete(p.runs, key)
	run.engine.model.End(now, key, outcome)
}

// DropRouter forgets the runs of a router that is gone.
func (p *Placer) DropRouter(now time.Duration, router string) {
	delete(p.routers, router)
	for key, run := range p.runs {
		if key.Router == router {
			delete(p.runs, key)
			run.engine.model.End(now, key, qlengine.Abandoned)
		}
	}
}

// Retain forgets a router's runs that are not among those that go on, but for
// the youngest, of which the router may not have known yet.
func (p *Placer) Retain(now time.Duration, router string, requests map[uint64]bool, slack time.Duration) {
	for key, run := range p.runs {
		if key.Router != router || requests[key.Request] {
			continue
		}
		if at, ok := run.engine.model.PlacedAt(key); ok && now-at < slack {
			continue
		}
		delete(p.runs, key)
		run.engine.model.End(now, key, qlengine.Abandoned)
	}
}

// Tick forgets runs whose ends were lost.
func (p *Placer) Tick(now time.Duration) {
	for _, e := range p.engines {
		e.model.Expire(now, _runAge)
	}
	for key, run := range p.runs {
		if !run.engine.model.Has(key) {
			delete(p.runs, key)
		}
	}
}

// Has reports whether the engine is known and may get requests.
func (p *Placer) Has(id string) bool {
	return p.engines[id] != nil
}
