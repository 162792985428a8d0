// Package qlconfig parses and validates the configuration of the fleet:
// templates, pools of upstreams and the parameters of each customer, under one
// revision number.
//
// Operators write the configuration in parts, since a value in the platform's
// configuration service holds at most 1 MiB. An index lists the parts by the
// hash of their content, so a router never mixes two revisions and fetches only
// the parts that changed. A configuration with any error is rejected as a
// whole, and the previous revision stays in force.
//
// # Usage
//
//	builder := qlconfig.Builder{Previous: current}
//	// index has the revision and the hashes; parts maps hash to content.
//	next, err := builder.Build(index, parts)
//	customer, ok := next.CustomerByKey(key)
//	limit := customer.MaxInFlight()
package qlconfig

import (
	"time"

	"github.com/quetzallane/quetzallane/pkg/qljson"
)

// PartMaxSize is the largest part, in bytes, that the configuration service
// stores.
const PartMaxSize = 1 << 20

// Index lists the parts of one revision.
type Index struct {
	// Revision increases with each change; a router adopts only a revision
	// higher than its current one.
	Revision uint64 `json:"revision"`
	// Parts holds the SHA-256 of each part in hexadecimal, in the order in
	// which the parts are checked.
	Parts []string `json:"parts"`
}

// Part is one piece of the configuration as operators write it. Templates,
// pools and customers can be spread over parts in any way.
type Part struct {
	Templates map[string]TemplateText `json:"templates,omitempty"`
	Pools     map[string]PoolText     `json:"pools,omitempty"`
	Customers map[string]CustomerText `json:"customers,omitempty"`
}

// TemplateText is a customer template as written. Its limits are defaults; a
// customer may override only those that Parameters lists by JSON name.
type TemplateText struct {
	Limits
	Parameters []string `json:"parameters,omitempty"`
}

// CustomerText is one customer's entry as written.
type CustomerText struct {
	Template string `json:"template"`
	// KeyHashes holds the SHA-256 of each bearer key in hexadecimal.
	KeyHashes  []string `json:"key-hashes"`
	Parameters Limits   `json:"parameters,omitzero"`
}

// Limits are the limits that a template gives as defaults and a customer may
// override. A nil field is not set. The methods of Customer describe each
// limit and its unit.
type Limits struct {
	Share       *float64         `json:"share,omitempty"`
	MaxInFlight *int             `json:"max-in-flight,omitempty"`
	CostRate    *float64         `json:"cost-rate,omitempty"`
	QueueLength *int             `json:"queue-length,omitempty"`
	MaxWait     *qljson.Duration `json:"max-wait,omitempty"`
	Pools       []string         `json:"pools,omitempty"`
}

// PoolText is a pool of interchangeable upstreams as written.
type PoolText struct {
	// Kind is KindEngine, with costs in tokens, or KindService, with costs in
	// calls.
	Kind string `json:"kind"`
	// LargestCost is the highest cost of one request, in tokens or calls.
	LargestCost float64 `json:"largest-cost"`
	// Timeout is the time limit of a request from when it is sent to an
	// upstream.
	Timeout   qljson.Duration `json:"timeout"`
	Upstreams []UpstreamText  `json:"upstreams"`
	// Repeatable lists the calls that may safely be sent more than once. All
	// other calls are sent at most once.
	Repeatable []CallText `json:"repeatable,omitempty"`
}

// UpstreamText is one upstream as written.
type UpstreamText struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Slots is how many requests the upstream processes at the same time.
	Slots int `json:"slots"`
	// Leaving marks an upstream that is about to stop and gets no new requests.
	Leaving bool `json:"leaving,omitempty"`
	// Load names the model that routers order an engine to load; empty means
	// that no order is sent. An order carries the revision as fencing number,
	// so that an engine can refuse an order from an outdated router.
	Load string `json:"load,omitempty"`
	// IgnoresFencing marks an engine that does not refuse outdated orders.
	// Routers do not read it.
	IgnoresFencing bool `json:"ignores-fencing,omitempty"`
}

// CallText selects calls by method and path prefix.
type CallText struct {
	Method string `json:"method"`
	Path   string `json:"path"`
}

// Customer is one customer, with its limits resolved from its own parameters,
// its template and the built-in defaults. It is immutable; each revision that
// changes the customer has a new value.
type Customer struct {
	id          string
	share       float64
	maxInFlight int
	costRate    float64
	queueLength int
	maxWait     time.Duration
	pools       []string
	keyHashes   []string
}

// ID returns the customer's name.
func (c *Customer) ID() string {
	return c.id
}

// Share returns the customer's weight in fair sharing, relative to the shares
// of other customers.
func (c *Customer) Share() float64 {
	return c.share
}

// MaxInFlight returns the limit on concurrent requests at upstreams, summed
// over the fleet.
func (c *Customer) MaxInFlight() int {
	return c.maxInFlight
}

// CostRate returns the limit on cost per second, summed over the fleet; 0 means
// no limit.
func (c *Customer) CostRate() float64 {
	return c.costRate
}

// QueueLength returns the limit on queued requests at each router.
func (c *Customer) QueueLength() int {
	return c.queueLength
}

// MaxWait returns how long a request may be queued before it is refused.
func (c *Customer) MaxWait() time.Duration {
	return c.maxWait
}

// Pools returns the names of the pools that the customer may use.
func (c *Customer) Pools() []string {
	return c.pools
}

// Permits reports whether the customer may use the named pool.
func (c *Customer) Permits(pool string) bool {
	for _, name := range c.pools {
		if name == pool {
			return true
		}
	}
	return false
}

// Pool is a set of interchangeable upstreams. It is immutable.
type Pool struct {
	name string
	text PoolText
}

// Name returns the pool's name: the name of a model or of a service.
func (p *Pool) Name() string {
	return p.name
}

// Engine reports whether the pool consists of LLM engines, so that costs are
// in tokens.
func (p *Pool) Engine() bool {
	return p.text.Kind == KindEngine
}

// LargestCost returns the highest cost of one request, in tokens for a pool of
// engines and in calls otherwise.
func (p *Pool) LargestCost() float64 {
	return p.text.LargestCost
}

// Timeout returns the time limit of a request from when it is sent to an
// upstream.
func (p *Pool) Timeout() time.Duration {
	return p.text.Timeout.Std()
}

// Upstreams returns the pool's upstreams, including those that are leaving.
func (p *Pool) Upstreams() []UpstreamText {
	return p.text.Upstreams
}

// Repeatable reports whether a call with the method and path may be sent more
// than once.
func (p *Pool) Repeatable(method, path string) bool {
	for _, call := range p.text.Repeatable {
		if call.Method == method && len(path) >= len(call.Path) && path[:len(call.Path)] == call.Path {
			return true
		}
	}
	return false
}
