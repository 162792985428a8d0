package qladmission_test

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/quetzallane/quetzallane/internal/qloffload"
)

const (
	// The balancer checks each router at an interval, and acts on the second failed check.
	_checkInterval   = time.Second
	_maxFailedChecks = 2
	// _minReadyPart of a zone's routers are ready, or the balancer uses all of them.
	_minReadyPart = 0.5

	// _engineTime is the time until an engine's first event, and _maxEngineWait the longest
	// wait before that for which the owner places a request. Customers above their share get
	// half of that.
	_engineTime    = 80 * time.Millisecond
	_maxEngineWait = 200 * time.Millisecond
	// _askedMemory is over how long the owner averages customers' rates, and _levelInterval
	// how often it divides the engines between them.
	_askedMemory   = 500 * time.Millisecond
	_levelInterval = 50 * time.Millisecond
	_ownerRetry    = 500 * time.Millisecond
)

// modelFleet is a fleet of routers, the balancer before it and the engines behind it.
type modelFleet struct {
	clock     *modelClock
	routers   []*modelRouter
	zones     [][]*modelRouter
	byAddress map[string]*modelRouter
	engines   *modelEngines
	refusals  refusalCounts
	// acceptYields is set if the goroutine that accepts connections lets all other work run
	// after each one, as it does while the router has no idle time. Otherwise accepting a
	// connection waits in the processor's queue like other work. A real router is between both.
	acceptYields bool
	// streamTicks is how often events come after an answer's first one.
	streamTicks int
	// Of the balancer's checks, how many there were and how many failed.
	checks       int
	failedChecks int
}

// notOffloaded is why a request that is refused for lack of processor time was not offloaded.
type notOffloaded int

const (
	// _lagsTooMuch: the router is not ready to offload.
	_lagsTooMuch notOffloaded = iota
	// _noPeer: all others have declined lately.
	_noPeer
	_peerDeclined
	_notOffloadedCount
)

// refusalCounts counts refusals for lack of processor time.
type refusalCounts struct {
	byReason [_notOffloadedCount]int
	// zoneRoom and fleetRoom are those while another router of the zone, or of the fleet, had
	// room.
	zoneRoom  int
	fleetRoom int
	// onTime are those while the router itself had no lag that it reacts to.
	onTime int
}

// _onTimeLag is the lag above which a router handles fewer requests itself.
const _onTimeLag = 15 * time.Millisecond

func (c refusalCounts) String() string {
	return fmt.Sprintf("%d refusals for the processor since it lags too much to offload, %d since no peer is left, %d declined; %d with room in the zone, %d in the fleet, %d by a router on time",
		c.byReason[_lagsTooMuch], c.byReason[_noPeer], c.byReason[_peerDeclined], c.zoneRoom, c.fleetRoom, c.onTime)
}

// newModelFleet returns a fleet with zones of routers that have so many cores each.
func newModelFleet(clock *modelClock, zones [][]float64, engineRate float64) *modelFleet {
	f := &modelFleet{
		clock:     clock,
		byAddress: make(map[string]*modelRouter),
		engines:   newModelEngines(engineRate),

		streamTicks: _streamTicks,
	}
	for zone, routers := range zones {
		f.zones = append(f.zones, nil)
		for _, cores := range routers {
			r := newModelRouter(f, zone, len(f.routers), cores)
			f.routers = append(f.routers, r)
			f.zones[zone] = append(f.zones[zone], r)
			f.byAddress[r.address] = r
		}
	}
	for _, r := range f.routers {
		var peers []qloffload.Peer
		for _, peer := range f.zones[r.zone] {
			if peer != r {
				peers = append(peers, qloffload.NewPeer(peer.address, uint32(1000*peer.processor.cores)))
			}
		}
		r.offloader.Peers().Set(0, peers)
		clock.every(_checkInterval, func() { f.check(r) })
	}
	return f
}

// check is the balancer's check of a router.
func (f *modelFleet) check(r *modelRouter) {
	f.checks++
	if r.shedder.OutOfRotation() {
		f.failedChecks++
		r.failedChecks++
		r.inRotation = r.inRotation && r.failedChecks < _maxFailedChecks
		return
	}
	r.failedChecks, r.inRotation = 0, true
}

// balance returns the router that gets new connections if the zone's routers are preferred in
// this order.
func (f *modelFleet) balance(preferred []*modelRouter) *modelRouter {
	ready := 0
	for _, r := range preferred {
		if r.inRotation {
			ready++
		}
	}
	if float64(ready) >= _minReadyPart*float64(len(preferred)) {
		for _, r := range preferred {
			if r.inRotation {
				return r
			}
		}
	}
	return preferred[0]
}

// preferredBy returns the routers of a zone in the order in which a customer's new connections
// prefer them.
func (f *modelFleet) preferredBy(zone int, customer string) []*modelRouter {
	preferred := slices.Clone(f.zones[zone])
	slices.SortFunc(preferred, func(a, b *modelRouter) int {
		return cmp.Compare(hashOf(customer, a.address), hashOf(customer, b.address))
	})
	return preferred
}

func hashOf(customer, address string) uint32 {
	hash := fnv.New32a()
	// Writes to a hash do not fail.
	_, _ = hash.Write([]byte(address + "/" + customer))
	return rand.New(rand.NewPCG(uint64(hash.Sum32()), 0)).Uint32()
}

// countRefusal counts a refusal for lack of processor time.
func (f *modelFleet) countRefusal(by *modelRouter, attempt *modelAttempt, reason notOffloaded) {
	if !attempt.caller.isCounted() {
		return
	}
	f.refusals.byReason[reason]++
	if by.lag() <= _onTimeLag {
		f.refusals.onTime++
	}
	zoneRoom, fleetRoom := false, false
	for _, r := range f.routers {
		if r != by && r.hasRoom {
			fleetRoom = true
			zoneRoom = zoneRoom || r.zone == by.zone
		}
	}
	if zoneRoom {
		f.refusals.zoneRoom++
	}
	if fleetRoom {
		f.refusals.fleetRoom++
	}
}

// requestEnd is how a request, or an attempt of it, ends.
type requestEnd int

const (
	_begun requestEnd = iota
	_refusedProcessor
	_refusedShare
	_refusedEngines
	_unconnected
	_endedAtPatience
	_requestEndCount
)

// ownerAnswer is what the owner of the engines decides: when the first event comes, or when
// to come back.
type ownerAnswer struct {
	end   requestEnd
	delay time.Duration
}

// modelEngines are the engines, in order of arrival, and their owner, which refuses what would
// wait for too long, first of customers above their share.
type modelEngines struct {
	// rate is in requests a second, and time that until the first event.
	rate      float64
	time      time.Duration
	freeAt    time.Duration
	customers map[string]*askedRate
	// level is the rate of a customer up to which it gets what it asks for.
	level   float64
	levelAt time.Duration
	placed  int
}

// askedRate is the mean rate at which a customer asks, as of a time.
type askedRate struct {
	perSecond float64
	at        time.Duration
}

func (a *askedRate) decayTo(now time.Duration) {
	a.perSecond *= math.Exp(-float64(now-a.at) / float64(_askedMemory))
	a.at = now
}

func newModelEngines(rate float64) *modelEngines {
	return &modelEngines{
		rate:      rate,
		time:      _engineTime,
		customers: make(map[string]*askedRate),
		level:     rate,
	}
}

// place decides on a request.
func (e *modelEngines) place(clock *modelClock, customer string) ownerAnswer {
	asked := e.customers[customer]
	if asked == nil {
		asked = &askedRate{}
		e.customers[customer] = asked
	}
	asked.decayTo(clock.now)
	asked.perSecond += 1 / _askedMemory.Seconds()
	if clock.now-e.levelAt >= _levelInterval {
		e.levelAt, e.level = clock.now, e.computeLevel(clock.now)
	}
	wait := max(e.freeAt-clock.now, 0)
	retryAfter := clock.between(_ownerRetry/2, _ownerRetry*3/2)
	if wait > _maxEngineWait/2 && clock.random.Float64()*asked.perSecond > e.level {
		return ownerAnswer{
			end:   _refusedShare,
			delay: retryAfter,
		}
	}
	if wait > _maxEngineWait {
		return ownerAnswer{
			end:   _refusedEngines,
			delay: retryAfter,
		}
	}
	e.placed++
	e.freeAt = clock.now + wait + time.Duration(float64(time.Second)/e.rate)
	return ownerAnswer{
		end:   _begun,
		delay: wait + e.time,
	}
}

// computeLevel divides the engines between customers by max-min fairness.
func (e *modelEngines) computeLevel(now time.Duration) float64 {
	var rates []float64
	for _, asked := range e.customers {
		asked.decayTo(now)
		rates = append(rates, asked.perSecond)
	}
	return maxMinLevel(e.rate, rates)
}

// maxMinLevel returns the rate up to which customers get what they ask for if a rate is
// divided between them by max-min fairness.
func maxMinLevel(remaining float64, asked []float64) float64 {
	rates := slices.Sorted(slices.Values(asked))
	for i, rate := range rates {
		even := remaining / float64(len(rates)-i)
		if rate >= even {
			return even
		}
		remaining -= rate
	}
	return math.Inf(1)
}

func customerName(number int) string {
	return "customer-" + strconv.Itoa(number)
}
