// Package qlbudget bounds repeated sends, so that failures do not multiply
// load.
//
// The bound is one for the fleet: in each window a ratio of the requests plus
// an allowance. Each router takes the ratio of the requests that it sees
// itself and an even part of the allowance, so the sum holds without
// messages, however callers are spread.
//
// # Usage
//
//	budget := qlbudget.New(qlbudget.Config{Ratio: 0.2, Window: 10 * time.Second, Allowance: 54})
//	budget.Request(now)
//	if budget.Take(now, routers) { send again }
package qlbudget

import "time"

const (
	_buckets = 20
	// _margin is the part of the bound that is used, since windows of
	// different routers do not start together.
	_margin = 0.8
)

// Config configures a Budget.
type Config struct {
	// Ratio is repeats for each request.
	Ratio  float64
	Window time.Duration
	// Allowance is the fleet's repeats in a window beside the ratio.
	Allowance float64
}

// Budget is one service's part at one router. It is not safe for several
// goroutines.
type Budget struct {
	config   Config
	requests [_buckets]float64
	repeats  [_buckets]float64
	current  int64
}

// New returns a budget without history.
func New(config Config) *Budget {
	return &Budget{
		config: config,
	}
}

func (b *Budget) advance(now time.Duration) int {
	width := max(b.config.Window/_buckets, time.Millisecond)
	index := int64(now / width)
	for step := max(b.current+1, index-_buckets+1); step <= index; step++ {
		b.requests[step%_buckets] = 0
		b.repeats[step%_buckets] = 0
	}
	b.current = max(b.current, index)
	return int(b.current % _buckets)
}

// Request counts a request's first send.
func (b *Budget) Request(now time.Duration) {
	b.requests[b.advance(now)]++
}

// Take reports whether a request may be sent once more, and counts it if so.
func (b *Budget) Take(now time.Duration, routers int) bool {
	bucket := b.advance(now)
	requests, repeats := 0.0, 0.0
	for i := range _buckets {
		requests += b.requests[i]
		repeats += b.repeats[i]
	}
	bound := _margin * (b.config.Ratio*requests + b.config.Allowance/float64(max(routers, 1)))
	if repeats+1 > bound {
		return false
	}
	b.repeats[bucket]++
	return true
}
