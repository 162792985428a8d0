// Package qlconfig holds the configuration of the fleet: templates, pools and
// one set of parameters for each customer, under one revision.
//
// Operators write it in parts, since a value of the platform's configuration
// service is at most a megabyte. An index names the parts by the hash of
// their content, so a reader never mixes two revisions and fetches only what
// changed. A configuration is checked whole and refused whole.
//
// # Usage
//
//	builder := qlconfig.Builder{}
//	next, err := builder.Build(index, parts) // index: revision and hashes
//	customer, ok := next.CustomerByKey(key)
//	limits := customer.MaxInFlight()
package qlconfig

import (
	"time"

	"github.com/quetzallane/quetzallane/pkg/qljson"
)

// PartMaxSize is the largest value, in bytes, that the service holds.
const PartMaxSize = 1 << 20

// Index is the value that names the parts of one revision.
type Index struct {
	// Revision grows with each change; only a higher one is adopted.
	Revision uint64 `json:"revision"`
	// Parts holds the SHA-256 of each part in hexadecimal, in order.
	Parts []string `json:"parts"`
}

// Part is one value of the configuration as operators write it.
type Part struct {
	Templates map[string]TemplateText `json:"templates,omitempty"`
	Pools     map[string]PoolText     `json:"pools,omitempty"`
	Customers map[string]CustomerText `json:"customers,omitempty"`
}

// TemplateText is a template as written. Its limits are defaults, which a
// customer changes only where Parameters names them.
type TemplateText struct {
	Limits
	Parameters []string `json:"parameters,omitempty"`
}

// CustomerText is one customer's parameters as written.
type CustomerText struct {
	Template string `json:"template"`
	// KeyHashes holds the SHA-256 of each bearer key in hexadecimal.
	KeyHashes  []string `json:"key-hashes"`
	Parameters Limits   `json:"parameters,omitzero"`
}

// Limits are the values that templates default and customers fill in.
// A nil field is not given.
type Limits struct {
	Share       *float64         `json:"share,omitempty"`
	MaxInFlight *int             `json:"max-in-flight,omitempty"`
	CostRate    *float64         `json:"cost-rate,omitempty"`
	QueueLength *int             `json:"queue-length,omitempty"`
	MaxWait     *qljson.Duration `json:"max-wait,omitempty"`
	Pools       []string         `json:"pools,omitempty"`
}

// PoolText is a pool of like upstreams as written.
type PoolText struct {
	// Kind is engine (cost in tokens) or service (cost in calls).
	Kind string `json:"kind"`
	// LargestCost bounds the cost of one request, in the pool's unit.
	LargestCost float64         `json:"largest-cost"`
	Timeout     qljson.Duration `json:"timeout"`
	Upstreams   []UpstreamText  `json:"upstreams"`
	// Repeatable lists the calls that may be sent again; all others may not.
	Repeatable []CallText `json:"repeatable,omitempty"`
}

// UpstreamText is one replica as written.
type UpstreamText struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Slots   int    `json:"slots"`
	Leaving bool   `json:"leaving,omitempty"`
	// Load is the model order for an engine, fenced by the revision.
	Load string `json:"load,omitempty"`
	// IgnoresFencing marks engines that do not refuse old orders.
	IgnoresFencing bool `json:"ignores-fencing,omitempty"`
}

// CallText names calls by method and path prefix.
type CallText struct {
	Method string `json:"method"`
	Path   string `json:"path"`
}

// Customer is one customer with its limits worked out from its template.
// It never changes: a later revision has another one.
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

// Share returns the customer's weight against other customers.
func (c *Customer) Share() float64 {
	return c.share
}

// MaxInFlight returns the bound on requests at upstreams, over the fleet.
func (c *Customer) MaxInFlight() int {
	return c.maxInFlight
}

// CostRate returns the bound on cost a second over the fleet; 0 is no bound.
func (c *Customer) CostRate() float64 {
	return c.costRate
}

// QueueLength returns the bound on waiting requests at one router.
func (c *Customer) QueueLength() int {
	return c.queueLength
}

// MaxWait returns how long a request may wait for a slot.
func (c *Customer) MaxWait() time.Duration {
	return c.maxWait
}

// Pools returns the names of the pools that serve the customer.
func (c *Customer) Pools() []string {
	return c.pools
}

// Permits reports whether the customer is served by the pool.
func (c *Customer) Permits(pool string) bool {
	for _, name := range c.pools {
		if name == pool {
			return true
		}
	}
	return false
}

// Pool is a set of like upstreams. It never changes.
type Pool struct {
	name string
	text PoolText
}

// Name returns the pool's name: a model's or a service's.
func (p *Pool) Name() string {
	return p.name
}

// Engine reports whether the pool's cost is counted in tokens.
func (p *Pool) Engine() bool {
	return p.text.Kind == KindEngine
}

// LargestCost returns the bound on one request's cost.
func (p *Pool) LargestCost() float64 {
	return p.text.LargestCost
}

// Timeout returns how long a sent request may take.
func (p *Pool) Timeout() time.Duration {
	return p.text.Timeout.Std()
}

// Upstreams returns the pool's replicas, leaving ones included.
func (p *Pool) Upstreams() []UpstreamText {
	return p.text.Upstreams
}

// Repeatable reports whether the call may be sent more than once.
func (p *Pool) Repeatable(method, path string) bool {
	for _, call := range p.text.Repeatable {
		if call.Method == method && len(path) >= len(call.Path) && path[:len(call.Path)] == call.Path {
			return true
		}
	}
	return false
}
