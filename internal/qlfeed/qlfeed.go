// Package qlfeed decides which routers watch the platform's store, which routers
// each watcher notifies, and when a router without recent updates has to call the
// store itself.
//
// It limits the load on the store: each call is charged for, and if all routers
// watched, all watches would return together at each change. A few watchers in each
// zone watch the store and send the changes to the other routers of their zone and
// to the watchers of all zones. A router that has received no update for a while
// calls the store itself, so that the loss of a watcher, or of the connection to it,
// delays a change by at most _staleAfter. There is no election: routers with the
// same view choose the same watchers, and surplus watchers cost nothing but calls.
//
// # Usage
//
//	feed := qlfeed.New("r1", "z1")
//	feed.SetRouters(live)
//	feed.RecordUpdate(now, age)    // a watcher sent the state of the store
//	if feed.CallDelay(now) == 0 {} // call the store
//	feed.RecordAnswer(now)         // the store answered
//	feed.Recipients()              // the routers to notify then
package qlfeed

import (
	"time"

	"github.com/quetzallane/quetzallane/internal/qlring"
)

const (
	// WatchTimeout is how long a watch of the store waits for a change, and so the
	// time between updates if there is none.
	WatchTimeout = 700 * time.Millisecond
	// _staleAfter is how long after the last update a router calls the store
	// itself. It covers two lost updates and is below the two seconds within which
	// a change has to be in force.
	_staleAfter = 1500 * time.Millisecond
	// _routersPerWatcher is how many routers of its zone there are for each
	// watcher. It keeps a watcher's updates below 3 KB/s.
	_routersPerWatcher = 32
	// _watchersKey is the rendezvous hashing key for the choice of watchers.
	_watchersKey = "readers"
	// The pause after a failed call doubles with each further failure, from a
	// minimum to a maximum backoff. It is longer for routers that are not watchers,
	// because a watcher may send them updates.
	_watcherMinBackoff    = 100 * time.Millisecond
	_watcherMaxBackoff    = 600 * time.Millisecond
	_nonWatcherMinBackoff = 500 * time.Millisecond
	_nonWatcherMaxBackoff = 2 * time.Second
	// _minFullReadDelay and _maxFullReadDelay limit the additional time that a read
	// of all documents may take to begin after failed calls. It doubles with each
	// failure. A store that a whole fleet reads at once is busy for seconds, and
	// repeated reads would keep it busy.
	_minFullReadDelay = 700 * time.Millisecond
	_maxFullReadDelay = 6 * time.Second
)

// Feed is the state of one router. It is not safe for concurrent use.
type Feed struct {
	self           string
	zone           string
	isWatcher      bool
	zoneRecipients []string
	otherWatchers  []string
	// confirmedAt is when this router's documents were last known to match the
	// store. updatedAt is the latest such time known from a watcher's update or a
	// read of all documents.
	confirmedAt   time.Duration
	everConfirmed bool
	updatedAt     time.Duration
	hasUpdate     bool
	failures      int
	fullReadDelay time.Duration
}

// New returns the feed of a router that knows no other router and is therefore a
// watcher.
func New(self, zone string) *Feed {
	return &Feed{
		self:      self,
		zone:      zone,
		isWatcher: true,
	}
}

// SetRouters sets the live routers, this one included, and reports whether this one
// became a watcher.
func (f *Feed) SetRouters(live []qlring.Node) bool {
	zones := make(map[string][]qlring.Node)
	for _, node := range live {
		zones[node.Zone()] = append(zones[node.Zone()], node)
	}
	wasWatcher := f.isWatcher
	f.isWatcher = false
	f.zoneRecipients, f.otherWatchers = nil, nil
	for zone, nodes := range zones {
		count := 1 + (len(nodes)-1)/_routersPerWatcher
		ranked := qlring.New(nodes).RankBySize(_watchersKey)
		watchers := ranked[:count]
		for _, watcher := range watchers {
			if watcher.ID() == f.self {
				f.isWatcher = true
				continue
			}
			f.otherWatchers = append(f.otherWatchers, watcher.ID())
		}
		if zone == f.zone {
			f.zoneRecipients = f.assignedRouters(watchers, ranked[count:])
		}
	}
	if !f.isWatcher {
		f.zoneRecipients, f.otherWatchers = nil, nil
	}
	return f.isWatcher && !wasWatcher
}

// assignedRouters returns the routers that this one notifies, when rendezvous hashing
// divides the others of the zone between its watchers.
func (f *Feed) assignedRouters(watchers, others []qlring.Node) []string {
	var assigned []string
	ring := qlring.New(watchers)
	for _, node := range others {
		if watcher, ok := ring.Owner(node.ID()); ok && watcher.ID() == f.self {
			assigned = append(assigned, node.ID())
		}
	}
	return assigned
}

// IsWatcher reports whether this router is a watcher.
func (f *Feed) IsWatcher() bool {
	return f.isWatcher
}

// ZoneRecipients returns the routers of its zone that this watcher notifies.
func (f *Feed) ZoneRecipients() []string {
	return f.zoneRecipients
}

// Recipients returns all routers that this watcher notifies: those of its zone that
// are assigned to it, and the other watchers of all zones.
func (f *Feed) Recipients() []string {
	return append(append([]string(nil), f.zoneRecipients...), f.otherWatchers...)
}

// RecordUpdate records an update from a watcher with the state that the store had at
// the given age before now.
func (f *Feed) RecordUpdate(now, age time.Duration) {
	f.confirm(now - age)
	f.updatedAt, f.hasUpdate = max(f.updatedAt, now-age), true
}

func (f *Feed) confirm(at time.Duration) {
	f.confirmedAt, f.everConfirmed = max(f.confirmedAt, at), true
}

// RequireCall makes this router call the store without waiting for updates, because
// it cannot use the updates of the watchers.
func (f *Feed) RequireCall() {
	f.hasUpdate = false
}

// Age returns the time since this router's documents were last known to match the
// store.
func (f *Feed) Age(now time.Duration) time.Duration {
	return max(now-f.confirmedAt, 0)
}

// Fresh reports whether this router's documents were known to match the store within
// the last _staleAfter.
func (f *Feed) Fresh(now time.Duration) bool {
	return f.everConfirmed && f.Age(now) < _staleAfter
}

// CallDelay returns how long this router may rely on the watchers before it has to
// call the store; 0 if it has to call now.
func (f *Feed) CallDelay(now time.Duration) time.Duration {
	if f.isWatcher || !f.hasUpdate {
		return 0
	}
	return max(f.updatedAt+_staleAfter-now, 0)
}

// RecordAnswer records that the store answered a call of this router.
func (f *Feed) RecordAnswer(now time.Duration) {
	f.failures, f.fullReadDelay = 0, 0
	f.confirm(now)
}

// RecordFullAnswer records that the store sent all documents to this router, which
// then waits for updates of the watchers as after an update.
func (f *Feed) RecordFullAnswer(now time.Duration) {
	f.RecordAnswer(now)
	f.updatedAt, f.hasUpdate = now, true
}

// RecordFailure records that the store did not answer a call and returns the pause
// before the next one.
func (f *Feed) RecordFailure() time.Duration {
	pause, maxPause := _nonWatcherMinBackoff, _nonWatcherMaxBackoff
	if f.isWatcher {
		pause, maxPause = _watcherMinBackoff, _watcherMaxBackoff
	}
	for range f.failures {
		if pause *= 2; pause >= maxPause {
			pause = maxPause
			break
		}
	}
	f.failures++
	f.fullReadDelay = min(max(2*f.fullReadDelay, _minFullReadDelay), _maxFullReadDelay)
	return pause
}

// FullReadDelay returns the additional time that a read of all documents may take to
// begin, beyond the time allowed for any call.
func (f *Feed) FullReadDelay() time.Duration {
	return f.fullReadDelay
}

// StoreUnavailable reports whether the last call of this router failed.
func (f *Feed) StoreUnavailable() bool {
	return f.failures > 0
}
