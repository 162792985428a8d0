package qlfleet

import (
	"sync"
	"time"
)

// echo measures how long what came waits to be read, by datagrams that a router
// sends to itself. Timers do not show it: the runtime looks at them before it
// asks the kernel for sockets that are ready, and those wait in the kernel.
type echo struct {
	mu     sync.Mutex
	out    bool
	sentAt time.Duration
	last   time.Duration
}

// begin reports whether it is time to send one.
func (e *echo) begin(now time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now-e.sentAt < _echoInterval || e.out && now-e.sentAt < _echoLost {
		return false
	}
	e.sentAt, e.out = now, true
	return true
}

// end takes one that came back.
func (e *echo) end(now, sent time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.out && sent == e.sentAt {
		e.out, e.last = false, now-sent
	}
}

// lag returns the time that the last one took, or that the one under way has
// been out if that is longer.
func (e *echo) lag(now time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.out {
		return max(e.last, now-e.sentAt)
	}
	return e.last
}
