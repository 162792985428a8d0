package qladmission_test

import (
	"fmt"
	"math"
	"time"

	"github.com/quetzallane/quetzallane/internal/qladmission"
	"github.com/quetzallane/quetzallane/internal/qloffload"
	"github.com/quetzallane/quetzallane/internal/qlshed"
	"go.uber.org/zap"
)

const (
	// The times of a core are those of docs/PLATFORM.md and package qledge's model of a small
	// VM. What offloading takes falls on the router that offloads, half of it with the answer.
	_acceptWork  = 35 * time.Microsecond
	_headWork    = 10 * time.Microsecond
	_refuseWork  = 15 * time.Microsecond
	_offloadWork = 41 * time.Microsecond
	_serveWork   = 250 * time.Microsecond
	_controlWork = 10 * time.Microsecond
	// A stream's events take _streamWork in each _streamTick after the first one, and
	// _passWork at a router that has offloaded the request: 20 us an event, as in package
	// qlshed's model. The first event takes _firstWork.
	_streamTick  = 200 * time.Millisecond
	_streamTicks = 5
	_streamWork  = 60 * time.Microsecond
	_passWork    = 10 * time.Microsecond
	_firstWork   = 20 * time.Microsecond

	_tickInterval = 50 * time.Millisecond
	_echoInterval = 100 * time.Millisecond
	// _acceptQueuePerCore bounds the connections that wait to be accepted.
	_acceptQueuePerCore = 1000
	_linkDelay          = 200 * time.Microsecond
	_offerTime          = time.Second
	_ownerDelay         = 2 * time.Millisecond
	_modelMemoryMB      = 112
	_modelService       = "engines"
	_minRetryDelay      = 20 * time.Millisecond
)

// modelRouter is a router on a processor that does its work in order: accepting, reading
// heads, refusing, offloading, serving, and the control goroutine's ticks and echoes, which so
// measure a lag. The decisions are those of the packages under test.
type modelRouter struct {
	clock     *modelClock
	fleet     *modelFleet
	zone      int
	address   string
	processor *modelProcessor

	controller *qladmission.Controller
	pace       *qladmission.AcceptPace
	budget     *qloffload.Budget
	shedder    *qlshed.Shedder
	offloader  *qloffload.Offloader

	acceptQueue []*modelAttempt

	tickPending bool
	tickDueAt   time.Duration
	lastTickAt  time.Duration
	echoSentAt  time.Duration
	echoPending bool
	echoTime    time.Duration
	// hasRoom is set if the router took requests of others at its last tick.
	hasRoom bool
	// offeredAt holds when other routers have offloaded requests here last, and toldRoom is
	// the room of each of them that it has told.
	offeredAt map[*modelRouter]time.Duration
	toldRoom  float64

	// Of the balancer: whether it sends new connections here, and the failed checks in a row.
	inRotation   bool
	failedChecks int
}

func newModelRouter(fleet *modelFleet, zone, number int, cores float64) *modelRouter {
	clock := fleet.clock
	now := func() time.Duration { return clock.now }
	r := &modelRouter{
		clock:   clock,
		fleet:   fleet,
		zone:    zone,
		address: fmt.Sprintf("router-%d", number),
		processor: &modelProcessor{
			clock: clock,
			cores: cores,
		},
		pace:       qladmission.NewAcceptPace(cores),
		budget:     qloffload.NewBudget(cores),
		shedder:    qlshed.New(),
		tickDueAt:  _tickInterval,
		inRotation: true,
		offeredAt:  make(map[*modelRouter]time.Duration),
		toldRoom:   -1,
	}
	r.offloader = qloffload.New(qloffload.Config{
		Lag:      r.lag,
		MemoryMB: _modelMemoryMB,
		Clock:    now,
		Log:      zap.NewNop(),
	})
	r.controller = qladmission.New(qladmission.Config{
		Budget:     r.budget,
		Shedder:    r.shedder,
		CanOffload: r.offloader.Ready,
		Strained:   func() bool { return r.pace.IsStrained(clock.now) },
		Clock:      now,
		Chance:     clock.random.Float64,
	})
	clock.every(_tickInterval, r.startTick)
	return r
}

// lag returns how late the control goroutine handles events.
func (r *modelRouter) lag() time.Duration {
	echo := r.echoTime
	if r.echoPending {
		echo = max(echo, r.clock.now-r.echoSentAt)
	}
	return max(echo, r.clock.now-r.lastTickAt-_tickInterval)
}

func (r *modelRouter) startTick() {
	if r.tickPending {
		return
	}
	r.tickPending = true
	r.processor.do(_controlWork, r.tick)
}

func (r *modelRouter) tick() {
	now := r.clock.now
	lateBy := now - r.tickDueAt
	r.tickPending, r.tickDueAt, r.lastTickAt = false, now+_tickInterval, now
	lag := max(lateBy, r.lag())
	if !r.echoPending && now-r.echoSentAt >= _echoInterval {
		r.echoSentAt, r.echoPending = now, true
		r.processor.do(_controlWork, func() {
			r.echoPending, r.echoTime = false, r.clock.now-r.echoSentAt
		})
	}
	r.pace.RecordLag(now, lag)
	crowding := qlshed.Roomy
	if r.pace.IsPaced(now) {
		crowding = qlshed.Crowded
	}
	r.shedder.RecordCrowding(crowding)
	r.shedder.RecordLag(now, lag)
	r.budget.RecordLag(lag)
	r.hasRoom = r.controller.TakesOffloaded(r.lag())
	r.tellRoom(r.controller.Room(lag))
}

// tellRoom tells the zone's other routers how many requests this one takes from them. The room
// is divided between those that have offloaded requests here lately, as package qloffload does.
func (r *modelRouter) tellRoom(room float64) {
	offering := 0
	for _, at := range r.offeredAt {
		if r.clock.now-at <= _offerTime {
			offering++
		}
	}
	part := math.Floor(room / float64(max(offering, 1)))
	if part == r.toldRoom {
		return
	}
	r.toldRoom = part
	for _, peer := range r.fleet.zones[r.zone] {
		if peer == r {
			continue
		}
		r.clock.after(_linkDelay, func() {
			peer.processor.do(_controlWork, func() { peer.offloader.Peers().SetRoom(r.clock.now, r.address, part) })
		})
	}
}

// connect queues a new connection. It reports false if the queue is full.
func (r *modelRouter) connect(attempt *modelAttempt) bool {
	if float64(len(r.acceptQueue)) >= _acceptQueuePerCore*r.processor.cores {
		return false
	}
	r.acceptQueue = append(r.acceptQueue, attempt)
	if !r.fleet.acceptYields || len(r.acceptQueue) == 1 {
		r.processor.do(0, r.acceptNext)
	}
	return true
}

// acceptNext accepts the connection that has waited for longest as soon as the pace allows it.
func (r *modelRouter) acceptNext() {
	if delay := r.pace.Delay(r.clock.now, r.lag()); delay > 0 {
		r.clock.after(delay, func() { r.processor.do(0, r.acceptNext) })
		return
	}
	attempt := r.acceptQueue[0]
	r.processor.doNext(_acceptWork, func() {
		r.acceptQueue[0] = nil
		r.acceptQueue = r.acceptQueue[1:]
		r.receive(attempt)
		if r.fleet.acceptYields && len(r.acceptQueue) > 0 {
			r.processor.do(0, r.acceptNext)
		}
	})
}

// receive reads a request's head on an open connection, and decides on it.
func (r *modelRouter) receive(attempt *modelAttempt) {
	r.processor.do(_headWork, func() {
		switch action := r.controller.Decide(_modelService, attempt.customer(), true); action {
		case qladmission.Offload:
			r.offload(attempt)
		default:
			r.handleOrRefuse(attempt, action, _lagsTooMuch)
		}
	})
}

// handleOrRefuse does what was decided on a request that is not offloaded, for the reason.
func (r *modelRouter) handleOrRefuse(attempt *modelAttempt, action qladmission.Action, reason notOffloaded) {
	switch action {
	case qladmission.RefuseShare:
		r.refuse(attempt, _refusedShare, r.controller.ShareRetryAfter(_modelService, attempt.customer()), false)
	case qladmission.Refuse:
		r.fleet.countRefusal(r, attempt, reason)
		retryAfter, elsewhere := r.shedder.Backoff(r.clock.now, r.clock.random.Float64())
		r.refuse(attempt, _refusedProcessor, retryAfter, elsewhere || r.pace.IsPaced(r.clock.now))
	default:
		r.serve(attempt, r)
	}
}

func (r *modelRouter) refuse(attempt *modelAttempt, end requestEnd, retryAfter time.Duration, closes bool) {
	r.processor.do(_refuseWork, func() {
		attempt.refused(end, max(retryAfter, _minRetryDelay), closes)
	})
}

// offload passes a request on, unless its caller has left. It is decided on here if no other
// router takes it.
func (r *modelRouter) offload(attempt *modelAttempt) {
	if attempt.left() {
		return
	}
	peer := r.choosePeer()
	if peer == nil {
		r.handleOrRefuse(attempt, r.controller.DecideDeclined(_modelService, attempt.customer()), _noPeer)
		return
	}
	r.processor.do(_offloadWork, func() {
		r.clock.after(_linkDelay, func() {
			peer.processor.do(_headWork, func() { peer.take(attempt, r) })
		})
	})
}

func (r *modelRouter) choosePeer() *modelRouter {
	address, ok := r.offloader.Peers().Choose(r.clock.now, r.clock.random.Float64())
	if !ok {
		return nil
	}
	return r.fleet.byAddress[address]
}

// take serves or declines a request that another router offloads.
func (r *modelRouter) take(attempt *modelAttempt, origin *modelRouter) {
	r.offeredAt[origin] = r.clock.now
	if r.controller.TakesOffloaded(r.lag()) {
		r.serve(attempt, origin)
		return
	}
	r.clock.after(_linkDelay, func() {
		origin.processor.do(_headWork, func() {
			origin.offloader.Peers().Declined(r.clock.now, r.address)
			origin.handleOrRefuse(attempt, origin.controller.DecideDeclined(_modelService, attempt.customer()), _peerDeclined)
		})
	})
}

// serve asks the owner of the engines to place a request, whose caller is connected to the
// origin, and passes its events on.
func (r *modelRouter) serve(attempt *modelAttempt, origin *modelRouter) {
	r.processor.do(_serveWork, func() {
		if attempt.left() {
			return
		}
		r.clock.after(_ownerDelay, func() {
			answer := r.fleet.engines.place(r.clock, attempt.customer())
			if answer.end != _begun {
				r.clock.after(0, func() { r.passRefusal(attempt, origin, answer) })
				return
			}
			r.clock.after(answer.delay, func() { r.passEvents(attempt, origin) })
		})
	})
}

// passRefusal passes a refusal of the owner on.
func (r *modelRouter) passRefusal(attempt *modelAttempt, origin *modelRouter, answer ownerAnswer) {
	r.processor.do(_refuseWork, func() {
		r.returnTo(origin, func() {
			if answer.end == _refusedShare {
				origin.controller.RecordOverShare(_modelService, attempt.customer())
			}
			attempt.refused(answer.end, answer.delay, false)
		})
	})
}

// passEvents passes a stream's first event on, and the others after it.
func (r *modelRouter) passEvents(attempt *modelAttempt, origin *modelRouter) {
	r.processor.do(_firstWork, func() {
		r.returnTo(origin, attempt.answered)
	})
	tick := 0
	var next func()
	next = func() {
		if attempt.left() || tick == r.fleet.streamTicks {
			return
		}
		tick++
		r.processor.do(_streamWork, func() {})
		if origin != r {
			origin.processor.do(_passWork, func() {})
		}
		r.clock.after(_streamTick, next)
	}
	r.clock.after(_streamTick, next)
}

// returnTo runs what follows once the answer is at the router that the caller is connected to.
func (r *modelRouter) returnTo(origin *modelRouter, then func()) {
	if origin == r {
		then()
		return
	}
	r.clock.after(_linkDelay, func() { origin.processor.do(_offloadWork, then) })
}
