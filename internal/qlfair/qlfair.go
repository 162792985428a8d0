// Package qlfair orders customers by weighted virtual time.
//
// A customer's virtual time is the service that it has received over the whole
// fleet, divided by its share. The queue yields the waiting customer with the
// lowest virtual time, so over time each customer receives service in
// proportion to its share, whatever a single request costs.
//
// A dispatcher knows a customer's service over the fleet only as of the last
// reply of the customer's usage home. It therefore keeps two numbers: the
// home's total, and how much of the dispatcher's own service that total
// includes. The service that it has charged since is added at once, multiplied
// by the number of dispatchers at which the customer waits: the others see the
// same customer behind and serve it at the same time. Without this factor, the
// dispatchers together would serve it too much.
//
// # Usage
//
//	account := qlfair.NewAccount(qlfair.AccountConfig{ID: "a", Share: 2})
//	flow := qlfair.NewFlow(account, "the owner's value")
//	queue := &qlfair.Queue[string]{}
//	queue.Push(flow)
//	next := queue.Min()
//	next.Account().Charge(40)
//	queue.Fix(next)
package qlfair

// _inFlightCostWeight is the weight of the cost of requests in flight in the
// order of customers.
const _inFlightCostWeight = 1.0

// Limits are a customer's share and its limits over the fleet.
type Limits struct {
	// Share is the customer's weight.
	Share float64
	// MaxInFlight is the maximum number of requests in flight.
	MaxInFlight int
	// CostRate is in cost units per second; 0 means unlimited.
	CostRate float64
}

// AccountConfig configures an Account.
type AccountConfig struct {
	ID    string
	Share float64
	// StartVirtualTime is the customer's initial virtual time. A new customer
	// starts at the system's virtual time, so idleness earns no credit.
	StartVirtualTime float64
}

// Account is one customer's service as one dispatcher knows it.
type Account struct {
	id    string
	share float64
	// total is the customer's virtual time over the fleet in the home's last
	// reply. It includes the first included cost units of used, the service
	// charged here.
	total    float64
	used     float64
	included float64
	// inFlightCost is the cost charged for requests that have not ended.
	inFlightCost float64
	// dispatchers is the number of dispatchers at which the customer waits, at
	// least 1.
	dispatchers float64
}

// NewAccount returns an account to which no service has been charged here.
func NewAccount(config AccountConfig) *Account {
	return &Account{
		id:          config.ID,
		share:       config.Share,
		total:       config.StartVirtualTime,
		dispatchers: 1,
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

// SetShare changes the weight of service from now on. Service charged before is
// first added to the total at the old share, so the change does not apply to
// it.
func (a *Account) SetShare(share float64) {
	if share == a.share {
		return
	}
	a.total = a.VirtualTime()
	a.included = a.used
	a.share = share
}

// Charge adds service in cost units; a negative cost corrects an earlier
// charge.
func (a *Account) Charge(cost float64) {
	a.used += cost
}

// Used returns the service charged here since the account was made, in cost
// units.
func (a *Account) Used() float64 {
	return a.used
}

// Included returns how much of Used is included in Total, in cost units.
func (a *Account) Included() float64 {
	return a.included
}

// Total returns the customer's virtual time over the fleet in the last reply of
// its usage home.
func (a *Account) Total() float64 {
	return a.total
}

// VirtualTime returns the customer's virtual time as known here: Total plus the
// service charged here that Total does not include yet.
func (a *Account) VirtualTime() float64 {
	return a.total + (a.used-a.included)/a.share
}

// ResetVirtualTime sets the customer's virtual time. All service charged here
// before counts as included in it.
func (a *Account) ResetVirtualTime(virtualTime float64) {
	a.total = virtualTime
	a.included = a.used
}

// AddInFlightCost adds the cost charged for a request in flight. A negative cost
// corrects the charge, or removes it when the request ends.
func (a *Account) AddInFlightCost(cost float64) {
	a.inFlightCost += cost
}

// SortKey returns the value by which queues order customers: the virtual time in
// the home's last reply, plus the service charged here since then and the weighted
// cost of requests in flight here. These two are multiplied by the number of
// dispatchers at which the customer waits, as an estimate of what the other
// dispatchers have charged meanwhile.
//
// By virtual time alone, a customer that was behind would be given many slots
// at once, whose full cost weighs on its virtual time only when they end. By then
// it would be far ahead and get no slots for as long, so its service would
// oscillate. The weight damps this oscillation.
func (a *Account) SortKey() float64 {
	estimated := a.dispatchers * (a.used - a.included + _inFlightCostWeight*a.inFlightCost)
	return a.total + estimated/a.share
}

// SetTotal applies the home's reply: the customer's virtual time over the
// fleet, which includes the first `included` cost units charged here, and the
// number of dispatchers at which the customer waits.
func (a *Account) SetTotal(total, included float64, dispatchers int) {
	a.total = total
	a.included = included
	a.dispatchers = float64(max(dispatchers, 1))
}

// Flow is one customer's position in one queue, with a value that the queue's
// owner attaches to it.
type Flow[T any] struct {
	account *Account
	value   T
	// key is the sort key by which the queue currently orders the flow.
	key   float64
	index int
}

// NewFlow returns a flow that is not queued.
func NewFlow[T any](account *Account, value T) *Flow[T] {
	return &Flow[T]{
		account: account,
		value:   value,
		index:   -1,
	}
}

// Value returns the value that the owner attached to the flow.
func (f *Flow[T]) Value() T {
	return f.value
}

// Account returns the account of the flow's customer.
func (f *Flow[T]) Account() *Account {
	return f.account
}

// Queued reports whether the flow is in a queue.
func (f *Flow[T]) Queued() bool {
	return f.index >= 0
}

// Queue is a binary heap of flows in the order of their accounts' SortKey. Ties
// are ordered by customer name, so that equal histories give equal decisions.
type Queue[T any] struct {
	flows []*Flow[T]
}

// Len returns the number of queued flows.
func (q *Queue[T]) Len() int {
	return len(q.flows)
}

// Min returns the flow with the lowest sort key, or nil if the queue is empty.
func (q *Queue[T]) Min() *Flow[T] {
	if len(q.flows) == 0 {
		return nil
	}
	return q.flows[0]
}

// Push adds a flow. A flow that is queued already is moved to its new position.
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

// Remove removes a flow. It has no effect on a flow that is not queued.
func (q *Queue[T]) Remove(f *Flow[T]) {
	if !f.Queued() {
		return
	}
	index := f.index
	last := len(q.flows) - 1
	q.swap(index, last)
	q.flows[last] = nil
	q.flows = q.flows[:last]
	f.index = -1
	if index < last && !q.down(index) {
		q.up(index)
	}
}

// Fix restores the order after the sort key of a flow's account changed.
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
