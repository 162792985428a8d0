// Package qlentry holds the requests that wait at one router and decides at
// which dispatchers to ask for slots.
//
// It is a state machine without I/O. Requests, grants, cancellations and
// clock readings go in; starts, refusals and messages come out through
// function fields.
//
// # Where a request waits
//
// Requests wait here, one queue for each customer and pool. Dispatchers only
// hear how many wait. This router's own dispatcher is asked first and for
// everything, which costs no message. What it cannot serve at once is also
// asked for at other dispatchers: where slots are free, else where the
// customer served last had the highest virtual time, since there the waiting
// customer has the best claim. A grant is for a customer, not for a request:
// whichever of the customer's requests has waited longest takes it, and a
// grant that finds none waiting is declined at once.
//
// # Why a stale grant is never used
//
// A grant echoes this router's own clock from its last demand and says how
// long the dispatcher held it since. Their sum is no later than the moment
// of the grant, by this router's clock, however long a message or this
// process was held up. A grant older than qldispatch.SendWithin is declined, and the
// same bound is checked again in the step before a request is sent.
//
// # Usage
//
//	e := qlentry.New(qlentry.Config{Self: "r1", Start: start, Refuse: refuse, Send: send, Want: want})
//	e.Submit(now, qlentry.Request{ID: 7, Customer: "a", Pool: "m", Deadline: now + wait})
//	e.Grant(now, "r2", epoch, grant)
//	e.Finish(now, 7, cost, qldispatch.Answered)
package qlentry

import (
	"time"

	"github.com/quetzallane/quetzallane/internal/qldispatch"
	"github.com/quetzallane/quetzallane/internal/qlinvariant"
	"github.com/quetzallane/quetzallane/internal/qlwire"
	"github.com/quetzallane/quetzallane/pkg/qlcode"
)

const (
	// _refresh is how often a dispatcher compares what it knows with what is
	// so; it bounds how long a lost message leaves a slot idle. While requests
	// run by the grants of an earlier owner, the new one hears of all again
	// and more often.
	_refresh        = 4 * time.Second
	_refreshAdopted = time.Second
	// _levelStale is the age at which news of a dispatcher's slots is void.
	_levelStale = 2 * time.Second
	// _spill is how often waiting requests look for other dispatchers when no
	// slot is known to be free, and _trim how often what is asked for too much
	// is withdrawn.
	_spill = 100 * time.Millisecond
	_trim  = time.Second
	// _overrun is by how much a request must have cost more than its dispatcher
	// knows to be mentioned before it ends.
	_overrun = 1.25
	// _rebalance is how often waiting requests look for a better dispatcher.
	_rebalance = 500 * time.Millisecond
	// _climbCosts is how many typical costs apart the levels of two
	// dispatchers must be for a request to move.
	_climbCosts = 4
	// _learn is the weight of the newest cost in a customer's estimate.
	_learn = 0.01
	// _retryDeposit and _retryMax make each customer's retry budget: a tenth
	// of its requests, and a few in a row.
	_retryDeposit = 0.1
	_retryMax     = 10.0
	// _minRetryAfter and _maxRetryAfter bound what callers are told.
	_minRetryAfter = time.Second
	_maxRetryAfter = 30 * time.Second
)

// Config configures an Entry.
type Config struct {
	Self string
	Zone string
	// Start hands a request to the goroutine that sends it.
	Start func(request uint64, assignment Assignment)
	// Refuse ends a request that was certainly not sent.
	Refuse func(request uint64, code qlcode.Code, retryAfter time.Duration)
	// Send sends a message to another dispatcher.
	Send func(to string, message *qlwire.Message)
	// Want states a demand to the dispatcher of this same process, and which
	// of its grants were handled. It returns how many requests still wait.
	LocalDemand func(customer, pool string, waiting int, estimate float64, seen uint64) int
	// Done ends a grant of the dispatcher of this same process.
	LocalDone func(number uint64, cost float64, outcome qldispatch.Outcome)
	// Monitor receives the invariants' checks.
	Monitor *qlinvariant.Monitor
}

// Request is a request that begins to wait.
type Request struct {
	ID       uint64
	Customer string
	Pool     string
	// Hint is the caller's rough cost, used until costs are known.
	CostHint float64
	// Deadline is when waiting ends, by this router's clock.
	Deadline time.Duration
	// QueueLength bounds the customer's waiting requests.
	MaxQueueLength int
	// Urgent puts a request that is tried again before the others.
	Retry bool
}

// Assignment says where and until when a request may be sent.
type Assignment struct {
	upstream   string
	dispatcher string
	sendBy     time.Duration
}

// Upstream returns the replica to send to.
func (a Assignment) Upstream() string {
	return a.upstream
}

// Dispatcher returns the router that granted the slot.
func (a Assignment) Dispatcher() string {
	return a.dispatcher
}

// SendBy returns the time, by this router's clock, after which the request
// must not be sent.
func (a Assignment) SendBy() time.Duration {
	return a.sendBy
}

// DispatcherConfig names a dispatcher of a pool.
type DispatcherConfig struct {
	ID   string
	Zone string
}

type dispatcherView struct {
	id     string
	zone   string
	level  float64
	free   int
	heard  time.Duration
	recent bool
}

type poolView struct {
	name        string
	dispatchers []*dispatcherView
	own         bool
	owners      map[string]string
	cursor      int
}

type queueKey struct {
	pool     string
	customer string
}

type queue struct {
	key queueKey
	// hash stands for the key in sums of demands.
	hash    uint32
	waiting []waiting
	// placed counts the requests asked for at other dispatchers.
	placed map[string]int
	remote int
	// excess counts those of them that no request waits for any more; below
	// 0, the requests that are not asked for elsewhere yet.
	excess    int
	estimate  float64
	samples   int
	retries   float64
	lastUseAt time.Duration
}

type waiting struct {
	id       uint64
	deadline time.Duration
	since    time.Duration
}

type running struct {
	key        queueKey
	dispatcher string
	epoch      uint64
	number     uint64
	upstream   string
	cost       float64
	// told is the cost that the dispatcher knows or has estimated.
	told      float64
	startedAt time.Duration
}

// link is what this entry shares with one other dispatcher.
type link struct {
	epoch     uint64
	sequence  uint64
	seen      uint64
	changed   map[queueKey]bool
	refreshAt time.Duration
	adoptedAt time.Duration
	running   int
}
