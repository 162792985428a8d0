// Package qlcore joins the decisions of one router: entry, dispatcher, usage
// home, claims, membership and configuration.
//
// A Core is a state machine without goroutines, sockets or clock. The control
// goroutine of the daemon calls its methods with events and a reading of the
// monotonic clock, which starts at 0 with the process; a Core answers through
// the function fields of its Config. The same code runs in the tests, which
// join several cores by a fake network.
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
	// DefaultReportPeriod is the time between usage reports.
	DefaultReportPeriod = 500 * time.Millisecond
	// _offerPeriod is how often slots are made known to a few entries.
	_offerPeriod = 500 * time.Millisecond
	// _offerSoon bounds how often slots that just came free are made known.
	_offerSoon  = 20 * time.Millisecond
	_offerPeers = 3
	// _fanOut is how many other dispatchers of a pool an entry asks, so that
	// what it sends does not grow with the fleet. Neighbours overlap, and so
	// a shortage anywhere spreads over all of them.
	_fanOut = 8
	// _copyPeriod is how often a fresh router greets routers whose revision it
	// has not heard, and asks for copies of claims; it asks less and less
	// often, since in a cold fleet there are none to be had for a window.
	_copyPeriod       = time.Second
	_longestCopyPause = 32 * time.Second
	// _slowPeriod is the period of work that nothing waits for.
	_slowPeriod = 100 * time.Millisecond
	// _answerWithin is the age of a report at which an answer to it says
	// nothing any more.
	_answerWithin = 5 * time.Second
	// _pause is the time without a tick that counts as a pause.
	_pause = time.Second
	// _levelAge is the age at which a dispatcher's level no longer counts.
	_levelAge = 3 * time.Second
	// _watchersPerZone is how many routers of a zone watch the service.
	_watchersPerZone = 2
)

// Request is a caller's request as the core sees it.
type Request struct {
	ID       uint64
	Customer string
	Pool     string
	// Name is the request id that callers and logs see.
	ExternalID string
	// Hint is the caller's rough cost; 0 is none.
	CostHint float64
	// Key is the idempotency key of an unrepeatable call, or "".
	Key string
	// BodyHash tells requests with the same key apart.
	BodyHash []byte
	// Repeatable calls may be sent again.
	Repeatable bool
}

// Refusal says why a request was not run.
type Refusal struct {
	code       qlcode.Code
	retryAfter time.Duration
	holder     string
}

// Code returns the result code.
func (r Refusal) Code() qlcode.Code {
	return r.code
}

// RetryAfter returns when to try again, or 0.
func (r Refusal) RetryAfter() time.Duration {
	return r.retryAfter
}

// Holder returns the request that holds the idempotency key, if any.
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
	// ClaimWindow is DefaultClaimWindow when 0, ReportPeriod likewise.
	ClaimWindow  time.Duration
	ReportPeriod time.Duration
	// Send sends a message to another router; it may be lost.
	Send func(to string, message *qlwire.Message)
	// Start tells the caller's goroutine to send a request now.
	Start func(request uint64, assignment qlentry.Assignment)
	// Refuse ends a request that was not sent.
	Refuse func(request uint64, refusal Refusal)
	// Behind is called when a peer has a later configuration or VM list.
	OnNewerDocuments func(peer string)
	// Monitor receives the invariants' checks; nil counts them only.
	Monitor *qlinvariant.Monitor
}

// VMList is the platform's VM list.
type VMList struct {
	Revision uint64
	Routers  []qlmember.ListedRouter
	// LeavingUpstreams holds the ids of upstream VMs that are leaving.
	LeavingUpstreams []string
}

// heardLevel is the level of a dispatcher as last heard, how many requests wait
// there, and how many of these only limits hold back.
type heardLevel struct {
	level   float64
	waiting int
	limited int
	at      time.Duration
}

type requestState struct {
	request Request
	// deadline is when waiting ends, over all tries.
	deadline time.Duration
	starts   int
}
