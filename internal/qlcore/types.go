// Package qlcore combines the decision logic of one router: the entry that
// queues requests, the dispatcher that grants upstream slots, the usage home
// that adds up customers' usage over the fleet, idempotency-key claims,
// membership and configuration.
//
// # Execution model
//
// A Core is a state machine without goroutines, sockets or a clock. The
// daemon's control goroutine calls its methods with events and a reading of the
// monotonic clock, which starts at 0 with the process. The Core emits messages,
// starts and refusals through the function fields of its Config. Tests run the
// same code: they connect several cores by a simulated network.
//
// # Load and failures
//
//   - Load is spread over the fleet: an entry requests slots at its own
//     dispatcher and at no more than a fixed number of others for each pool, so
//     that a router's control traffic does not grow with the fleet.
//   - When a router dies, the remaining routers compute from the list of live
//     members which of them takes over its upstreams and its customers' usage.
//   - Lost messages are repaired by periodic offers, reports and refreshes.
//   - A restarted router is not ready until it knows the configuration
//     revisions of a majority of the listed routers and has the newest of them,
//     so that it never works with limits that the fleet has already replaced.
//
// # Usage
//
//	core := qlcore.New(qlcore.Config{Self: "r1", Zone: "z1", Epoch: epoch, Random: random, Send: send, Start: start, Refuse: refuse})
//	core.AdoptList(now, list)
//	core.AdoptConfiguration(now, configuration)
//	core.Submit(now, qlcore.Request{ID: 1, Customer: "a", Pool: "m"})
//	core.Tick(now) // every few tens of milliseconds
//	core.Flush(now) // soon after each event
package qlcore

import (
	"math/rand/v2"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlentry"
	"github.com/quetzallane/quetzallane/internal/qlinvariant"
	"github.com/quetzallane/quetzallane/internal/qlmember"
	"github.com/quetzallane/quetzallane/internal/qlwire"
	"github.com/quetzallane/quetzallane/pkg/qlcode"
)

const (
	// DefaultClaimWindow is how long an idempotency key stays claimed.
	DefaultClaimWindow = 10 * time.Minute
	// DefaultReportPeriod is the interval between usage reports to usage homes.
	DefaultReportPeriod = 500 * time.Millisecond
	// _offerPeriod is the interval between the periodic offers, which report
	// the slots and queues of this dispatcher to a few entries.
	_offerPeriod = 500 * time.Millisecond
	// _minIdleOfferInterval is the shortest interval between offers of slots
	// that have just become idle.
	_minIdleOfferInterval = 20 * time.Millisecond
	// _offerRecipients is the number of routers that receive each pool's offer.
	_offerRecipients = 3
	// _fanOut is the number of other dispatchers of a pool from which an entry
	// requests slots. The bound keeps its traffic independent of the fleet's
	// size. The dispatchers of different entries overlap, so that a shortage of
	// slots in one place spreads over the whole fleet.
	_fanOut = 8
	// _minCatchUpInterval is the interval at which a newly started router
	// announces itself to the others and requests copies of claims until it is
	// ready. Afterwards the interval between requests for copies doubles up to
	// _maxCatchUpInterval, since in a fleet that has just started no router can
	// supply a complete claim history before a whole claim window has passed.
	_minCatchUpInterval = time.Second
	_maxCatchUpInterval = 32 * time.Second
	// _slowTickPeriod is the period of work that is not urgent.
	_slowTickPeriod = 100 * time.Millisecond
	// _maxReportAge is the age after which a usage report is dropped if
	// unanswered; a later answer would be out of date and is ignored.
	_maxReportAge = 5 * time.Second
	// _pauseThreshold is the time between two clock readings above which this
	// process is considered to have been paused.
	_pauseThreshold = time.Second
	// _maxLevelAge is the age above which the state received from a dispatcher
	// (the virtual time of its next customer, and its waiting requests) is
	// ignored.
	_maxLevelAge = 3 * time.Second
	// _watchersPerZone is the number of routers in each zone that watch the
	// configuration service.
	_watchersPerZone = 2
)

// Request describes a caller's request to the core.
type Request struct {
	// ID identifies the request within this process.
	ID       uint64
	Customer string
	Pool     string
	// ExternalID is the request id shown to callers and in logs.
	ExternalID string
	// CostHint is the caller's estimate of the cost; 0 means that there is
	// none.
	CostHint float64
	// Key is the idempotency key, or "". The key is claimed before the request
	// is started, unless the request is repeatable.
	Key string
	// BodyHash distinguishes a repeated request from a different one that
	// reuses the same key.
	BodyHash []byte
	// Repeatable reports whether the request may safely be sent more than once.
	Repeatable bool
}

// Refusal describes why a request was refused.
type Refusal struct {
	code       qlcode.Code
	retryAfter time.Duration
	holder     string
}

// Code returns the result code.
func (r Refusal) Code() qlcode.Code {
	return r.code
}

// RetryAfter returns how long to wait before the next try, or 0 for no advice.
func (r Refusal) RetryAfter() time.Duration {
	return r.retryAfter
}

// Holder returns the external id of the request that holds the idempotency key,
// or "".
func (r Refusal) Holder() string {
	return r.holder
}

// Config configures a Core.
type Config struct {
	Self string
	Zone string
	// Epoch is higher than at any earlier start of this router.
	Epoch  uint64
	Random *rand.Rand
	// ClaimWindow is how long an idempotency key stays claimed, and
	// ReportPeriod the interval between usage reports; 0 selects the default.
	ClaimWindow  time.Duration
	ReportPeriod time.Duration
	// Send sends a message to another router. Messages may be lost.
	Send func(to string, message *qlwire.Message)
	// Start tells the request's goroutine to send the request now.
	Start func(request uint64, assignment qlentry.Assignment)
	// Refuse ends a request with a refusal.
	Refuse func(request uint64, refusal Refusal)
	// OnNewerDocuments is called when a peer has a newer configuration or VM
	// list than this router; nil ignores it.
	OnNewerDocuments func(peer string)
	// Monitor receives invariant checks; nil selects one that only counts
	// violations.
	Monitor *qlinvariant.Monitor
}

// VMList is the platform's list of VMs.
type VMList struct {
	Revision uint64
	Routers  []qlmember.ListedRouter
	// LeavingUpstreams holds the ids of the upstreams whose VMs are leaving.
	LeavingUpstreams []string
}

// dispatcherLevel is the last known state of a dispatcher in one pool.
// nextVirtualTime is the virtual time of the customer that it serves next. Of the
// requests waiting there, limited are held back only by their customers' limits.
type dispatcherLevel struct {
	nextVirtualTime float64
	waiting         int
	limited         int
	updatedAt       time.Duration
}

type requestState struct {
	request Request
	// deadline is when the request stops waiting. It is set once and holds for
	// all retries together.
	deadline time.Duration
	starts   int
}
