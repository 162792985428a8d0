// Package qlentry queues the requests that wait at one router (the entry) and
// decides which dispatchers to ask for upstream slots.
//
// A dispatcher is a router that owns some of a pool's upstreams and grants their
// slots; a router may be entry and dispatcher at once. The package is a state
// machine without I/O: requests, grants, cancellations and clock readings are
// passed to methods, and starts, refusals and messages leave through the function
// fields of Config.
//
// # Where a request waits
//
// Requests wait at the entry, in one queue for each customer and pool.
// Dispatchers are sent only the number of waiting requests (the demand). The
// local dispatcher is asked first and for all waiting requests, which costs no
// message. Requests that it cannot serve at once are also asked for at remote
// dispatchers: at those with free slots, else at those where the customer served
// next has the highest virtual time, because there the waiting customer is served
// soonest. A grant is for a customer, not for one request: it starts the first
// request of the customer's queue (retries are first, then the longest waiting),
// and is declined at once when none waits.
//
// # Why a stale grant is never used
//
// A grant contains the clock reading that this router sent with its last demand,
// and the age of that demand at the dispatcher when it granted the slot. Their
// sum, by this router's clock, is no later than the time of the grant, however
// long a message or this process was delayed. A grant older than
// qldispatch.MaxGrantAge is declined, and the same bound is checked again in the
// step before a request is sent.
//
// # Usage
//
//	e := qlentry.New(qlentry.Config{
//		Self:        "r1",
//		Start:       start,
//		Refuse:      refuse,
//		Send:        send,
//		LocalDemand: localDemand,
//		LocalDone:   localDone,
//		Monitor:     monitor,
//	})
//	e.SetPool(now, "m", owners, dispatchers)
//	e.Submit(now, qlentry.Request{ID: 7, Customer: "a", Pool: "m", Deadline: now + wait, MaxQueueLength: 100})
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
	// _refreshPeriod is how often a dispatcher is sent a checksum to compare its
	// state with this entry's. It bounds how long a lost message can leave a
	// slot idle. While requests are active that an upstream's earlier owner
	// granted, the new owner is sent the full demand instead, more often: every
	// _adoptedRefreshPeriod.
	_refreshPeriod        = 4 * time.Second
	_adoptedRefreshPeriod = time.Second
	// _maxSlotReportAge is the age beyond which a dispatcher's report of its
	// slots is ignored.
	_maxSlotReportAge = 2 * time.Second
	// _overflowPeriod is how often remote dispatchers are asked for waiting
	// requests although none of them is known to have a free slot.
	// _withdrawPeriod is how often demands that no request waits for are
	// withdrawn.
	_overflowPeriod = 100 * time.Millisecond
	_withdrawPeriod = time.Second
	// _costOverrunRatio is the ratio of an active request's cost to the cost that
	// its dispatcher knows, from which the next checksum is sent with the new
	// cost.
	_costOverrunRatio = 1.25
	// _rebalancePeriod is how often waiting requests are moved to a better
	// dispatcher.
	_rebalancePeriod = 500 * time.Millisecond
	// _minMoveCosts is the difference between two dispatchers' virtual times
	// above which a request moves, as a multiple of the request's estimated
	// cost.
	_minMoveCosts = 4
	// _minSampleWeight is the weight of the newest cost in a customer's estimate
	// once there are many. The first costs are averaged with equal weights.
	_minSampleWeight = 0.01
	// _retryBudgetPerRequest is what a new request adds to its customer's retry
	// budget and _maxRetryBudget what the budget holds at most; a retry uses 1.
	// So a tenth of the requests may be retried, and ten in a row.
	_retryBudgetPerRequest = 0.1
	_maxRetryBudget        = 10.0
	// _minRetryAfter and _maxRetryAfter bound the delay after which refused
	// callers are asked to try again.
	_minRetryAfter = time.Second
	_maxRetryAfter = 30 * time.Second
)

// Config configures an Entry.
type Config struct {
	// Self is this router's ID and Zone its availability zone.
	Self string
	Zone string
	// Start passes a request that was granted a slot to its sender.
	Start func(request uint64, assignment Assignment)
	// Refuse ends a request that was certainly not sent since it was last
	// submitted. RetryAfter is the delay after which the caller is asked to try
	// again.
	Refuse func(request uint64, code qlcode.Code, retryAfter time.Duration)
	// Send sends a message to a remote dispatcher.
	Send func(to string, message *qlwire.Message)
	// LocalDemand states a queue's demand to the local dispatcher: the number of
	// waiting requests, the estimated cost of each, and the number of the last
	// of its grants that was handled (seen). It returns how many requests still
	// wait.
	LocalDemand func(customer, pool string, waiting int, estimate float64, seen uint64) int
	// LocalDone ends a grant of the local dispatcher.
	LocalDone func(number uint64, cost float64, outcome qldispatch.Outcome)
	// Monitor receives the results of the invariant checks.
	Monitor *qlinvariant.Monitor
}

// Request describes a request to queue.
type Request struct {
	ID       uint64
	Customer string
	Pool     string
	// CostHint is a rough estimate of the cost, used until the cost of one of
	// the customer's requests in the pool is known; 0 if there is none.
	CostHint float64
	// Deadline is the time, by this router's clock, at which the request is
	// refused if it still waits.
	Deadline time.Duration
	// MaxQueueLength is the number of waiting requests of the customer in the
	// pool from which new ones are refused.
	MaxQueueLength int
	// Retry is set for a request that was started before and is tried again. It
	// goes to the front of its queue whatever the queue's length, and uses the
	// customer's retry budget.
	Retry bool
}

// Assignment says to which upstream and until when a request may be sent.
type Assignment struct {
	upstream   string
	dispatcher string
	sendBy     time.Duration
}

// Upstream returns the ID of the upstream to send to.
func (a Assignment) Upstream() string {
	return a.upstream
}

// Dispatcher returns the ID of the router that granted the slot.
func (a Assignment) Dispatcher() string {
	return a.dispatcher
}

// SendBy returns the time, by this router's clock, after which the request
// must not be sent.
func (a Assignment) SendBy() time.Duration {
	return a.sendBy
}

// DispatcherConfig identifies a dispatcher of a pool and its availability zone.
type DispatcherConfig struct {
	ID   string
	Zone string
}

// dispatcherView is what this entry knows of a remote dispatcher of one pool.
type dispatcherView struct {
	id   string
	zone string
	// nextVirtualTime is the virtual time of the customer served next there, or
	// of the one served last when none waits.
	nextVirtualTime float64
	// freeSlots is the number of free slots last reported, less the requests
	// asked for since then.
	freeSlots  int
	reportedAt time.Duration
	hasReport  bool
}

// poolView is what this entry knows of a pool.
type poolView struct {
	name string
	// dispatchers holds the remote dispatchers; dispatchedLocally is set when
	// this router is a dispatcher of the pool, too.
	dispatchers       []*dispatcherView
	dispatchedLocally bool
	// upstreamOwners maps each upstream's ID to the router that owns it.
	upstreamOwners map[string]string
	// cursor is where the search for a dispatcher starts; it counts up.
	cursor int
}

type queueKey struct {
	pool     string
	customer string
}

// queue holds one customer's waiting requests in a pool, and what is known of
// its costs.
type queue struct {
	key queueKey
	// hash represents the key in checksums over demands.
	hash    uint32
	waiting []waitingRequest
	// placed holds the number of requests asked for at each remote dispatcher,
	// and placedTotal their sum.
	placed      map[string]int
	placedTotal int
	// surplus is the number of requests asked for at remote dispatchers beyond
	// those that need it, as the last updateDemand found it before it asked for
	// any. If negative, it is the number of requests not asked for there.
	surplus int
	// estimate is the expected cost of a request, averaged over costSamples
	// ended requests.
	estimate    float64
	costSamples int
	// retryBudget is the number of retries that the customer may use now.
	retryBudget float64
	lastUseAt   time.Duration
}

type waitingRequest struct {
	id         uint64
	deadline   time.Duration
	enqueuedAt time.Duration
}

// activeRequest is a request that was granted a slot and has not ended.
type activeRequest struct {
	key        queueKey
	dispatcher string
	epoch      uint64
	number     uint64
	upstream   string
	cost       float64
	// reportedCost is the cost last reported to the dispatcher, at first the
	// queue's estimate: the dispatcher charged the grant with the one that it
	// received last.
	reportedCost float64
	startedAt    time.Duration
}

// dispatcherLink is the state of the exchange with one remote dispatcher.
type dispatcherLink struct {
	// epoch identifies the start of the dispatcher's process that sent the last
	// grant.
	epoch uint64
	// sequence is the number of the last demand sent.
	sequence uint64
	// lastGrantSeen is the number of the last grant received.
	lastGrantSeen uint64
	// changed holds the queues whose demand on the dispatcher has changed since
	// it was last sent.
	changed map[queueKey]bool
	// refreshAt and adoptedRefreshAt are when the next periodic demand is due,
	// the latter while the dispatcher has adopted requests.
	refreshAt        time.Duration
	adoptedRefreshAt time.Duration
	// activeCount is the number of active requests that the dispatcher granted.
	activeCount int
}
