// Package qlbudget limits retries, so that failures do not multiply the load.
//
// The limit is one for the fleet: in each window, a ratio of the requests
// plus an allowance. Each router uses the ratio of the requests that it sees
// itself and an even share of the allowance. Thus the limit holds for all
// routers together without messages between them, however callers are spread.
//
// # Usage
//
//	budget := qlbudget.New(qlbudget.Config{Ratio: 0.2, Window: 10 * time.Second, Allowance: 54})
//	budget.RecordRequest(now)
//	if budget.Take(now, routers) { send again }
package qlbudget

import "time"

const (
	_buckets = 20
	// _usableShare is the share of the limit that is used. The rest is a
	// reserve, since the windows of different routers do not start together.
	_usableShare = 0.8
)

// Config configures a Budget.
type Config struct {
	// Ratio is the number of retries allowed for each request.
	Ratio  float64
	Window time.Duration
	// Allowance is the number of retries in a window that the fleet may make
	// beyond the ratio.
	Allowance float64
}

// Budget is one router's share of the limit for one service. It is not safe
// for concurrent use.
type Budget struct {
	config        Config
	requests      [_buckets]float64
	retries       [_buckets]float64
	currentBucket int64
}

// New returns a budget without recorded requests.
func New(config Config) *Budget {
	return &Budget{
		config: config,
	}
}

func (b *Budget) advance(now time.Duration) int {
	width := max(b.config.Window/_buckets, time.Millisecond)
	index := int64(now / width)
	for step := max(b.currentBucket+1, index-_buckets+1); step <= index; step++ {
		b.requests[step%_buckets] = 0
		b.retries[step%_buckets] = 0
	}
	b.currentBucket = max(b.currentBucket, index)
	return int(b.currentBucket % _buckets)
}

// RecordRequest counts the first send of a request.
func (b *Budget) RecordRequest(now time.Duration) {
	b.requests[b.advance(now)]++
}

// Take reports whether a request may be sent again, and counts the retry if
// so. The allowance is divided by routers, the number of routers in the
// fleet.
func (b *Budget) Take(now time.Duration, routers int) bool {
	bucket := b.advance(now)
	requests, retries := 0.0, 0.0
	for i := range _buckets {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	bound := _usableShare * (b.config.Ratio*requests + b.config.Allowance/float64(max(routers, 1)))
	if retries+1 > bound {
		return false
	}
	b.retries[bucket]++
	return true
}
