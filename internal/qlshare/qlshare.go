// Package qlshare computes which customers were granted more than their fair
// share.
//
// It handles overload by a single customer that sends many times its usual
// load. Over a sliding window, the capacity of the engines is divided by
// max-min fairness between the customers' demands; the result is each
// customer's fair share. Demand above the fair share is admitted only where
// capacity is left.
//
// # Usage
//
//	window := qlshare.New(qlshare.Config{Span: 4 * time.Second})
//	window.AddDemand(now, customer, cost)
//	window.AddGrant(now, customer, cost)
//	ratio := window.Ratio(now, customer) // above 1: more than its fair share
//	excess := window.Excess(customer)    // above 1: more than by a max-min division of the grants, below 1: less
//
// Ratio says who is above its share of the window, Excess how much those get beside each other.
package qlshare

import (
	"sort"
	"time"
)

const (
	_buckets = 16
	// _recentBuckets is how many of the newest buckets show what customers ask for now.
	_recentBuckets = 4
)

// Config configures a Window.
type Config struct {
	// Span is the length of the window.
	Span time.Duration
	// Capacity is the cost that can be granted per second; 0 when unknown.
	Capacity float64
}

type usage struct {
	demand  [_buckets]float64
	granted [_buckets]float64
}

// Window is a sliding window of the customers' demand and grants. It is not
// safe for concurrent use.
type Window struct {
	config    Config
	customers map[string]*usage
	// currentBucket is the number of the newest bucket, counted from time 0.
	currentBucket int64
	// maxMinLevel, grantedLevel and bucketLevels are the results of computeMaxMinLevel,
	// computeGrantedLevel and computeBucketLevels when levelBucket was the current bucket.
	maxMinLevel  float64
	grantedLevel float64
	bucketLevels [_buckets]float64
	levelBucket  int64
}

// New returns an empty window.
func New(config Config) *Window {
	return &Window{
		config:      config,
		customers:   make(map[string]*usage),
		levelBucket: -1,
	}
}

// SetCapacity sets the cost that can be granted per second.
func (w *Window) SetCapacity(capacity float64) {
	w.config.Capacity = capacity
}

// advance clears the buckets that have left the window, removes customers that
// have none left, and returns the index of the current bucket.
func (w *Window) advance(now time.Duration) int {
	width := max(w.config.Span/_buckets, time.Millisecond)
	index := int64(now / width)
	for step := max(w.currentBucket+1, index-_buckets+1); step <= index; step++ {
		for name, u := range w.customers {
			u.demand[step%_buckets] = 0
			u.granted[step%_buckets] = 0
			if sum(&u.demand) == 0 && sum(&u.granted) == 0 {
				delete(w.customers, name)
			}
		}
	}
	w.currentBucket = max(w.currentBucket, index)
	return int(w.currentBucket % _buckets)
}

func sum(values *[_buckets]float64) float64 {
	total := 0.0
	for _, value := range values {
		total += value
	}
	return total
}

func (w *Window) usageOf(customer string) *usage {
	u := w.customers[customer]
	if u == nil {
		u = &usage{}
		w.customers[customer] = u
	}
	return u
}

// AddDemand adds the cost of a request that arrived.
func (w *Window) AddDemand(now time.Duration, customer string, cost float64) {
	bucket := w.advance(now)
	w.usageOf(customer).demand[bucket] += cost
}

// AddGrant adds the cost of a request that was admitted.
func (w *Window) AddGrant(now time.Duration, customer string, cost float64) {
	bucket := w.advance(now)
	w.usageOf(customer).granted[bucket] += cost
}

// ReturnGrant takes back the cost of a request that was admitted and then did not run.
func (w *Window) ReturnGrant(now time.Duration, customer string, cost float64) {
	w.advance(now)
	u := w.customers[customer]
	if u == nil {
		return
	}
	// The newest buckets first: most such requests end within a second.
	for age := range int64(_buckets) {
		bucket := (w.currentBucket - age + _buckets) % _buckets
		taken := min(u.granted[bucket], cost)
		u.granted[bucket] -= taken
		if cost -= taken; cost <= 0 {
			return
		}
	}
}

// Ratio returns what the customer was granted in the window divided by its
// fair share: its demand or the max-min level, whichever is lower.
func (w *Window) Ratio(now time.Duration, customer string) float64 {
	w.advance(now)
	if w.levelBucket != w.currentBucket {
		w.maxMinLevel = w.computeMaxMinLevel()
		w.levelBucket = w.currentBucket
		w.grantedLevel = w.computeGrantedLevel()
		w.computeBucketLevels()
	}
	u := w.customers[customer]
	if u == nil {
		return 0
	}
	return w.ratio(u)
}

func (w *Window) ratio(u *usage) float64 {
	fairShare := min(w.maxMinLevel, sum(&u.demand))
	if fairShare <= 0 {
		return 0
	}
	return sum(&u.granted) / fairShare
}

// Excess compares what the customer was granted to a max-min division of everything that was
// granted: 1 is an even part; it is 0 if nothing was granted to the customer, and 1 if nothing
// was to anybody.
//
// The division is made in each bucket of the window, so that a customer owes nothing for what
// it was granted while others asked for less, and has no claim from the time when it asked
// for less itself. A customer that asks for less than the level now is to get all of it: its
// result is lower by that part. The levels are computed by Ratio, once in each bucket.
func (w *Window) Excess(customer string) float64 {
	u := w.customers[customer]
	if u == nil {
		return 0
	}
	even, recentDemand, recentLevel := 0.0, 0.0, 0.0
	for bucket, level := range w.bucketLevels {
		even += min(u.demand[bucket], level)
	}
	for age := range int64(_recentBuckets) {
		bucket := (w.currentBucket - age + _buckets) % _buckets
		recentDemand += u.demand[bucket]
		recentLevel += w.bucketLevels[bucket]
	}
	if even <= 0 {
		return 1
	}
	excess := sum(&u.granted) / even
	if recentDemand < recentLevel {
		excess *= recentDemand / recentLevel
	}
	return excess
}

// GrantedLevel returns the highest grant that a customer would have if
// everything that was granted in the window had been divided by max-min
// fairness, as of the last computation by Ratio.
func (w *Window) GrantedLevel() float64 {
	return w.grantedLevel
}

func (w *Window) computeGrantedLevel() float64 {
	granted := 0.0
	for _, u := range w.customers {
		granted += sum(&u.granted)
	}
	return w.maxMin(granted)
}

// computeBucketLevels divides what was granted in each bucket by max-min fairness between the
// demands in it.
func (w *Window) computeBucketLevels() {
	demands := make([]float64, 0, len(w.customers))
	for bucket := range w.bucketLevels {
		demands = demands[:0]
		granted := 0.0
		for _, u := range w.customers {
			demands = append(demands, u.demand[bucket])
			granted += u.granted[bucket]
		}
		w.bucketLevels[bucket] = maxMin(demands, granted)
	}
}

// MaxMinLevel returns the max-min level: the highest fair share that a
// customer can have in the window, as of the last computation by Ratio.
func (w *Window) MaxMinLevel() float64 {
	return w.maxMinLevel
}

// computeMaxMinLevel divides the capacity by max-min fairness: customers that
// demand less than the level get all of their demand, the others get the
// level. Without a known capacity, it divides what was granted.
func (w *Window) computeMaxMinLevel() float64 {
	if w.config.Capacity == 0 {
		return w.computeGrantedLevel()
	}
	return w.maxMin(w.config.Capacity * w.config.Span.Seconds())
}

// maxMin returns the level at which the capacity is divided by max-min
// fairness between the demands in the window.
func (w *Window) maxMin(capacity float64) float64 {
	demands := make([]float64, 0, len(w.customers))
	for _, u := range w.customers {
		demands = append(demands, sum(&u.demand))
	}
	return maxMin(demands, capacity)
}

// maxMin returns the level at which the capacity is divided by max-min fairness between the
// demands, which it sorts; it is the highest demand if all of them fit.
func maxMin(demands []float64, capacity float64) float64 {
	sort.Float64s(demands)
	for i, demand := range demands {
		level := capacity / float64(len(demands)-i)
		if demand >= level {
			return level
		}
		capacity -= demand
	}
	if len(demands) == 0 {
		return 0
	}
	return demands[len(demands)-1]
}

// CustomerState is the state of one customer's window, for dumps.
type CustomerState struct {
	Customer string  `json:"customer"`
	Demand   float64 `json:"asked"`
	Granted  float64 `json:"granted"`
	// Ratio is what was granted divided by the fair share.
	Ratio float64 `json:"ratio"`
	// Excess is the result of Window.Excess.
	Excess float64 `json:"excess"`
}

// State returns the customers with demand or grants in the window, sorted by
// name.
func (w *Window) State() []CustomerState {
	states := make([]CustomerState, 0, len(w.customers))
	for name, u := range w.customers {
		states = append(states, CustomerState{
			Customer: name,
			Demand:   sum(&u.demand),
			Granted:  sum(&u.granted),
			Ratio:    w.ratio(u),
			Excess:   w.Excess(name),
		})
	}
	sort.Slice(states, func(i, j int) bool { return states[i].Customer < states[j].Customer })
	return states
}
