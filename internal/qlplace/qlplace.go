// Package qlplace decides which engine serves a request, or refuses it.
//
// It handles overload by prompts, when more prompt tokens arrive than the
// engines can prefill within the latency objective. A request goes to the
// engine where its first event is predicted earliest; recomputing shared
// prefix segments that an engine doesn't cache counts as a penalty. The
// request is admitted when its predicted wait leaves enough of the objective
// for prefill and decoding. Because predictions can be too low, the objective
// is divided by a latency correction factor, which is learned from observed
// and predicted times. Customers above their fair share are allowed a shorter
// wait and only engines below a load limit. All other requests are refused at
// once, with the time after which a retry is likely to be admitted.
//
// # Usage
//
//	placer := qlplace.New(qlplace.Config{Random: random})
//	placer.SetEngines(engines)
//	decision := placer.Decide(now, request)
//	placer.FirstEvent(now, key)
//	placer.End(now, key, outcome)
package qlplace

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlengine"
	"github.com/quetzallane/quetzallane/internal/qlring"
	"github.com/quetzallane/quetzallane/internal/qlshare"
	"github.com/quetzallane/quetzallane/internal/qlwarmup"
)

// See docs/PLACEMENT.md for the background of these values.
const (
	// _recomputeWeight is the weight of a recomputed prefix token relative to
	// a token that delays the request itself: under load, recomputation takes
	// prefill time from other requests.
	_recomputeWeight = 4
	// _correctionQuantile is the share of first events that should arrive
	// within their corrected estimate.
	_correctionQuantile = 0.9
	// _initialCorrection is the latency correction factor (corrected divided
	// by predicted time) before any observation. The factor stays between
	// _minCorrection and _maxCorrection.
	_initialCorrection = 1.3
	_minCorrection     = 1.0
	_maxCorrection     = 2.5
	// _correctionStep is the weight of one observation. _correctionDecay is
	// the time constant with which a factor above _initialCorrection returns
	// to it: about two thirds of the difference are gone after this time.
	_correctionStep  = 0.02
	_correctionDecay = 10 * time.Second
	// _overShareWaitFactor scales the allowed wait of customers above their
	// fair share. It is divided by the customer's excess (see
	// qlshare.Window.Excess) to the power of _overShareWaitExponent, down to
	// _minOverShareWaitFactor, and up to 1 for those that were granted less
	// than others.
	_overShareWaitFactor    = 0.6
	_overShareWaitExponent  = 4
	_minOverShareWaitFactor = 0.1
	// _overShareLoad is the load up to which engines are used for customers
	// above their fair share: beyond it, the streams already active become
	// too slow for their callers. The limit for a single engine is higher by
	// as much as the engines' mean load is below _overShareLoad, up to
	// _maxOverShareLoad, and lower by as much as the mean is above it, down to
	// _minOverShareLoad. It
	// is then divided by the customer's excess to the power of
	// _overShareLoadExponent, up to _maxOverShareLoad for those that were
	// granted less than others.
	_overShareLoad         = 0.66
	_minOverShareLoad      = 0.46
	_maxOverShareLoad      = 1.3
	_overShareLoadExponent = 2
	// _meanLoadTTL is how long a computed mean load is reused.
	_meanLoadTTL = 10 * time.Millisecond
	// _failurePenalty is the penalty for an engine with a failure rate of 1,
	// as a multiple of the request's latency objective.
	_failurePenalty = 3.0
	// _crossZonePenalty is the penalty for an engine in another availability
	// zone: cross-zone transfer is billed, and it adds a round trip.
	_crossZonePenalty = 8 * time.Millisecond
	// _minRetryAfter is the shortest time after which refused callers are
	// asked to retry. _retryJitter spreads the retries so that they don't
	// arrive together.
	_minRetryAfter = 20 * time.Millisecond
	_retryJitter   = 100 * time.Millisecond
	// _overShareRetryAfter is the time before a retry for customers above
	// their fair share, _fullRetryAfter the one when the engines are full or
	// none is known.
	_overShareRetryAfter = 100 * time.Millisecond
	_fullRetryAfter      = 200 * time.Millisecond
	// _objectiveDecayRequests is the decay constant, in requests, of the
	// tracked strictest objective: after this many less strict requests, about
	// two thirds of the difference to their objective are gone.
	_objectiveDecayRequests = 1000
	// _meanPrefillWeight is the weight of one prompt in the mean prefill
	// time.
	_meanPrefillWeight = 0.01
	// _activeRequestTTL is the age at which an active request whose end was
	// never reported is removed.
	_activeRequestTTL = 30 * time.Second
	// _lagReportTTL is how long a router counts as lagging after its last lag
	// report. A lagging router repeats the report, since single packets may
	// be lost.
	_lagReportTTL = time.Second
	// _shareWindow is the window over which fair shares are computed, as the
	// requirements define it.
	_shareWindow = 4 * time.Second
	// _outputTokenCost is the cost of a generated token relative to a prompt
	// token, as the requirements define it for the stated throughput.
	_outputTokenCost = 2
)

type engine struct {
	info  EngineInfo
	pool  *pool
	hash  qlring.Node
	model *qlengine.Engine
	// pace spaces requests while the engine is cold, coldOffset this router's turns.
	pace       qlwarmup.Pace
	coldOffset float64
}

type pool struct {
	service           string
	group             int
	engines           []*engine
	cacheIndex        *cacheIndex
	speed             *qlengine.Speed
	latencyCorrection float64
	// strictestObjective follows the lowest latency objective of recent
	// requests.
	strictestObjective time.Duration
	// meanPrefill is the mean prefill time of recent prompts.
	meanPrefill time.Duration
	correctedAt time.Duration
	// meanLoad is the engines' mean load, computed at meanLoadAt.
	meanLoad   float64
	meanLoadAt time.Duration
	late       uint64
	inTime     uint64
	// refused counts refusals by reason.
	refused [Full + 1]uint64
	// recomputedTokens counts the shared prompt tokens that the chosen
	// engines did not have cached.
	recomputedTokens uint64
	// term is this router's time as the group's owner. coldGranted and coldBlocked count
	// requests to cold engines, and how often one was left out of a decision.
	term        qlwarmup.Term
	coldGranted uint64
	coldBlocked uint64
	// prefixes is the demand for shared segments, see Config.WeighPrefixes.
	prefixes prefixDemand
}

type activeRequest struct {
	engine    *engine
	objective time.Duration
	// fullyKnown is set if this router decided on the request and knew the load
	// that all routers place.
	fullyKnown bool
	// customer and cost are what this router granted; cost is 0 if another router did.
	customer string
	cost     float64
}

// Config configures a Placer.
type Config struct {
	Random *rand.Rand
	Policy Policy
	// WeighPrefixes prices tokens that are read again by qlprefix instead of by
	// _recomputeWeight.
	WeighPrefixes bool
}

// Placer decides on requests for the engines that it knows. It is not safe
// for concurrent use.
type Placer struct {
	config Config
	// pools holds the engine groups of each service.
	pools   map[string][]*pool
	engines map[string]*engine
	active  map[qlengine.Key]activeRequest
	// routers counts first events by the router that reported them.
	routers map[string]*RouterState
	// laggingUntil is the time until which each router counts as lagging;
	// allLaggingUntil is that of all routers, set when this router lags
	// itself.
	laggingUntil    map[string]time.Duration
	allLaggingUntil time.Duration
	// shares holds one window of fair shares for each group.
	shares   []*qlshare.Window
	capacity float64
	// loadScale scales predicted waits from the known load to that of all
	// routers, while this router receives only its own placements.
	loadScale float64
	// missingTokens holds the missing shared tokens by engine. It is reused
	// between decisions to avoid allocations.
	missingTokens []int
	// fleet and alone are what the limits on cold engines depend on. blocked holds the
	// engines that they leave out of a decision; it is reused between decisions.
	fleet      qlwarmup.Fleet
	alone      bool
	blocked    []bool
	anyBlocked bool
	weighing   weighing
	// shareRefusals counts refusals of customers above their share, see
	// TakeShareRefusals.
	shareRefusals map[string]ShareRefusals
}

// New returns a placer without engines.
func New(config Config) *Placer {
	return &Placer{
		config:       config,
		pools:        make(map[string][]*pool),
		engines:      make(map[string]*engine),
		active:       make(map[qlengine.Key]activeRequest),
		routers:      make(map[string]*RouterState),
		laggingUntil: make(map[string]time.Duration),
		shares:       []*qlshare.Window{newWindow()},
		loadScale:    1,
		fleet: qlwarmup.Fleet{
			Known: 1,
			Live:  1,
		},
		shareRefusals: make(map[string]ShareRefusals),
	}
}

func newWindow() *qlshare.Window {
	return qlshare.New(qlshare.Config{
		Span: _shareWindow,
	})
}

// SetCapacity sets the throughput of all engines together, in tokens per
// second.
func (p *Placer) SetCapacity(tokens float64) {
	p.capacity = tokens
	p.divideCapacity()
}

// Capacity returns the throughput of all engines together, in tokens per second. If none
// is stated, it is what they prefill at the learned speed.
func (p *Placer) Capacity() float64 {
	if p.capacity > 0 {
		return p.capacity
	}
	capacity := 0.0
	for _, groups := range p.pools {
		for _, pool := range groups {
			capacity += float64(len(pool.engines)) / pool.speed.TokenPrefill().Seconds()
		}
	}
	return capacity
}

// divideCapacity divides the capacity evenly between the groups, which are of
// about equal size.
func (p *Placer) divideCapacity() {
	for _, shares := range p.shares {
		shares.SetCapacity(p.capacity / float64(len(p.shares)))
	}
}

// SetLoadScale sets the ratio of the load placed by all routers to the load
// known here; values below 1 count as 1.
func (p *Placer) SetLoadScale(factor float64) {
	p.loadScale = max(factor, 1)
}

// SetEngines replaces the list of engines that may get new requests. The
// state of engines that are not in the list, or were restarted or
// reconfigured, is dropped.
func (p *Placer) SetEngines(infos []EngineInfo) {
	p.regroup(infos)
	known := make(map[string]*engine, len(infos))
	for _, info := range infos {
		e := p.engines[info.ID]
		if e == nil || e.info.StartMillis != info.StartMillis || e.info.Config != info.Config {
			e = &engine{
				hash:       qlring.NewNode(info.ID, info.Zone),
				model:      qlengine.New(info.Config),
				coldOffset: coldOffset(info.ID),
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
			pool.rebuildIndex()
		}
	}
}

// regroup empties the pools and creates as many groups as the number of
// engines needs.
func (p *Placer) regroup(infos []EngineInfo) {
	counts := make(map[string]int)
	for service := range p.pools {
		counts[service] = 0
	}
	for _, info := range infos {
		counts[info.Service]++
	}
	maxGroups := 1
	for service, count := range counts {
		groups := p.pools[service]
		needed := groupCountFor(count, len(groups))
		maxGroups = max(maxGroups, needed)
		for len(groups) < needed {
			groups = append(groups, newPool(service, len(groups)))
		}
		p.pools[service] = groups[:needed]
		for _, pool := range groups {
			pool.engines = pool.engines[:0]
		}
	}
	for len(p.shares) < maxGroups {
		p.shares = append(p.shares, newWindow())
	}
	p.shares = p.shares[:maxGroups]
	p.divideCapacity()
}

// rebuildIndex rebuilds the index of which engines cache which segments.
func (p *pool) rebuildIndex() {
	index := newCacheIndex(len(p.engines))
	p.cacheIndex = index
	for i, e := range p.engines {
		e.model.UseSpeed(p.speed)
		e.model.OnSegmentChange(func(segment uint64, held bool) { index.set(segment, i, held) })
	}
}

func newPool(service string, group int) *pool {
	return &pool{
		service:           service,
		group:             group,
		cacheIndex:        newCacheIndex(0),
		speed:             qlengine.NewSpeed(),
		latencyCorrection: _initialCorrection,
	}
}

// pool returns the engine group that decides on the request.
func (p *Placer) pool(request *Request) *pool {
	groups := p.pools[request.Service]
	if len(groups) == 0 {
		groups = []*pool{newPool(request.Service, 0)}
		p.pools[request.Service] = groups
	}
	return groups[request.Group%len(groups)]
}

// Decide decides on a request and, if it is admitted, records its placement.
func (p *Placer) Decide(now time.Duration, request *Request) Decision {
	cost := request.Cost()
	pool := p.pool(request)
	shares := p.shares[pool.group]
	shares.AddDemand(now, request.Customer, cost)
	pool.trackObjective(request.LatencyObjective)
	pool.refreshLoad(now)
	p.markBlocked(now, pool, request.Key.Router)
	if p.config.Policy != Predict {
		return p.decideByPolicy(now, pool, request)
	}
	limits := p.limits(now, pool, request)
	best := p.best(now, pool, request, &limits)
	if best.engine == nil {
		reason := NoEngine
		if p.anyBlocked {
			reason = Full
		}
		return p.refuse(pool, reason, &best, &limits)
	}
	pool.meanPrefill += time.Duration(_meanPrefillWeight * float64(best.forecast.Prefill-pool.meanPrefill))
	if !best.admissible && !request.AlreadyAdmitted {
		reason := limits.reason
		if !best.forecast.Fits {
			reason = Full
		}
		if reason == OverShare {
			p.countShareRefusal(request.Customer, &best, &limits)
		}
		return p.refuse(pool, reason, &best, &limits)
	}
	shares.AddGrant(now, request.Customer, cost)
	pool.recomputedTokens += uint64(best.forecast.MissingTokens)
	p.countPrefixUse(pool, &best)
	p.recordPlacement(now, request, best.engine.info.ID, p.loadScale == 1)
	p.recordGrant(request, cost)
	return Decision{
		Engine:        best.engine.info.ID,
		Predicted:     best.forecast.FirstEvent,
		MissingTokens: best.forecast.MissingTokens,
	}
}

// RecordDemand records a request that this router does not decide on, so that its
// customer's demand counts in the fair shares.
func (p *Placer) RecordDemand(now time.Duration, request *Request) {
	p.shares[p.pool(request).group].AddDemand(now, request.Customer, request.Cost())
}

// RecordPlacement records that a request was placed on the engine, here or by
// another router. Unknown engines are ignored.
func (p *Placer) RecordPlacement(now time.Duration, request *Request, id string) {
	p.recordPlacement(now, request, id, false)
}

func (p *Placer) recordPlacement(now time.Duration, request *Request, id string, fullyKnown bool) {
	e := p.engines[id]
	if e == nil {
		return
	}
	e.model.Place(now, request.Key, &request.Prompt)
	e.recordCold(now)
	p.active[request.Key] = activeRequest{
		engine:     e,
		objective:  request.LatencyObjective,
		fullyKnown: fullyKnown,
	}
}

// AdoptRequest records an active request that another router placed on the
// engine, with its tokens not yet prefilled and the tokens that it reserves in
// the engine's memory. Requests that are already known and unknown engines are
// ignored.
func (p *Placer) AdoptRequest(now time.Duration, key qlengine.Key, id string, pendingTokens, reservedTokens int, objective time.Duration) {
	e := p.engines[id]
	if e == nil {
		return
	}
	if _, known := p.active[key]; known {
		return
	}
	e.model.Adopt(now, key, pendingTokens, reservedTokens)
	p.active[key] = activeRequest{
		engine:    e,
		objective: objective,
	}
}

// FirstEvent records that a request's first event arrived, and learns from
// its time unless the reporting router lags.
func (p *Placer) FirstEvent(now time.Duration, key qlengine.Key) {
	request, ok := p.active[key]
	if !ok {
		return
	}
	if p.isLagging(now, key.Router) {
		p.recordUntimed(now, key, request)
		return
	}
	predicted, _ := request.engine.model.Predicted(key)
	// Times of cold engines say nothing about the group's speed.
	limited := request.engine.info.WarmUp.Window.IsLimited(now)
	if request.fullyKnown && !limited {
		request.engine.model.LearnSpeed(now, key)
	}
	took, ok := request.engine.model.FirstEvent(now, key)
	if !ok || request.objective == 0 {
		return
	}
	pool := request.engine.pool
	if !limited {
		pool.observe(now, float64(took)/float64(max(predicted, time.Millisecond)))
	}
	router := p.router(key.Router)
	if took > request.objective {
		pool.late++
		router.Late++
		return
	}
	pool.inTime++
	router.InTime++
}

// observe moves the latency correction factor towards the _correctionQuantile
// quantile of the ratio of observed to predicted times.
func (p *pool) observe(now time.Duration, ratio float64) {
	decay := math.Exp(-float64(now-p.correctedAt) / float64(_correctionDecay))
	if p.latencyCorrection > _initialCorrection {
		p.latencyCorrection = _initialCorrection + (p.latencyCorrection-_initialCorrection)*decay
	}
	p.correctedAt = now
	if ratio > p.latencyCorrection {
		p.latencyCorrection += _correctionStep * _correctionQuantile
	} else {
		p.latencyCorrection -= _correctionStep * (1 - _correctionQuantile)
	}
	p.latencyCorrection = min(max(p.latencyCorrection, _minCorrection), _maxCorrection)
}
