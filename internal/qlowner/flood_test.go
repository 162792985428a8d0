package qlowner

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlengine"
	"github.com/quetzallane/quetzallane/internal/qlplace"
)

const (
	_floodRouters = 7
	// _floodEngineRate is what an engine of the model prefills, in tokens a second, and
	// _floodEngineLatency the rest of the time to a first event.
	_floodEngineRate    = 100_000
	_floodEngineLatency = 60 * time.Millisecond
	_floodDecodeTime    = 300 * time.Millisecond
	_floodTokens        = 2000
	_floodOutputTokens  = 50
	_floodObjective     = 500 * time.Millisecond
	// _floodRequestsPerSecond is what four engines can begin.
	_floodRequestsPerSecond = 200
	// Each router has a customer below its share. The hot one's flood is twice what
	// the engines can begin.
	_floodInterval    = 50 * time.Millisecond
	_floodHotInterval = 2500 * time.Microsecond
	_floodCalmSpan    = 3 * time.Second
	_floodSpan        = 8 * time.Second
	// _silenceBound is how long two owners may decide in a flood, _freezeBound how long
	// they may when the owner stops for a second, and _floodReplacement how soon a silent
	// owner has to be replaced.
	_silenceBound     = 500 * time.Millisecond
	_freezeBound      = 800 * time.Millisecond
	_floodReplacement = 1500 * time.Millisecond
)

// floodRequest is a request of the model.
type floodRequest struct {
	router int
	id     uint64
	hot    bool
	sentAt time.Duration
}

// flood simulates callers, routers of which some handle their events late, and engines that
// prefill in order of arrival.
type flood struct {
	*network
	random *rand.Rand
	// lags is the current lag of each router, lagRange the range it is drawn from.
	lags     [_floodRouters]time.Duration
	lagRange func(router int) (least, most time.Duration)
	events   map[time.Duration][]func()
	engines  map[string]time.Duration
	open     map[string]map[uint64]floodRequest
	lastID   uint64
	// changes are the times at which each router turned to another owner.
	changes   map[int][]time.Duration
	twoOwners time.Duration
	// sent and begun count the requests of the hot customer (true) and of the others.
	sent      map[bool]int
	begun     map[bool]int
	inTime    int
	beganLate int
	// slowest is the longest that a request waited for a decision.
	slowest time.Duration
}

func newFlood(t *testing.T, seed uint64) *flood {
	f := &flood{
		network:  newSeededNetwork(t, _floodRouters, seed),
		random:   rand.New(rand.NewPCG(seed, 1)),
		lagRange: func(int) (time.Duration, time.Duration) { return 0, 0 },
		events:   map[time.Duration][]func(){},
		engines:  map[string]time.Duration{},
		open:     map[string]map[uint64]floodRequest{},
		sent:     map[bool]int{},
		begun:    map[bool]int{},
		changes:  map[int][]time.Duration{},
	}
	f.lag = func(router int) time.Duration { return f.lags[router] }
	for i, core := range f.cores {
		f.open[f.ids[i]] = map[uint64]floodRequest{}
		core.Placer().SetCapacity(_floodRequestsPerSecond * (_floodTokens + 2*_floodOutputTokens))
	}
	f.onOwnerChange = func(router int, from, _ string) {
		if from != "" {
			f.changes[router] = append(f.changes[router], f.now)
		}
	}
	return f
}

func (f *flood) at(due time.Duration, event func()) {
	due = due.Round(_timeStep)
	f.events[due] = append(f.events[due], event)
}

func (f *flood) send(router int, hot bool) {
	f.lastID++
	id := f.lastID
	customer := fmt.Sprintf("c%d", router)
	if hot {
		customer = "hot"
	}
	f.sent[hot]++
	f.open[f.ids[router]][id] = floodRequest{
		router: router,
		id:     id,
		hot:    hot,
		sentAt: f.now,
	}
	f.cores[router].Ask(f.now, &qlplace.Request{
		Key: qlengine.Key{
			Request: id,
		},
		Service:          "models",
		Customer:         customer,
		Zone:             "z0",
		LatencyObjective: _floodObjective,
		Prompt: qlengine.Prompt{
			Tokens:          _floodTokens,
			MaxOutputTokens: _floodOutputTokens,
		},
	})
}

// collect starts requests that were decided on their engines.
func (f *flood) collect() {
	for router, id := range f.ids {
		for request, decision := range f.decisions[id] {
			delete(f.decisions[id], request)
			r, ok := f.open[id][request]
			if !ok {
				continue
			}
			delete(f.open[id], request)
			f.slowest = max(f.slowest, f.now-r.sentAt)
			if decision.Engine == "" {
				continue
			}
			f.begin(router, r, decision.Engine)
		}
	}
}

func (f *flood) begin(router int, r floodRequest, engine string) {
	f.begun[r.hot]++
	f.engines[engine] = max(f.engines[engine], f.now) + _floodTokens*time.Second/_floodEngineRate
	firstEvent := f.engines[engine] + _floodEngineLatency
	if firstEvent-r.sentAt <= _floodObjective {
		f.inTime++
	} else {
		f.beganLate++
	}
	core := f.cores[router]
	f.at(firstEvent+f.lags[router], func() {
		if f.cores[router] == core {
			core.FirstEvent(f.now, r.id, 0)
		}
	})
	f.at(firstEvent+_floodDecodeTime+f.lags[router], func() {
		if f.cores[router] == core {
			core.End(f.now, r.id, qlengine.Completed)
		}
	})
}

// run simulates a span, in which a hot router, if not -1, takes the flood.
func (f *flood) run(span time.Duration, hot int) {
	for end := f.now + span; f.now < end; {
		if f.now%(20*time.Millisecond) == 0 {
			f.drawLags()
		}
		for _, event := range f.events[f.now] {
			event()
		}
		delete(f.events, f.now)
		f.sendStep(hot)
		f.advance(_timeStep)
		f.collect()
		if f.ownersAsked() > 1 {
			f.twoOwners += _timeStep
		}
	}
}

// drawLags gives each router another lag.
func (f *flood) drawLags() {
	for i := range f.lags {
		least, most := f.lagRange(i)
		f.lags[i] = least
		if most > least {
			f.lags[i] += time.Duration(f.random.Int64N(int64(most - least)))
		}
		if core := f.cores[i]; core != nil {
			core.SetLag(f.lags[i])
		}
	}
}

// sendStep sends the requests of a time step, with those of the flood to the hot router, if
// not -1.
func (f *flood) sendStep(hot int) {
	for i, core := range f.cores {
		if core != nil && f.random.Float64() < float64(_timeStep)/float64(_floodInterval) {
			f.send(i, false)
		}
	}
	if hot >= 0 && f.random.Float64() < float64(_timeStep)/float64(_floodHotInterval) {
		f.send(hot, true)
	}
}

// ownersAsked returns how many different routers are asked as the owner.
func (f *flood) ownersAsked() int {
	owners := map[string]bool{}
	for _, core := range f.cores {
		if core != nil {
			owners[core.Owners()[_groupKeyPrefix]] = true
		}
	}
	delete(owners, "")
	return len(owners)
}

func (f *flood) reset() {
	f.twoOwners, f.slowest = 0, 0
	f.inTime, f.beganLate, f.bytes = 0, 0, 0
	clear(f.changes)
	clear(f.sent)
	clear(f.begun)
}

// changeCount returns how often routers turned to another owner.
func (f *flood) changeCount() int {
	count := 0
	for _, changes := range f.changes {
		count += len(changes)
	}
	return count
}

// servedBelowShare returns the part of the requests of customers below their share that
// began.
func (f *flood) servedBelowShare() float64 {
	return float64(f.begun[false]) / float64(f.sent[false])
}

func (f *flood) report(what string) {
	f.t.Helper()
	f.t.Logf("%s: %d owner changes, several owners for %v; began %d in time, %d late; below share %d of %d, hot %d of %d; slowest decision %v, %d bytes", what,
		f.changeCount(), f.twoOwners, f.inTime, f.beganLate, f.begun[false], f.sent[false], f.begun[true], f.sent[true], f.slowest, f.bytes)
}

// newHotOwnerFlood returns a flood that the owner takes, and the owner.
func newHotOwnerFlood(t *testing.T, seed uint64) (f *flood, owner int) {
	t.Helper()
	f = newFlood(t, seed)
	f.run(_floodCalmSpan, -1)
	f.reset()
	return f, f.owner()
}

// TestOwnerThatAnswersLateStaysOwner guards against routers that turned from a hot owner to
// another and back 30 times a second, each for itself, so that two owners decided.
func TestOwnerThatAnswersLateStaysOwner(t *testing.T) {
	for _, c := range []struct {
		name        string
		least, most time.Duration
		allHot      bool
		// minServed is the least part of the requests below share that must begin.
		minServed float64
	}{
		{name: "20 to 70 ms late", least: 20 * time.Millisecond, most: 70 * time.Millisecond, minServed: 0.7},
		{name: "60 to 150 ms late", least: 60 * time.Millisecond, most: 150 * time.Millisecond, minServed: 0.8},
		{name: "200 to 400 ms late", least: 200 * time.Millisecond, most: 400 * time.Millisecond, minServed: 0.8},
		{name: "all 60 to 150 ms late", least: 60 * time.Millisecond, most: 150 * time.Millisecond, allHot: true, minServed: 0.7},
	} {
		for seed := range uint64(8) {
			f, owner := newHotOwnerFlood(t, seed)
			f.lagRange = func(router int) (time.Duration, time.Duration) {
				if c.allHot || router == owner {
					return c.least, c.most
				}
				return 0, 0
			}
			f.run(_floodSpan, owner)
			f.report(c.name)
			if got, want := f.changeCount(), _floodRouters; got > want {
				t.Errorf("%s, seed %d: owner changes: got %d, want %d at most, one by each router", c.name, seed, got, want)
			}
			if got, want := f.twoOwners, _silenceBound; got > want {
				t.Errorf("%s, seed %d: several owners: got %v, want %v at most", c.name, seed, got, want)
			}
			if got := f.servedBelowShare(); got < c.minServed {
				t.Errorf("%s, seed %d: served below their share: got %.2f, want %.2f at least", c.name, seed, got, c.minServed)
			}
		}
	}
}

// TestFrozenOwnerIsReplacedOnce guards against routers that turn away and back at times of
// their own when the owner stops for a second.
func TestFrozenOwnerIsReplacedOnce(t *testing.T) {
	const freeze = time.Second
	for seed := range uint64(3) {
		f, owner := newHotOwnerFlood(t, seed)
		frozenAt := f.now + 2*time.Second
		f.lagRange = func(router int) (time.Duration, time.Duration) {
			if router != owner || f.now < frozenAt || f.now >= frozenAt+freeze {
				return 0, 0
			}
			rest := frozenAt + freeze - f.now
			return rest, rest
		}
		f.run(_floodSpan, (owner+1)%_floodRouters)
		f.report("frozen for 1 s")
		for router, changes := range f.changes {
			if len(changes) > 2 {
				t.Errorf("seed %d: router %d turned at %v, want away and back", seed, router, changes)
			}
		}
		if got, want := f.twoOwners, _freezeBound; got > want {
			t.Errorf("seed %d: several owners: got %v, want %v at most", seed, got, want)
		}
		if got, want := f.ownersAsked(), 1; got != want {
			t.Errorf("seed %d: owners in the end: got %d, want %d", seed, got, want)
		}
	}
}

// TestSilentOwnerIsReplacedWithinTwoSeconds kills the owner or cuts it off in a flood.
func TestSilentOwnerIsReplacedWithinTwoSeconds(t *testing.T) {
	for _, killed := range []bool{true, false} {
		for seed := range uint64(3) {
			checkSilentOwnerReplaced(t, killed, seed)
		}
	}
}

// checkSilentOwnerReplaced checks that the routers turn away from an owner that was killed or
// cut off, in time and without turning back.
func checkSilentOwnerReplaced(t *testing.T, killed bool, seed uint64) {
	t.Helper()
	f, owner := newHotOwnerFlood(t, seed)
	hot := (owner + 1) % _floodRouters
	f.run(time.Second, hot)
	f.reset()
	if killed {
		f.cores[owner] = nil
	} else {
		f.isLost = func(from, to int) bool { return from == owner || to == owner }
	}
	f.run(_floodReplacement, hot)
	for router, core := range f.cores {
		if router != owner && core.Owners()[_groupKeyPrefix] == f.ids[owner] {
			t.Errorf("killed %v, seed %d: router %d still asks the silent owner after %v", killed, seed, router, _floodReplacement)
		}
	}
	f.run(2*time.Second, hot)
	f.report(fmt.Sprintf("killed %v", killed))
	for router, changes := range f.changes {
		// Once, or with one trial before membership knows of the loss.
		if router != owner && len(changes) != 1 && len(changes) != 3 {
			t.Errorf("killed %v, seed %d: router %d turned at %v, want once, or with one trial", killed, seed, router, changes)
		}
	}
}

// TestLossOfDatagramsDoesNotChangeTheOwner guards against routers that take two lost answers
// for the loss of the owner.
func TestLossOfDatagramsDoesNotChangeTheOwner(t *testing.T) {
	const loss = 0.05
	for seed := range uint64(3) {
		f, owner := newHotOwnerFlood(t, seed)
		f.isLost = func(int, int) bool { return f.random.Float64() < loss }
		f.run(_floodSpan, (owner+1)%_floodRouters)
		f.report("5% lost")
		// A router that asks rarely may lose two answers with nothing in between.
		if got, want := f.changeCount(), _floodRouters; got > want {
			t.Errorf("seed %d: owner changes: got %d, want %d at most", seed, got, want)
		}
	}
}
