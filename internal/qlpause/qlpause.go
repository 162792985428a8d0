// Package qlpause remembers to which upstreams a router sends no requests at present,
// because their answers say so.
//
// An upstream that is leaving says so in all its answers, often before the platform's list
// does. One that turns a request away may ask for a pause: it wants nothing from this router
// for some time. Neither is a failure of the upstream. What one router was told says nothing
// about the pauses of others, and a router that has restarted knows of none: it learns them
// from the next answers. The platform's list decides about upstreams that it says are gone;
// an upstream that has started again is another one.
//
// # Usage
//
//	table := qlpause.New()
//	table.Pause(now, qlpause.Upstream{ID: "i-1", StartMillis: start}, 5*time.Second)
//	if table.IsPaused(now, upstream) { chooseAnother() }
package qlpause

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// MaxPause bounds a pause. An upstream that asks for longer is asked again then: a
	// faulty one must not take itself out for good.
	MaxPause = time.Minute
	// _leavingFor is how long an upstream that says it is leaving gets no requests. It is
	// longer than any leaves the platform's list late.
	_leavingFor = 10 * time.Minute
	// _maxPaused bounds the table. There are no more upstreams in one region.
	_maxPaused = 10_000
)

// Upstream identifies one start of an upstream.
type Upstream struct {
	ID          string
	StartMillis int64
}

// pause is why and until when an upstream gets no requests.
type pause struct {
	until   time.Duration
	leaving bool
}

// Table holds the pauses. It is safe for concurrent use.
type Table struct {
	// count is the number of entries, for a check without the lock.
	count  atomic.Int64
	mu     sync.Mutex
	pauses map[Upstream]pause
}

// New returns an empty table.
func New() *Table {
	return &Table{
		pauses: make(map[Upstream]pause),
	}
}

// Pause records that an upstream wants no requests for the time, of which MaxPause counts
// at most. It reports whether the upstream was not paused before.
func (t *Table) Pause(now time.Duration, upstream Upstream, wait time.Duration) (isNew bool) {
	return t.put(now, upstream, pause{
		until: now + min(wait, MaxPause),
	})
}

// MarkLeaving records that an upstream is leaving. It reports whether that is news.
func (t *Table) MarkLeaving(now time.Duration, upstream Upstream) (isNew bool) {
	return t.put(now, upstream, pause{
		until:   now + _leavingFor,
		leaving: true,
	})
}

func (t *Table) put(now time.Duration, upstream Upstream, next pause) (isNew bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	last, known := t.pauses[upstream]
	known = known && now < last.until
	if !known && len(t.pauses) >= _maxPaused {
		t.prune(now)
		if len(t.pauses) >= _maxPaused {
			return false
		}
	}
	if known && last.until > next.until {
		next.until = last.until
	}
	isNew = !known || next.leaving && !last.leaving
	next.leaving = next.leaving || known && last.leaving
	t.pauses[upstream] = next
	t.count.Store(int64(len(t.pauses)))
	return isNew
}

// prune removes the pauses that are over. The caller holds the lock.
func (t *Table) prune(now time.Duration) {
	for upstream, p := range t.pauses {
		if now >= p.until {
			delete(t.pauses, upstream)
		}
	}
	t.count.Store(int64(len(t.pauses)))
}

// Prune removes the pauses that are over.
func (t *Table) Prune(now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(now)
}

// IsEmpty reports whether no upstream is paused, without a lock. It may be false although
// all pauses are over.
func (t *Table) IsEmpty() bool {
	return t.count.Load() == 0
}

// IsPaused reports whether an upstream gets no requests at present.
func (t *Table) IsPaused(now time.Duration, upstream Upstream) bool {
	left, _ := t.Left(now, upstream)
	return left > 0
}

// Left returns for how long an upstream gets no requests, and whether that is because it is
// leaving.
func (t *Table) Left(now time.Duration, upstream Upstream) (left time.Duration, leaving bool) {
	if t.IsEmpty() {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.pauses[upstream]
	if !ok || now >= p.until {
		return 0, false
	}
	return p.until - now, p.leaving
}

// State is a pause for state dumps.
type State struct {
	ID      string `json:"id"`
	Leaving bool   `json:"leaving"`
	Left    string `json:"left"`
}

// State returns the pauses in force.
func (t *Table) State(now time.Duration) []State {
	t.mu.Lock()
	defer t.mu.Unlock()
	states := make([]State, 0, len(t.pauses))
	for upstream, p := range t.pauses {
		if now < p.until {
			states = append(states, State{
				ID:      upstream.ID,
				Leaving: p.leaving,
				Left:    (p.until - now).String(),
			})
		}
	}
	return states
}
