package qlfleet

import (
	"sync"
	"time"
)

// echo measures how long received datagrams wait until this process reads them,
// by datagrams that a router sends to itself. Timers do not show this delay:
// the runtime runs those that are due before it asks the kernel for sockets
// that are ready, and the datagrams wait in the kernel.
type echo struct {
	mu           sync.Mutex
	inFlight     bool
	sentAt       time.Duration
	lastDuration time.Duration
}

// startIfDue reports whether to send a datagram now, and if so records it as in
// flight. One in flight that does not return is given up after _echoTimeout.
func (e *echo) startIfDue(now time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now-e.sentAt < _echoInterval || e.inFlight && now-e.sentAt < _echoTimeout {
		return false
	}
	e.sentAt, e.inFlight = now, true
	return true
}

// finish records the return of the datagram that was sent at the given time,
// unless that one was given up.
func (e *echo) finish(now, sent time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.inFlight && sent == e.sentAt {
		e.inFlight, e.lastDuration = false, now-sent
	}
}

// lag returns the time that the last datagram took, or the time since the one
// in flight was sent if that is longer.
func (e *echo) lag(now time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.inFlight {
		return max(e.lastDuration, now-e.sentAt)
	}
	return e.lastDuration
}
