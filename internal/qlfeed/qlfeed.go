// Package qlfeed decides which routers read the platform's store, whom they
// tell, and when a router that is told has to read for itself.
//
// It answers the load on the store: each call has a price, and watches by all
// routers return together at each change. A few readers in each zone watch the
// store and tell the other routers of their zone and the readers elsewhere
// what changed. A router that has heard nothing for a while calls the store
// itself, so that the loss of a reader, or of the way to it, delays a change
// by _staleAfter at most. Nobody is elected: routers with the same view choose
// the same readers, and too many readers cost only calls.
//
// # Usage
//
//	feed := qlfeed.New("r1", "z1")
//	feed.SetRouters(live)
//	feed.Told(now, age)       // a reader told what the store holds
//	if feed.Wait(now) == 0 {} // call the store
//	feed.Answered(now)        // it answered
//	feed.Audience()           // whom to tell then
package qlfeed

import (
	"time"

	"github.com/quetzallane/quetzallane/internal/qlring"
)

const (
	// WatchTimeout is how long a reader's watch waits for a change, and so the
	// time between tellings when there is none.
	WatchTimeout = 700 * time.Millisecond
	// _staleAfter is how long after the last confirmation a router calls the
	// store itself: two lost tellings, and below the two seconds within which
	// a change has to be in force.
	_staleAfter = 1500 * time.Millisecond
	// _served is how many routers a reader tells, which keeps its tellings
	// below 3 KB/s.
	_served = 32
	// _key names the readers in the routers' order.
	_key = "readers"
	// _readerFirst and _otherFirst are the pause after a failed call of a
	// reader, and of a router that others may tell; it doubles up to
	// _readerPause or _otherPause.
	_readerFirst = 100 * time.Millisecond
	_readerPause = 600 * time.Millisecond
	_otherFirst  = 500 * time.Millisecond
	_otherPause  = 2 * time.Second
	// _readFirst and _readMost bound how much longer a read of all documents
	// may take to begin after a call that failed; it doubles from one to the
	// other. A store that a whole fleet reads at once is busy for seconds, and
	// repeats would keep it so.
	_readFirst = 700 * time.Millisecond
	_readMost  = 6 * time.Second
)

// Feed is one router's part. It is not safe for several goroutines.
type Feed struct {
	self    string
	zone    string
	reads   bool
	members []string
	readers []string
	// confirmed is when the documents were last as the store had them, told
	// when a reader last said so.
	confirmed time.Duration
	known     bool
	told      time.Duration
	wasTold   bool
	failures  int
	readWait  time.Duration
}

// New returns the part of a router that knows no other, and so reads.
func New(self, zone string) *Feed {
	return &Feed{
		self:  self,
		zone:  zone,
		reads: true,
	}
}

// SetRouters takes the live routers, this one included, and reports whether
// this one became a reader.
func (f *Feed) SetRouters(live []qlring.Node) bool {
	zones := make(map[string][]qlring.Node)
	for _, node := range live {
		zones[node.Zone()] = append(zones[node.Zone()], node)
	}
	did := f.reads
	f.reads = false
	f.members, f.readers = nil, nil
	for zone, nodes := range zones {
		count := 1 + (len(nodes)-1)/_served
		ranked := qlring.New(nodes).RankBySize(_key)
		readers := ranked[:count]
		for _, reader := range readers {
			if reader.ID() == f.self {
				f.reads = true
				continue
			}
			f.readers = append(f.readers, reader.ID())
		}
		if zone == f.zone {
			f.members = f.served(readers, ranked[count:])
		}
	}
	if !f.reads {
		f.members, f.readers = nil, nil
	}
	return f.reads && !did
}

// served returns those that the readers of the zone leave to this one.
func (f *Feed) served(readers, others []qlring.Node) []string {
	var members []string
	ring := qlring.New(readers)
	for _, node := range others {
		if reader, ok := ring.Owner(node.ID()); ok && reader.ID() == f.self {
			members = append(members, node.ID())
		}
	}
	return members
}

// IsWatcher reports whether this router is a reader.
func (f *Feed) IsWatcher() bool {
	return f.reads
}

// ZoneRecipients returns the routers of the zone that this reader tells.
func (f *Feed) ZoneRecipients() []string {
	return f.members
}

// Recipients returns all routers that this reader tells: its members and the
// other readers.
func (f *Feed) Recipients() []string {
	return append(append([]string(nil), f.members...), f.readers...)
}

// RecordUpdate says that a reader told what the store held so long ago.
func (f *Feed) RecordUpdate(now, age time.Duration) {
	f.confirm(now - age)
	f.told, f.wasTold = max(f.told, now-age), true
}

func (f *Feed) confirm(at time.Duration) {
	f.confirmed, f.known = max(f.confirmed, at), true
}

// RequireCall says that what the readers tell is of no use to this router, which
// therefore calls the store.
func (f *Feed) RequireCall() {
	f.wasTold = false
}

// Age returns how old the last confirmation is.
func (f *Feed) Age(now time.Duration) time.Duration {
	return max(now-f.confirmed, 0)
}

// Fresh reports whether a confirmation is recent.
func (f *Feed) Fresh(now time.Duration) bool {
	return f.known && f.Age(now) < _staleAfter
}

// CallDelay returns how long this router may leave the store to the readers; 0 when
// it has to call now.
func (f *Feed) CallDelay(now time.Duration) time.Duration {
	if f.reads || !f.wasTold {
		return 0
	}
	return max(f.told+_staleAfter-now, 0)
}

// RecordAnswer says that the store answered a call of this router.
func (f *Feed) RecordAnswer(now time.Duration) {
	f.failures, f.readWait = 0, 0
	f.confirm(now)
}

// RecordFullAnswer says that the store sent all documents to this router: it need
// not call again before the readers would have told it.
func (f *Feed) RecordFullAnswer(now time.Duration) {
	f.RecordAnswer(now)
	f.told, f.wasTold = now, true
}

// RecordFailure says that the store did not answer, and returns the pause before the
// next call.
func (f *Feed) RecordFailure() time.Duration {
	pause, most := _otherFirst, _otherPause
	if f.reads {
		pause, most = _readerFirst, _readerPause
	}
	for range f.failures {
		if pause *= 2; pause >= most {
			pause = most
			break
		}
	}
	f.failures++
	f.readWait = min(max(2*f.readWait, _readFirst), _readMost)
	return pause
}

// FullReadDelay returns how long a read of all documents may take to begin, beside
// what a call may.
func (f *Feed) FullReadDelay() time.Duration {
	return f.readWait
}

// StoreUnavailable reports whether the last call of this router failed.
func (f *Feed) StoreUnavailable() bool {
	return f.failures > 0
}
