// Package qlshare tells which customers have had more than their fair share.
//
// It answers the load of one customer that sends many times its usual: over a
// sliding window each customer's share is the max-min division of what the
// engines produce by what each customer asked for. What a customer asks beyond
// it is admitted only where room is left.
//
// # Usage
//
//	window := qlshare.New(qlshare.Config{Span: 4 * time.Second})
//	window.Asked(now, customer, cost)
//	window.Granted(now, customer, cost)
//	ratio := window.Ratio(now, customer) // above 1: more than its share
//	lead := window.Lead(customer)        // above 1: more than the others beyond theirs
package qlshare

import (
	"sort"
	"time"
)

const (
	_buckets = 16
)

// Config configures a Window.
type Config struct {
	// Span is the length of the window.
	Span time.Duration
	// Capacity is the cost that can be granted in a second; 0 when unknown.
	Capacity float64
}

type usage struct {
	asked   [_buckets]float64
	granted [_buckets]float64
}

// Window is the sliding window. It is not safe for several goroutines.
type Window struct {
	config    Config
	customers map[string]*usage
	current   int64
	level     float64
	reached   float64
	levelAt   int64
}

// New returns an empty window.
func New(config Config) *Window {
	return &Window{
		config:    config,
		customers: make(map[string]*usage),
		levelAt:   -1,
	}
}

// SetCapacity sets the cost that can be granted in a second.
func (w *Window) SetCapacity(capacity float64) {
	w.config.Capacity = capacity
}

func (w *Window) advance(now time.Duration) int {
	width := max(w.config.Span/_buckets, time.Millisecond)
	index := int64(now / width)
	for step := max(w.current+1, index-_buckets+1); step <= index; step++ {
		for name, u := range w.customers {
			u.asked[step%_buckets] = 0
			u.granted[step%_buckets] = 0
			if sum(&u.asked) == 0 && sum(&u.granted) == 0 {
				delete(w.customers, name)
			}
		}
	}
	w.current = max(w.current, index)
	return int(w.current % _buckets)
}

func sum(values *[_buckets]float64) float64 {
	total := 0.0
	for _, value := range values {
		total += value
	}
	return total
}

func (w *Window) of(customer string) *usage {
	u := w.customers[customer]
	if u == nil {
		u = &usage{}
		w.customers[customer] = u
	}
	return u
}

// AddDemand counts the cost of a request that came.
func (w *Window) AddDemand(now time.Duration, customer string, cost float64) {
	bucket := w.advance(now)
	w.of(customer).asked[bucket] += cost
}

// AddGrant counts the cost of a request that was admitted.
func (w *Window) AddGrant(now time.Duration, customer string, cost float64) {
	bucket := w.advance(now)
	w.of(customer).granted[bucket] += cost
}

// Ratio returns what the customer was granted against what it is due in the
// window: its request or the level, whichever is less.
func (w *Window) Ratio(now time.Duration, customer string) float64 {
	w.advance(now)
	if w.levelAt != w.current {
		w.level = w.computeLevel()
		w.levelAt = w.current
		w.reached = w.computeReached()
	}
	u := w.customers[customer]
	if u == nil {
		return 0
	}
	return w.ratio(u)
}

func (w *Window) ratio(u *usage) float64 {
	due := min(w.level, sum(&u.asked))
	if due <= 0 {
		return 0
	}
	return sum(&u.granted) / due
}

// Excess returns what the customer was granted against the even part of what all
// were granted, 1 at least.
func (w *Window) Excess(customer string) float64 {
	u := w.customers[customer]
	if u == nil || w.reached <= 0 {
		return 1
	}
	return max(sum(&u.granted)/w.reached, 1)
}

// GrantedLevel returns the most that a customer would have been granted, had what
// was granted been divided by max-min.
func (w *Window) GrantedLevel() float64 {
	return w.reached
}

func (w *Window) computeReached() float64 {
	granted := 0.0
	for _, u := range w.customers {
		granted += sum(&u.granted)
	}
	return w.divide(granted)
}

// MaxMinLevel returns the most that a customer is due in the window.
func (w *Window) MaxMinLevel() float64 {
	return w.level
}

// computeLevel divides what can be granted by max-min fairness: who asks for
// less than the level gets all of it, the others get the level.
func (w *Window) computeLevel() float64 {
	if w.config.Capacity == 0 {
		return w.computeReached()
	}
	return w.divide(w.config.Capacity * w.config.Span.Seconds())
}

func (w *Window) divide(capacity float64) float64 {
	asked := make([]float64, 0, len(w.customers))
	for _, u := range w.customers {
		asked = append(asked, sum(&u.asked))
	}
	sort.Float64s(asked)
	for i, demand := range asked {
		level := capacity / float64(len(asked)-i)
		if demand >= level {
			return level
		}
		capacity -= demand
	}
	if len(asked) == 0 {
		return 0
	}
	return asked[len(asked)-1]
}

// CustomerState is one customer's window, for dumps.
type CustomerState struct {
	Customer string  `json:"customer"`
	Demand   float64 `json:"asked"`
	Granted  float64 `json:"granted"`
	// Ratio is what was granted against what is due.
	Ratio float64 `json:"ratio"`
}

// State returns the customers that asked lately, sorted by name.
func (w *Window) State() []CustomerState {
	states := make([]CustomerState, 0, len(w.customers))
	for name, u := range w.customers {
		states = append(states, CustomerState{
			Customer: name,
			Demand:   sum(&u.asked),
			Granted:  sum(&u.granted),
			Ratio:    w.ratio(u),
		})
	}
	sort.Slice(states, func(i, j int) bool { return states[i].Customer < states[j].Customer })
	return states
}
