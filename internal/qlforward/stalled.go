package qlforward

import (
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qlmemory"
)

const (
	// _stalledAfter is how long nothing may come of a body while others need its memory: some
	// times the retransmission timeout of TCP.
	_stalledAfter = time.Second
	// _roomWait limits the wait for the memory of a body that was given up, and _roomPoll is
	// the time between attempts.
	_roomWait = 50 * time.Millisecond
	_roomPoll = 2 * time.Millisecond
)

// bodyList has the readers of bodies that wait for data, for the one that has stalled the longest to make
// room for other requests. It is safe for concurrent use.
type bodyList struct {
	mu     sync.Mutex
	bodies map[*bodyReader]time.Time
}

// record records that a reader awaits data.
func (l *bodyList) record(r *bodyReader, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.bodies == nil {
		l.bodies = make(map[*bodyReader]time.Time)
	}
	l.bodies[r] = now
}

// remove removes a reader that has got data. The deadline of its connection is not changed any
// more then.
func (l *bodyList) remove(r *bodyReader) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.bodies, r)
}

// giveUpStalled ends the body that has stalled the longest, and reports whether there was one.
// Its request has not been sent.
func (l *bodyList) giveUpStalled(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	var stalled *bodyReader
	since := now.Add(-_stalledAfter)
	for r, at := range l.bodies {
		if !at.After(since) {
			stalled, since = r, at
		}
	}
	if stalled == nil {
		return false
	}
	delete(l.bodies, stalled)
	return stalled.controller.SetReadDeadline(now) == nil
}

// reserve sets the memory of a request. If there is no room, it gives up a stalled body for it.
func (f *Forwarder) reserve(holding *qlmemory.Holding, bytes int) error {
	err := holding.Set(bytes)
	if err == nil || !f.bodies.giveUpStalled(time.Now()) {
		return err
	}
	for end := time.Now().Add(_roomWait); errors.Is(err, qlmemory.ErrUsedUp) && time.Now().Before(end); {
		time.Sleep(_roomPoll)
		err = holding.Set(bytes)
	}
	return err
}
