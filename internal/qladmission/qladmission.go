// Package qladmission decides what a router does with its callers' requests when they exceed
// its processor.
//
// The load balancer chooses a router by the caller, so that one small VM may receive most of
// a zone's requests. Such a VM has one order of preference, which follows from what each
// choice costs and from what callers get: it handles the requests that its processor has room
// for, offloads the others to routers with idle processors, and refuses only what neither it
// nor they can take. A refusal while others idle serves nobody: its caller comes back on a
// new connection, which costs more than to pass its request on.
//
// Two decisions keep the processor free for that. New connections are accepted no faster than
// the VM keeps up with, so that those that are open are served (see AcceptPace), and while it
// does not keep up, requests of customers above their fair share, as the owner of the engines
// has decided, are refused before they are handled or offloaded (see ShareLimit). What is
// then refused for the processor never reaches the owner: to count it there as placed would
// end that limit in the collapse that it prevents.
//
// # Usage
//
//	controller := qladmission.New(qladmission.Config{Budget: budget, Shedder: shedder, CanOffload: canOffload, Clock: clock, Chance: rand.Float64})
//	switch action := controller.Decide(service, customer, offloadable) {
//	case qladmission.Offload:
//		if !offload() {
//			action = controller.DecideDeclined(service, customer)
//		}
//	...
//	}
package qladmission

import (
	"sync"
	"time"

	"github.com/quetzallane/quetzallane/internal/qloffload"
	"github.com/quetzallane/quetzallane/internal/qlshed"
)

// _maxTakingLag is the scheduling lag above which a router takes no requests from others.
const _maxTakingLag = 30 * time.Millisecond

// Action is what a router does with a request.
type Action int

const (
	// Handle means that this router handles the request.
	Handle Action = iota + 1
	// Offload means that another router is asked to handle it.
	Offload
	// Refuse means that the request is refused for lack of processor time.
	Refuse
	// RefuseShare means that the request is refused since its customer is above its share.
	RefuseShare
)

// Config configures a Controller.
type Config struct {
	// Budget bounds the requests that this router handles while others take the rest.
	Budget *qloffload.Budget
	// Shedder divides this router's processor between customers when no other router takes
	// requests.
	Shedder *qlshed.Shedder
	// CanOffload reports whether other routers take requests at present, and why not.
	CanOffload func() (can bool, reason qloffload.Reason)
	// CountKept counts a request that is refused since it is not offered to another router.
	// It may be nil.
	CountKept func(reason qloffload.Reason)
	// Strained reports whether this router's processor lags behind its connections.
	// Customers above their share are limited only then, or while the shedder refuses
	// requests.
	Strained func() bool
	// Clock returns the time on a monotonic clock.
	Clock func() time.Duration
	// Chance returns a uniform random number in [0, 1).
	Chance func() float64
}

// Controller decides on requests. It is safe for concurrent use.
type Controller struct {
	config Config

	mu sync.Mutex
	// shares holds the limit of each service of engines.
	shares map[string]*ShareLimit
}

// New returns a controller.
func New(config Config) *Controller {
	return &Controller{
		config: config,
		shares: make(map[string]*ShareLimit),
	}
}

// RecordOverShare records that the owner of the engines has refused a request of the
// customer for the service since the customer is above its share.
func (c *Controller) RecordOverShare(service, customer string) {
	c.sharesOf(service).RecordOverShare(c.config.Clock(), customer)
}

// sharesOf returns the limit of a service of engines.
func (c *Controller) sharesOf(service string) *ShareLimit {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := c.shares[service]
	if limit == nil {
		limit = NewShareLimit()
		c.shares[service] = limit
	}
	return limit
}

// IsLimiting reports whether requests of customers above their share are refused here.
func (c *Controller) IsLimiting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, limit := range c.shares {
		if limit.IsLimiting() {
			return true
		}
	}
	return false
}

// ShareRetryAfter returns the Retry-After of a request that is refused since its customer is
// above its share.
func (c *Controller) ShareRetryAfter(service, customer string) time.Duration {
	return c.sharesOf(service).RetryAfter(c.config.Clock(), customer, c.config.Chance())
}

// Decide counts a customer's request and returns what to do with it. The service is that of
// the engines which the request is for, or empty: customers have no shares of others.
// offloadable is set if the request can be passed on at all.
func (c *Controller) Decide(service, customer string, offloadable bool) Action {
	now := c.config.Clock()
	c.config.Shedder.Observe(now, customer)
	if service != "" && !c.sharesOf(service).Admit(now, customer, c.shareChance()) {
		return RefuseShare
	}
	can, reason := c.config.CanOffload()
	if !can && reason != qloffload.NoRoom {
		return c.decideKept(service, customer, reason)
	}
	if c.config.Budget.Take(now) {
		return Handle
	}
	switch {
	case !can:
		return c.decideKept(service, customer, reason)
	case offloadable:
		return Offload
	}
	return c.decideKept(service, customer, qloffload.NotOffloadable)
}

// decideKept returns what to do with a request that is not offered to another router.
func (c *Controller) decideKept(service, customer string, reason qloffload.Reason) Action {
	action := c.DecideDeclined(service, customer)
	if action == Refuse && c.config.CountKept != nil {
		c.config.CountKept(reason)
	}
	return action
}

// shareChance returns the random number by which a request of a customer above its share is
// refused: 0 refuses none. The owner divides the engines better than each router for itself.
func (c *Controller) shareChance() float64 {
	if !c.config.Strained() && c.config.Shedder.RefusedFraction() == 0 {
		return 0
	}
	return c.config.Chance()
}

// DecideDeclined returns what to do with a request that no other router takes: Handle or
// Refuse.
func (c *Controller) DecideDeclined(service, customer string) Action {
	now := c.config.Clock()
	if c.config.Shedder.Admit(now, customer, c.config.Chance()) {
		return Handle
	}
	c.withdraw(now, service, customer)
	return Refuse
}

// Withdraw takes back that Decide has let a request through, since its caller has left before
// the request was passed on: the owner never hears of it.
func (c *Controller) Withdraw(service, customer string) {
	c.withdraw(c.config.Clock(), service, customer)
}

func (c *Controller) withdraw(now time.Duration, service, customer string) {
	if service != "" {
		c.sharesOf(service).Withdraw(now, customer)
	}
}

// Room returns the rate of requests that this router, with the scheduling lag, takes from
// others, in requests a second.
func (c *Controller) Room(lag time.Duration) float64 {
	if !c.TakesOffloaded(lag) {
		return 0
	}
	return c.config.Budget.Room()
}

// TakesOffloaded reports whether this router, with the scheduling lag, has processor time for
// a request that another router offloads.
func (c *Controller) TakesOffloaded(lag time.Duration) bool {
	return c.config.Shedder.RefusedFraction() == 0 && lag <= _maxTakingLag
}
