package qladmission

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// _shareWindow is the sliding window in which requests are counted. It advances in
	// _shareSlots steps.
	_shareWindow = 2 * time.Second
	_shareSlots  = 10
	// _shareMargin times the requests that were placed are passed on, so that the owner hears
	// of more than it grants, and a customer's share can grow.
	_shareMargin = 1.5
	// _minShareRefusals is how many refusals in the window show that a customer is above
	// its share.
	_minShareRefusals = 20
	// _shareRetryDelay is the mean delay before a customer's requests return, divided by the
	// part of them that is passed on, and _maxShareRetryDelay its maximum.
	_shareRetryDelay    = 150 * time.Millisecond
	_maxShareRetryDelay = time.Second
	// _maxShareCustomers bounds the customers that are counted.
	_maxShareCustomers = 4096
)

// ShareLimit refuses requests of customers that are above their fair share of the engines.
//
// It protects the processors of this router, the one that would take the request, and the
// owner of the engines from requests that the owner would refuse. Only the owner knows the
// shares: a customer is limited only after the owner has refused requests of it for that
// reason, to _shareMargin times what the owner has placed. It is safe for concurrent use.
type ShareLimit struct {
	// limiting is set while requests of a customer are refused.
	limiting atomic.Bool

	mu        sync.Mutex
	slot      int64
	customers map[string]*shareCounts
	// limitedAt is when a request was refused last.
	limitedAt time.Duration
}

// IsLimiting reports whether requests of a customer were refused lately.
func (l *ShareLimit) IsLimiting() bool {
	return l.limiting.Load()
}

// shareCounts counts one customer's requests in the window, by slot.
type shareCounts struct {
	received [_shareSlots]float64
	passed   [_shareSlots]float64
	// refused counts those that the owner has refused since the customer is above its share.
	refused [_shareSlots]float64
	// limited is set from the refusals that show that the customer is above its share until
	// there are none.
	limited bool
}

// NewShareLimit returns a limit that knows no customer above its share.
func NewShareLimit() *ShareLimit {
	return &ShareLimit{
		customers: make(map[string]*shareCounts),
	}
}

// Admit counts a customer's request and reports whether it is passed on to the owner. chance
// is a uniform random number in [0, 1).
func (l *ShareLimit) Admit(now time.Duration, customer string, chance float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.counts(now, customer)
	if c == nil {
		return true
	}
	slot := l.slot % _shareSlots
	c.received[slot]++
	if chance >= c.admittedPart() {
		l.limiting.Store(true)
		l.limitedAt = now
		return false
	}
	if now-l.limitedAt > _shareWindow {
		l.limiting.Store(false)
	}
	c.passed[slot]++
	return true
}

// RecordOverShare records that the owner has refused a request of the customer since the
// customer is above its share.
func (l *ShareLimit) RecordOverShare(now time.Duration, customer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.counts(now, customer); c != nil {
		c.refused[l.slot%_shareSlots]++
	}
}

// Withdraw records that a request which Admit has passed on was refused here after that, or
// that its caller left, so that the owner never hears of it.
func (l *ShareLimit) Withdraw(now time.Duration, customer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.counts(now, customer)
	if c == nil {
		return
	}
	if slot := l.slot % _shareSlots; c.passed[slot] > 0 {
		c.passed[slot]--
	}
}

// RetryAfter returns the time after which a refused request of the customer should return:
// the longer, the smaller the part of the customer's requests that the owner places. chance
// is a uniform random number in [0, 1).
func (l *ShareLimit) RetryAfter(now time.Duration, customer string, chance float64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	part := 1.0
	if c := l.counts(now, customer); c != nil {
		part = c.admittedPart()
	}
	delay := min(float64(_shareRetryDelay)/part, float64(_maxShareRetryDelay))
	return time.Duration((0.5 + chance) * delay)
}

// admittedPart returns the part of the customer's requests that is passed on.
func (c *shareCounts) admittedPart() float64 {
	refused := sum(&c.refused)
	c.limited = refused >= _minShareRefusals || c.limited && refused > 0
	if !c.limited {
		return 1
	}
	placed := max(sum(&c.passed)-refused, 1)
	return min(_shareMargin*placed/max(sum(&c.received), 1), 1)
}

// counts returns the customer's counts, or nil if there are too many customers.
func (l *ShareLimit) counts(now time.Duration, customer string) *shareCounts {
	l.advance(now)
	c := l.customers[customer]
	if c == nil && len(l.customers) < _maxShareCustomers {
		c = &shareCounts{}
		l.customers[customer] = c
	}
	return c
}

// advance moves the window to now and drops the counts of slots that left it.
func (l *ShareLimit) advance(now time.Duration) {
	slot := int64(now / (_shareWindow / _shareSlots))
	for step := max(l.slot+1, slot-_shareSlots+1); step <= slot; step++ {
		i := step % _shareSlots
		for name, c := range l.customers {
			c.received[i], c.passed[i], c.refused[i] = 0, 0, 0
			if sum(&c.received) == 0 && sum(&c.refused) == 0 {
				delete(l.customers, name)
			}
		}
	}
	l.slot = max(l.slot, slot)
}

func sum(counts *[_shareSlots]float64) float64 {
	total := 0.0
	for _, count := range counts {
		total += count
	}
	return total
}
