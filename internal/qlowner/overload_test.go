package qlowner

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qladmission"
	"github.com/quetzallane/quetzallane/internal/qlengine"
	"github.com/quetzallane/quetzallane/internal/qlplace"
)

const (
	_overloadRouters   = 89
	_overloadEngines   = 40
	_overloadSlots     = 48
	_overloadQueue     = 144
	_overloadObjective = 500 * time.Millisecond
	// The engines prefill about 1,600 requests a second.
	_overloadPrefill      = 100_000
	_overloadLatency      = 30 * time.Millisecond
	_overloadStreamTime   = 300 * time.Millisecond
	_overloadSegments     = 10
	_overloadSharedTokens = 1000
	_overloadTokens       = 3000
	_overloadOutput       = 50
	// _packetTime is what a packet costs the owner's processor, and _questionTime what each
	// question that it decides adds: it decides 16,000 a second.
	_packetTime   = 20 * time.Microsecond
	_questionTime = 40 * time.Microsecond
	// _maxQueuedPackets is how many packets wait at a router; others are lost.
	_maxQueuedPackets = 4096
	// Rates in requests a second over all routers.
	_overloadSmallCustomers = 20
	_overloadSmallRate      = 20
	_overloadLowerRate      = 600
	_overloadHotRate        = 600
	_overloadFlood          = 30
)

// overloadEngine is an engine of the model, which prefills in order of arrival and rejects
// requests beyond its slots and queue.
type overloadEngine struct {
	prefilledAt time.Duration
	open        int
	cached      map[uint64]bool
}

type overloadRequest struct {
	router   int
	customer string
	segment  uint64
	sentAt   time.Duration
}

// overloadCounts counts what became of requests.
type overloadCounts struct {
	sent      int
	inTime    int
	late      int
	rejected  int
	readAgain int
}

// overload simulates a fleet whose owner decides one question after the other, its callers
// and its engines.
type overload struct {
	*network
	random  *rand.Rand
	events  map[time.Duration][]func()
	engines map[string]*overloadEngine
	open    map[uint64]*overloadRequest
	lastID  uint64
	limits  []*qladmission.ShareLimit
	// queues are the packets that wait at each router, and busyUntil is when it has handled
	// those before them.
	queues    [][]datagram
	busyUntil []time.Duration
	// owner is the only router whose processor binds. stalled adds to the time that each of
	// its packets waits.
	owner   int
	stalled time.Duration
	rates   map[string]float64
	counts  map[string]*overloadCounts
}

func newOverload(t *testing.T, seed uint64) *overload {
	t.Helper()
	o := &overload{
		network:   newEmptyNetwork(t, _overloadRouters),
		random:    rand.New(rand.NewPCG(seed, 68)),
		events:    map[time.Duration][]func(){},
		engines:   map[string]*overloadEngine{},
		open:      map[uint64]*overloadRequest{},
		queues:    make([][]datagram, _overloadRouters),
		busyUntil: make([]time.Duration, _overloadRouters),
		rates:     map[string]float64{"lower": _overloadLowerRate, "hot": _overloadHotRate},
		counts:    map[string]*overloadCounts{},
	}
	for i := range _overloadSmallCustomers {
		o.rates[fmt.Sprintf("small-%d", i)] = _overloadSmallRate
	}
	var infos []qlplace.EngineInfo
	for i := range _overloadEngines {
		id := fmt.Sprintf("e%d", i)
		o.engines[id] = &overloadEngine{
			cached: map[uint64]bool{},
		}
		infos = append(infos, qlplace.EngineInfo{
			ID:      id,
			Service: "models",
			Zone:    fmt.Sprintf("z%d", i%3),
			Config: qlengine.Config{
				Slots:          _overloadSlots,
				KVCacheTokens:  400_000,
				TokensPerEvent: 5,
			},
		})
	}
	for i := range _overloadRouters {
		id := fmt.Sprintf("r%d", i)
		o.ids = append(o.ids, id)
		core := o.newCore(i, id, 1)
		core.Placer().SetEngines(infos)
		core.Placer().SetCapacity(_overloadEngines * _overloadPrefill / 2)
		o.cores = append(o.cores, core)
		o.limits = append(o.limits, qladmission.NewShareLimit())
	}
	o.deliver = o.enqueue
	o.owner = -1
	o.advanceQueues(3 * time.Second)
	o.owner = o.network.owner()
	return o
}

func (o *overload) enqueue(d datagram) {
	if len(o.queues[d.to]) < _maxQueuedPackets {
		o.queues[d.to] = append(o.queues[d.to], d)
	}
}

// advanceQueues simulates a span in which routers handle the packets that wait.
func (o *overload) advanceQueues(span time.Duration) {
	for end := o.now + span; o.now < end; {
		for router := range o.queues {
			o.handleQueue(router)
		}
		o.advance(_timeStep)
	}
}

// handleQueue has a router handle packets until its processor is busy.
func (o *overload) handleQueue(router int) {
	for len(o.queues[router]) > 0 {
		if router != o.owner {
			o.receive(o.queues[router][0])
			o.queues[router] = o.queues[router][1:]
			continue
		}
		d := o.queues[router][0]
		if o.busyUntil[router] > o.now || d.deliverAt+o.stalled > o.now {
			return
		}
		o.queues[router] = o.queues[router][1:]
		before := o.cores[router].Stats().DecidedForOthers
		o.receive(d)
		decided := o.cores[router].Stats().DecidedForOthers - before
		o.busyUntil[router] = max(o.busyUntil[router], o.now-_timeStep) + _packetTime + time.Duration(decided)*_questionTime
	}
}

func (o *overload) at(due time.Duration, event func()) {
	due = due.Round(_timeStep)
	o.events[due] = append(o.events[due], event)
}

func (o *overload) countsOf(customer string) *overloadCounts {
	if o.counts[customer] == nil {
		o.counts[customer] = &overloadCounts{}
	}
	return o.counts[customer]
}

// run simulates a span.
func (o *overload) run(span time.Duration) {
	for end := o.now + span; o.now < end; {
		for _, event := range o.events[o.now] {
			event()
		}
		delete(o.events, o.now)
		for i := range _overloadSmallCustomers {
			o.arrive(fmt.Sprintf("small-%d", i))
		}
		o.arrive("lower")
		o.arrive("hot")
		o.advanceQueues(_timeStep)
		o.collect()
	}
}

// arrive sends a customer's requests of one time step, each to a random router.
func (o *overload) arrive(customer string) {
	expected := o.rates[customer] * _timeStep.Seconds()
	count := int(expected)
	if o.random.Float64() < expected-float64(count) {
		count++
	}
	for range count {
		o.send(customer, o.random.IntN(_overloadRouters))
	}
}

func (o *overload) send(customer string, router int) {
	o.countsOf(customer).sent++
	if o.isRefusedHere(customer, router) {
		return
	}
	o.lastID++
	id := o.lastID
	segment := uint64(len(customer))<<32 + uint64(customer[len(customer)-1])<<16 + uint64(o.random.IntN(_overloadSegments))
	o.open[id] = &overloadRequest{
		router:   router,
		customer: customer,
		segment:  segment,
		sentAt:   o.now,
	}
	o.cores[router].Ask(o.now, &qlplace.Request{
		Key: qlengine.Key{
			Request: id,
		},
		Service:          "models",
		Customer:         customer,
		Zone:             fmt.Sprintf("z%d", router%3),
		LatencyObjective: _overloadObjective,
		Prompt: qlengine.Prompt{
			Tokens:          _overloadTokens,
			MaxOutputTokens: _overloadOutput,
			Segments: []qlengine.Segment{
				{ID: segment, Tokens: _overloadSharedTokens},
				{ID: id<<20 + 1, Tokens: _overloadTokens - _overloadSharedTokens},
			},
		},
	})
}

// isRefusedHere reports whether a router refuses a request before it asks the owner.
func (o *overload) isRefusedHere(customer string, router int) bool {
	chance := 0.0
	if o.cores[router].OwnerStrained(o.now) {
		chance = o.random.Float64()
	}
	return !o.limits[router].Admit(o.now, customer, chance)
}

// collect starts requests that were decided on their engines.
func (o *overload) collect() {
	for router, id := range o.ids {
		for _, request := range slices.Sorted(maps.Keys(o.decisions[id])) {
			decision, r := o.decisions[id][request], o.open[request]
			delete(o.decisions[id], request)
			delete(o.open, request)
			if decision.Engine == "" {
				if decision.Reason == qlplace.OverShare {
					o.limits[router].RecordOverShare(o.now, r.customer)
				}
				continue
			}
			o.begin(request, r, decision.Engine)
		}
	}
}

func (o *overload) begin(request uint64, r *overloadRequest, id string) {
	core, engine, counts := o.cores[r.router], o.engines[id], o.countsOf(r.customer)
	if engine.open >= _overloadSlots+_overloadQueue {
		counts.rejected++
		core.End(o.now, request, qlengine.Shed)
		return
	}
	engine.open++
	tokens := _overloadTokens - _overloadSharedTokens
	if !engine.cached[r.segment] {
		engine.cached[r.segment] = true
		tokens += _overloadSharedTokens
		counts.readAgain += _overloadSharedTokens
	}
	engine.prefilledAt = max(engine.prefilledAt, o.now) + time.Duration(tokens)*time.Second/_overloadPrefill
	firstEvent := engine.prefilledAt + _overloadLatency
	if firstEvent-r.sentAt <= _overloadObjective {
		counts.inTime++
	} else {
		counts.late++
	}
	o.at(firstEvent, func() { core.FirstEvent(o.now, request, 0) })
	o.at(firstEvent+_overloadStreamTime, func() {
		engine.open--
		core.End(o.now, request, qlengine.Completed)
	})
}

// sum returns the counts of all customers, and of those below their share alone.
func (o *overload) sum() (all, small overloadCounts) {
	for customer, counts := range o.counts {
		all.sent += counts.sent
		all.inTime += counts.inTime
		all.late += counts.late
		all.rejected += counts.rejected
		all.readAgain += counts.readAgain
		if customer != "lower" && customer != "hot" {
			small.sent += counts.sent
			small.inTime += counts.inTime
		}
	}
	return all, small
}

// measure simulates a span and returns the counts of all customers in it, the part of the
// requests of customers below their share that began in time, and what the lower of the two
// above it got in time, as a part of the lesser of what it sent and what the other got.
func (o *overload) measure(span time.Duration, what string) (all overloadCounts, small, lower float64) {
	o.t.Helper()
	clear(o.counts)
	o.cores[o.owner].Placer().TakeShareRefusals()
	o.run(span)
	all, below := o.sum()
	small = float64(below.inTime) / float64(below.sent)
	lower = float64(o.countsOf("lower").inTime) / float64(max(min(o.countsOf("lower").sent, o.countsOf("hot").inTime), 1))
	alone, missed := uint64(0), uint64(0)
	for _, core := range o.cores {
		alone += core.Stats().PlacedAlone
		missed += core.Stats().AnswersMissed
	}
	o.t.Logf("%s, %v: %+v, below their share %.3f, lower %.2f (%+v, refused %+v), hot %+v; since the start %d answers missed, %d placed alone",
		what, span, all, small, lower, *o.countsOf("lower"), o.cores[o.owner].Placer().TakeShareRefusals()["lower"], *o.countsOf("hot"), missed, alone)
	return all, small, lower
}

const (
	// _overloadPlateau is the part of the requests begun in time under less load that a
	// fleet begins under more, and _overloadServed that of requests of customers below
	// their share.
	_overloadPlateau = 0.8
	_overloadServed  = 0.95
	// _overloadRejected is the part of what reaches engines that they may reject.
	_overloadRejected = 0.01
	// _overloadFair is what a customer gets at least of the lesser of what it asks and what
	// the best served gets, as the requirements define it.
	_overloadFair = 0.5
)

func (o *overload) check(what string, all, calm overloadCounts, small, lower float64) {
	o.t.Helper()
	if want := int(_overloadPlateau * float64(calm.inTime)); all.inTime < want {
		o.t.Errorf("%s: begun in time: got %d, want %d at least", what, all.inTime, want)
	}
	arrived := all.inTime + all.late + all.rejected
	if got := float64(all.rejected) / float64(arrived); got > _overloadRejected {
		o.t.Errorf("%s: rejected by engines: got %d of %d, want %v of them at most", what, all.rejected, arrived, _overloadRejected)
	}
	if small < _overloadServed {
		o.t.Errorf("%s: served of those below their share: got %.3f, want %v at least", what, small, _overloadServed)
	}
	if lower < _overloadFair {
		o.t.Errorf("%s: the lower of those above their share: got %.2f, want %v at least", what, lower, _overloadFair)
	}
}

// TestOwnerBehindItsQuestionsKeepsFleetServing guards against an owner that answers all
// questions too late, so that each of many routers places what it likes.
func TestOwnerBehindItsQuestionsKeepsFleetServing(t *testing.T) {
	const span = 2 * time.Second
	o := newOverload(t, 1)
	o.run(2 * time.Second)
	o.rates["hot"] = 5 * _overloadHotRate
	o.run(time.Second)
	calm, _, _ := o.measure(span, "x5")
	o.rates["hot"] = _overloadFlood * _overloadHotRate
	for _, what := range []string{"flood, first", "flood, then"} {
		all, small, lower := o.measure(span, what)
		o.check(what, all, calm, small, lower)
	}
	o.rates["hot"] = _overloadHotRate
	o.run(time.Second)
	all, small, lower := o.measure(span, "1 s after the flood")
	o.check("1 s after the flood", all, calm, small, lower)
}

// TestStalledOwnerKeepsFleetServing guards against routers that place what they like while
// their owner answers late for a second.
func TestStalledOwnerKeepsFleetServing(t *testing.T) {
	o := newOverload(t, 2)
	o.run(2 * time.Second)
	o.rates["hot"] = 5 * _overloadHotRate
	o.run(2 * time.Second)
	calm, _, _ := o.measure(time.Second, "x5")
	o.stalled = 150 * time.Millisecond
	all, small, lower := o.measure(time.Second, "stalled")
	o.stalled = 0
	o.check("stalled", all, calm, small, lower)
	all, small, lower = o.measure(time.Second, "after the stall")
	o.check("after the stall", all, calm, small, lower)
}
