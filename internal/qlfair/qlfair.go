// Package qlfair orders customers by weighted virtual time.
//
// A customer's virtual time is the service it has had over the whole fleet,
// divided by its share. The queue hands out the waiting customer with the
// least virtual time, so over time each gets service in proportion to its
// share whatever a single request costs.
//
// A dispatcher knows the fleet's total only as of the last answer of the
// customer's usage home. It therefore keeps two numbers: the home's total,
// and how much of its own service that total included. What it has served
// since is added at once, and taken times the number of dispatchers at which
// the customer waits: the others see the same customer behind and serve it at
// the same time. Without that, all of them together overshoot.
//
// # Usage
//
//	account := qlfair.NewAccount(qlfair.AccountConfig{ID: "a", Share: 2})
//	flow := qlfair.NewFlow(account, "whatever belongs to it")
//	queue := &qlfair.Queue[string]{}
//	queue.Push(flow)
//	next := queue.Min()
//	next.Account().Charge(40)
//	queue.Fix(next)
package qlfair

// _damping is the weight of cost under way in the order of customers.
const _damping = 1.0

// Limits are a customer's share and bounds over the fleet.
type Limits struct {
	Share       float64
	MaxInFlight int
	// CostRate is in cost units a second; 0 is no bound.
	CostRate float64
}

// AccountConfig configures an Account.
type AccountConfig struct {
	ID    string
	Share float64
	// Start is the virtual time from which the customer is served. A new
	// customer starts at the system's virtual time: idleness earns nothing.
	StartVirtualTime float64
}

// Account is one customer's service as one dispatcher knows it.
type Account struct {
	id       string
	share    float64
	total    float64
	used     float64
	included float64
	// underWay is the cost charged for requests that have not ended.
	underWay float64
	// servers is the number of dispatchers that serve the customer.
	servers float64
}

// NewAccount returns an account with no service of its own.
func NewAccount(config AccountConfig) *Account {
	return &Account{
		id:      config.ID,
		share:   config.Share,
		total:   config.StartVirtualTime,
		servers: 1,
	}
}

// ID returns the customer's name.
func (a *Account) ID() string {
	return a.id
}

// Share returns the customer's weight.
func (a *Account) Share() float64 {
	return a.share
}

// SetShare changes the weight of service from now on. What was served before
// is folded into the total first, so the change does not reach back.
func (a *Account) SetShare(share float64) {
	if share == a.share {
		return
	}
	a.total = a.VirtualTime()
	a.included = a.used
	a.share = share
}

// Charge adds service in cost units; a correction may be negative.
func (a *Account) Charge(cost float64) {
	a.used += cost
}

// Used returns the service charged here since the start, in cost units.
func (a *Account) Used() float64 {
	return a.used
}

// Included returns how much of Used the known total includes.
func (a *Account) Included() float64 {
	return a.included
}

// Total returns the virtual time last heard from the home.
func (a *Account) Total() float64 {
	return a.total
}

// VirtualTime returns the customer's virtual time as far as it is known.
func (a *Account) VirtualTime() float64 {
	return a.total + (a.used-a.included)/a.share
}

// ResetVirtualTime puts the customer at a virtual time; what was served here before
// counts as included in it.
func (a *Account) ResetVirtualTime(virtualTime float64) {
	a.total = virtualTime
	a.included = a.used
}

// AddInFlightCost notes cost charged for a request that starts; a negative cost
// notes that it ended.
func (a *Account) AddInFlightCost(cost float64) {
	a.underWay += cost
}

// SortKey returns the value by which queues order customers: the virtual time
// with what the other dispatchers are presumed to have served since the last
// answer, and a weight on what is under way.
//
// By virtual time alone a customer that was behind is given many slots at
// once, for all of them to weigh on it only when they end; it is far ahead by
// then, gets none for as long, and so swings. The weight damps that.
func (a *Account) SortKey() float64 {
	presumed := a.servers * (a.used - a.included + _damping*a.underWay)
	return a.total + presumed/a.share
}

// SetTotal takes the home's answer: the virtual time over the fleet, which
// includes the first `included` units served here, and the number of
// dispatchers that serve the customer.
func (a *Account) SetTotal(total, included float64, servers int) {
	a.total = total
	a.included = included
	a.servers = float64(max(servers, 1))
}

// Flow is one customer's place in one queue, with what its owner keeps there.
type Flow[T any] struct {
	account *Account
	value   T
	// key is the virtual time by which the queue holds the flow.
	key   float64
	index int
}

// NewFlow returns a flow that is in no queue.
func NewFlow[T any](account *Account, value T) *Flow[T] {
	return &Flow[T]{
		account: account,
		value:   value,
		index:   -1,
	}
}

// Value returns what the owner keeps with the flow.
func (f *Flow[T]) Value() T {
	return f.value
}

// Account returns the flow's customer.
func (f *Flow[T]) Account() *Account {
	return f.account
}

// Queued reports whether the flow is in a queue.
func (f *Flow[T]) Queued() bool {
	return f.index >= 0
}

// Queue is a binary heap of flows by virtual time, ties by customer name so
// that equal histories give equal decisions.
type Queue[T any] struct {
	flows []*Flow[T]
}

// Len returns the number of queued flows.
func (q *Queue[T]) Len() int {
	return len(q.flows)
}

// Min returns the flow with the least virtual time, or nil.
func (q *Queue[T]) Min() *Flow[T] {
	if len(q.flows) == 0 {
		return nil
	}
	return q.flows[0]
}

// Push adds a flow; one that is queued already is only moved.
func (q *Queue[T]) Push(f *Flow[T]) {
	if f.Queued() {
		q.Fix(f)
		return
	}
	f.key = f.account.SortKey()
	f.index = len(q.flows)
	q.flows = append(q.flows, f)
	q.up(f.index)
}

// Remove takes a flow out; one that is not queued is left as it is.
func (q *Queue[T]) Remove(f *Flow[T]) {
	if !f.Queued() {
		return
	}
	hole := f.index
	last := len(q.flows) - 1
	q.swap(hole, last)
	q.flows[last] = nil
	q.flows = q.flows[:last]
	f.index = -1
	if hole < last && !q.down(hole) {
		q.up(hole)
	}
}

// Fix restores the order after the flow's virtual time changed.
func (q *Queue[T]) Fix(f *Flow[T]) {
	if !f.Queued() {
		return
	}
	f.key = f.account.SortKey()
	if !q.down(f.index) {
		q.up(f.index)
	}
}

func (q *Queue[T]) less(i, j int) bool {
	a, b := q.flows[i], q.flows[j]
	if a.key != b.key {
		return a.key < b.key
	}
	return a.account.id < b.account.id
}

func (q *Queue[T]) swap(i, j int) {
	q.flows[i], q.flows[j] = q.flows[j], q.flows[i]
	q.flows[i].index = i
	q.flows[j].index = j
}

func (q *Queue[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !q.less(i, parent) {
			return
		}
		q.swap(i, parent)
		i = parent
	}
}

func (q *Queue[T]) down(i int) bool {
	start := i
	for {
		child := 2*i + 1
		if child >= len(q.flows) {
			break
		}
		if right := child + 1; right < len(q.flows) && q.less(right, child) {
			child = right
		}
		if !q.less(child, i) {
			break
		}
		q.swap(i, child)
		i = child
	}
	return i > start
}
