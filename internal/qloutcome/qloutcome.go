// Package qloutcome counts how the requests and connections of callers end at a router, by
// customer.
//
// Most requests of an overloaded router end before they have a log line of their own: they
// are refused by their head, offloaded, or their connections are rejected or closed. The
// counts tell these ends apart for each customer at a bounded cost. They are taken once an
// interval, as one log line per customer.
//
// # Usage
//
//	counter := qloutcome.New()
//	counter.Add("globex", qloutcome.OfCode(qlcode.QueueFull))
//	counter.Add("", qloutcome.IdleClosed)
//	interval := counter.Take(20)
//	if interval.Notable() {
//		for _, row := range interval.Rows() { log(row) }
//	}
package qloutcome

import (
	"cmp"
	"slices"
	"sync"

	"github.com/quetzallane/quetzallane/pkg/qlcode"
)

// Outcome is one way in which a request or a connection ends or goes on.
type Outcome int

const (
	// Offloaded counts requests that were sent to another router. That one counts their
	// results, too.
	Offloaded Outcome = iota
	// OffloadDeclined counts those of them that the other router did not take.
	OffloadDeclined
	// OffloadBroken counts those of them whose outcome is unknown here, since the other router
	// or the link to it failed.
	OffloadBroken
	// OffloadLeft counts those of them whose caller disconnected before the end.
	OffloadLeft
	// OffloadTimedOut counts those of them that ended here at their time limit.
	OffloadTimedOut
	// OffloadUnwritten counts parts of their answers that could not be written to the caller.
	OffloadUnwritten
	// Accepted counts connections.
	Accepted
	// Rejected counts connections above the limit that are closed after the first part of
	// their request was read.
	Rejected
	// RejectedUnread counts those that are closed before that, without an answer.
	RejectedUnread
	// RejectedAnswered counts the refusals written to rejected connections.
	RejectedAnswered
	// IdleClosed counts idle connections that were closed since there were too many.
	IdleClosed
	_outcomeCount
)

var _names = [_outcomeCount]string{
	Offloaded:        "offloaded",
	OffloadDeclined:  "offload-declined",
	OffloadBroken:    "offload-broken",
	OffloadLeft:      "offload-left",
	OffloadTimedOut:  "offload-timed-out",
	OffloadUnwritten: "offload-unwritten",
	Accepted:         "accepted",
	Rejected:         "rejected",
	RejectedUnread:   "rejected-unread",
	RejectedAnswered: "rejected-answered",
	IdleClosed:       "idle-closed",
}

// _codes are the result codes, whose outcomes follow those above.
var _codes = qlcode.All()

// OfCode returns the outcome of requests that end with a result code.
func OfCode(code qlcode.Code) Outcome {
	return _outcomeCount + Outcome(slices.Index(_codes, code))
}

// Name returns the name in kebab case; that of a result code is the code's.
func (o Outcome) Name() string {
	switch index := int(o - _outcomeCount); {
	case o >= 0 && o < _outcomeCount:
		return _names[o]
	case index >= 0 && index < len(_codes):
		return _codes[index].Name()
	}
	return "unlisted"
}

// isNotable reports whether callers of the router were turned away, passed on or cut off.
func (o Outcome) isNotable() bool {
	if o < _outcomeCount {
		return o != Accepted
	}
	switch _codes[o-_outcomeCount] {
	case qlcode.Answered, qlcode.BadRequest, qlcode.UnknownKey, qlcode.UnknownPool, qlcode.NotPermitted, qlcode.CallerLeft:
		return false
	}
	return true
}

const (
	// _maxCustomers bounds the customers that are counted apart.
	_maxCustomers = 1000
	// _othersName stands for all further ones.
	_othersName = "(others)"
)

// Counter counts outcomes. It is safe for concurrent use, and does nothing if it is nil.
type Counter struct {
	mu     sync.Mutex
	counts map[string][]int
}

// New returns a counter.
func New() *Counter {
	return &Counter{
		counts: make(map[string][]int),
	}
}

// Add counts an outcome of the customer, which is "" if unknown.
func (c *Counter) Add(customer string, outcome Outcome) {
	if c == nil || outcome < 0 || int(outcome) >= int(_outcomeCount)+len(_codes) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	counts, known := c.counts[customer]
	if !known {
		if len(c.counts) >= _maxCustomers {
			customer = _othersName
			counts = c.counts[customer]
		}
		if counts == nil {
			counts = make([]int, int(_outcomeCount)+len(_codes))
			c.counts[customer] = counts
		}
	}
	counts[outcome]++
}

// Count is how often an outcome occurred.
type Count struct {
	Name  string `json:"name"`
	Count int    `json:"count"`
}

// Row holds the counts of one customer.
type Row struct {
	Customer string  `json:"customer"`
	Counts   []Count `json:"counts"`
	total    int
}

// Interval holds the counts of the time between two calls of Take.
type Interval struct {
	rows    []Row
	notable bool
}

// Rows returns the customers with the most counts, in that order.
func (i Interval) Rows() []Row {
	return i.rows
}

// Notable reports whether requests or connections were refused, offloaded or cut off.
func (i Interval) Notable() bool {
	return i.notable
}

// Take returns the counts since its last call, with at most maxRows rows.
func (c *Counter) Take(maxRows int) Interval {
	var interval Interval
	c.mu.Lock()
	defer c.mu.Unlock()
	for customer, counts := range c.counts {
		row := Row{
			Customer: customer,
		}
		for outcome, count := range counts {
			if count == 0 {
				continue
			}
			row.Counts = append(row.Counts, Count{
				Name:  Outcome(outcome).Name(),
				Count: count,
			})
			row.total += count
			interval.notable = interval.notable || Outcome(outcome).isNotable()
		}
		if row.total == 0 {
			// It was not seen for a whole interval.
			delete(c.counts, customer)
			continue
		}
		clear(counts)
		interval.rows = append(interval.rows, row)
	}
	slices.SortFunc(interval.rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(b.total, a.total), cmp.Compare(a.Customer, b.Customer))
	})
	interval.rows = interval.rows[:min(maxRows, len(interval.rows))]
	return interval
}
