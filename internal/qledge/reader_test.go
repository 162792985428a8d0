package qledge

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlfeed"
	"github.com/quetzallane/quetzallane/internal/qlfleetwire"
	"github.com/quetzallane/quetzallane/internal/qlloopbacktest"
	"github.com/quetzallane/quetzallane/internal/qlsetting"
)

func TestStoreChangesAreApplied(t *testing.T) {
	store := newFakeStore()
	r := startEdge(t, "r1", store, nil)
	r.awaitState(t, "1 u1")
	store.put("u2")
	store.commit(func() { store.config = store.revision })
	r.awaitState(t, "12 u1 u2")
	store.remove("u1")
	r.awaitState(t, "12 u2")
}

func TestOlderOrInvalidConfigurationIsIgnored(t *testing.T) {
	store := newFakeStore()
	store.config = 8
	r := startEdge(t, "r1", store, nil)
	r.awaitState(t, "8 u1")
	r.edge.fleet.Call(func(time.Duration) {
		r.edge.adoptConfiguration([]byte("7"), "test")
		r.edge.adoptConfiguration([]byte("no number"), "test")
	})
	r.awaitState(t, "8 u1")
}

// TestPanicOverTheStoresDocumentsEndsNothing has the store's client panic in a watch, and
// the decoder of an entry panic. The router must go on, and have later changes in force.
func TestPanicOverTheStoresDocumentsEndsNothing(t *testing.T) {
	store := newFakeStore()
	r := startEdge(t, "r1", store, nil)
	r.awaitState(t, "1 u1")
	store.withLock(func() { store.watchPanics = true })
	store.put("u2")
	r.awaitState(t, "1 u1 u2")
	store.put("panic")
	time.Sleep(100 * time.Millisecond)
	store.remove("panic")
	store.put("u3")
	r.awaitState(t, "1 u1 u2 u3")
}

func TestLostHistoryCausesFullRead(t *testing.T) {
	store := newFakeStore()
	r := startEdge(t, "r1", store, nil)
	r.awaitState(t, "1 u1")
	// The store keeps no event of this change, so only a read of all documents
	// shows it.
	store.commit(func() {
		store.upstreams["u3"] = store.revision
		store.historyLost = true
	})
	r.awaitState(t, "1 u1 u3")
}

// TestHangingWatchTimesOut guards against watches that get no answer: such a
// watch once hid a change for more than six seconds.
func TestHangingWatchTimesOut(t *testing.T) {
	store := newFakeStore()
	r := startEdge(t, "r1", store, nil)
	r.awaitState(t, "1 u1")
	store.withLock(func() { store.watchesHang = true })
	time.Sleep(50 * time.Millisecond)
	store.commit(func() { store.config = store.revision })
	time.Sleep(qlfeed.WatchTimeout)
	store.withLock(func() { store.watchesHang = false })
	began := time.Now()
	r.awaitState(t, "11 u1")
	if took := time.Since(began); took > _replyTimeout+_maxPause+qlfeed.WatchTimeout {
		t.Errorf("change applied %v after the store answers again, want it sooner", took)
	}
}

func TestUndecodableEntryIsIgnored(t *testing.T) {
	store := newFakeStore()
	r := startEdge(t, "r1", store, nil)
	r.awaitState(t, "1 u1")
	store.commit(func() {
		store.events = append(store.events, Item{
			ID:       "u9",
			Value:    []byte("bad"),
			Position: store.at(store.revision),
		})
	})
	store.put("u2")
	r.awaitState(t, "1 u1 u2")
}

func TestExpiredUpstreamsAreKeptAfterAnOutage(t *testing.T) {
	store := newFakeStore()
	r := startEdge(t, "r1", store, nil)
	r.awaitState(t, "1 u1")
	store.withLock(func() { store.down = true })
	// Wait for the watch to fail before the store returns.
	for unavailable := false; !unavailable; time.Sleep(time.Millisecond) {
		r.edge.fleet.Call(func(now time.Duration) { unavailable = !r.edge.catalog.InSync(now) })
	}
	store.remove("u1")
	store.withLock(func() { store.down = false })
	time.Sleep(2 * _maxPause)
	if got, want := r.state(), "1 u1"; got != want {
		t.Errorf("just after the outage: got %q, want %q", got, want)
	}
	r.awaitState(t, "1")
}

func TestRouterWithoutStoreLearnsFromAnother(t *testing.T) {
	store := newFakeStore()
	first := startEdge(t, "r1", store, nil)
	first.awaitState(t, "1 u1")
	downStore := newFakeStore()
	downStore.down = true
	_, port, err := net.SplitHostPort(first.peers)
	if err != nil {
		t.Fatal(err)
	}
	second := startEdge(t, "r2", downStore, func(settings *qlsetting.Edge) {
		settings.PeerAddress = net.JoinHostPort(qlloopbacktest.IP(2), port)
		settings.Seeds = []string{qlloopbacktest.IP(1) + ":1"}
	})
	second.awaitState(t, "1 u1")
	store.commit(func() { store.config = store.revision })
	store.put("u2")
	second.awaitState(t, "11 u1 u2")
	store.remove("u1")
	second.awaitState(t, "11 u2")
}

// TestFewCallsToTheStore counts the store calls of routers that receive a
// watcher's updates.
func TestFewCallsToTheStore(t *testing.T) {
	store, recipientStore := newFakeStore(), newFakeStore()
	fleet := startFleet(t, store, recipientStore, recipientStore, recipientStore)
	time.Sleep(qlfeed.WatchTimeout)
	before := 0
	recipientStore.withLock(func() { before = recipientStore.watches + recipientStore.reads })
	for i := range 5 {
		store.put(fmt.Sprintf("u%d", i+2))
		time.Sleep(300 * time.Millisecond)
	}
	store.commit(func() { store.config = store.revision })
	store.remove("u3")
	for _, r := range fleet {
		r.awaitState(t, "16 u1 u2 u4 u5 u6")
	}
	recipientStore.withLock(func() {
		if got := recipientStore.watches + recipientStore.reads - before; got != 0 {
			t.Errorf("calls by routers that receive updates: got %d, want none", got)
		}
	})
}

// TestRoutersCallStoreAfterWatcherStops stops the watcher: the other routers
// must call the store themselves, and have a change in force within the
// required time.
func TestRoutersCallStoreAfterWatcherStops(t *testing.T) {
	store, recipientStore := newFakeStore(), newFakeStore()
	fleet := startFleet(t, store, recipientStore)
	if err := fleet[0].stop(); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	recipientStore.commit(func() { recipientStore.config = recipientStore.revision })
	fleet[1].awaitState(t, "11 u1")
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("in force after %v, want 2s at most", took)
	}
}

// TestMissedUpdateCausesFetch sends an update that begins after changes which
// its receiver has missed.
func TestMissedUpdateCausesFetch(t *testing.T) {
	store := newFakeStore()
	fleet := startFleet(t, store, newFakeStore())
	fleet[0].edge.fleet.Call(func(now time.Duration) {
		e := fleet[0].edge
		e.applyItems(now, []Item{
			{
				ID:       "u2",
				Value:    []byte("u2"),
				Position: at(19),
			},
			{
				ID:       "u1",
				Position: at(20),
				Deleted:  true,
			},
		}, "test")
		e.catalog.Advance(at(20))
		e.sendChanges(now, []Item{{
			ID:       "u3",
			Value:    []byte("u3"),
			Position: at(21),
		}}, at(20), at(21))
	})
	fleet[1].awaitState(t, "1 u2")
}

// receiveUpdateOfU2 has the router receive another watcher's update about
// upstream u2.
func (r *runningEdge) receiveUpdateOfU2() {
	r.edge.fleet.Call(func(now time.Duration) {
		r.edge.receiveUpdate(now, "", &qlfleetwire.Update{
			Era:      1,
			After:    10,
			Revision: 30,
			Settled:  true,
			Items: []*qlfleetwire.Item{{
				Id:       "u2",
				Value:    []byte("u2"),
				Revision: 30,
			}},
		})
	})
}

// TestWatcherForwardsUpdatesOfOtherWatchers checks that a watcher's recipients
// reach its revision by another watcher's update, since the next update of
// their own watcher begins there.
func TestWatcherForwardsUpdatesOfOtherWatchers(t *testing.T) {
	fleet := startFleet(t, newFakeStore(), newFakeStore())
	fleet[0].receiveUpdateOfU2()
	fleet[1].awaitState(t, "1 u1 u2")
	fleet[1].edge.fleet.Call(func(time.Duration) {
		if got, want := fleet[1].edge.catalog.Position(), at(30); got != want {
			t.Errorf("revision of the recipient: got %v, want %v", got, want)
		}
	})
}

// TestManyChangesNeedSeveralUpdates makes changes that need several datagrams,
// then adds a document that fits in none.
func TestManyChangesNeedSeveralUpdates(t *testing.T) {
	store := newFakeStore()
	fleet := startFleet(t, store, newFakeStore())
	long := strings.Repeat("x", 200)
	ids := []string{"u1"}
	store.commit(func() {
		for i := range 40 {
			store.revision++
			ids = append(ids, fmt.Sprintf("v%02d-%s", i, long))
			store.upstreams[ids[i+1]] = store.revision
			store.events = append(store.events, Item{
				ID:       ids[i+1],
				Value:    []byte(ids[i+1]),
				Position: store.at(store.revision),
			})
		}
	})
	fleet[1].awaitCount(t, len(ids))
	store.put("w" + strings.Repeat(long, _maxUpdateBytes/len(long)+1))
	fleet[1].awaitCount(t, len(ids)+1)
}

// TestWatcherWithoutStoreForwardsUpdates has the store fail for a watcher,
// which must forward the update of another zone's watcher to its own zone.
func TestWatcherWithoutStoreForwardsUpdates(t *testing.T) {
	store, recipientStore := newFakeStore(), newFakeStore()
	fleet := startFleet(t, store, recipientStore)
	store.withLock(func() { store.down = true })
	for unavailable := false; !unavailable; time.Sleep(time.Millisecond) {
		fleet[0].edge.fleet.Call(func(time.Duration) { unavailable = fleet[0].edge.feed.StoreUnavailable() })
	}
	fleet[0].receiveUpdateOfU2()
	fleet[1].awaitState(t, "1 u1 u2")
}

// TestSlowFullReadIsRarelyRepeated has the store take longer to begin its
// answer than a call usually waits: the router must wait longer instead of
// repeating the read many times.
func TestSlowFullReadIsRarelyRepeated(t *testing.T) {
	store := newFakeStore()
	store.readStartDelay = 3 * time.Second
	r := startEdge(t, "r1", store, nil)
	r.awaitState(t, "1 u1")
	if got, want := store.reads, 4; got > want {
		t.Errorf("reads of all documents: got %d, want %d at most", got, want)
	}
}

// TestFetchReplyWithoutListKeepsUpstreams has a router fetch from one that has
// the same list, as happens if only the configuration there is newer, and that
// gets no answers from the store. The reply then holds no list, and the
// upstreams must stay.
func TestFetchReplyWithoutListKeepsUpstreams(t *testing.T) {
	r := startEdge(t, "r1", newFakeStore(), nil)
	r.awaitState(t, "1 u1")
	r.edge.fleet.Call(func(now time.Duration) {
		request := r.edge.newFetchRequest()
		r.edge.applyFetchReply(now, "r2", request, &qlfleetwire.FetchReply{
			Era:          request.GetEra(),
			ListRevision: request.GetListRevision(),
			Settled:      true,
		})
	})
	r.awaitState(t, "1 u1")
	if got, want := r.state(), "1 u1"; got != want {
		t.Errorf("documents in force: got %q, want %q", got, want)
	}
}

// TestIncompleteListIsFetchedAgain guards against a router that never becomes ready: the store
// fails for all others when it starts, so that the list which it gets is not known to be
// complete, it never reaches the store itself, and being its zone's only watcher it gets no updates.
func TestIncompleteListIsFetchedAgain(t *testing.T) {
	store, none := newFakeStore(), newFakeStore()
	none.down = true
	fleet := startSizedFleet(t, []float64{0.5}, store)
	first := fleet[0]
	first.awaitState(t, "1 u1")
	store.withLock(func() { store.down = true })
	for fresh := true; fresh; time.Sleep(time.Millisecond) {
		first.edge.fleet.Call(func(now time.Duration) { fresh = first.edge.feed.Fresh(now) })
	}
	_, port, err := net.SplitHostPort(first.edge.settings.PeerAddress)
	if err != nil {
		t.Fatal(err)
	}
	second := startEdge(t, "r2", none, func(settings *qlsetting.Edge) {
		settings.PeerAddress = net.JoinHostPort(qlloopbacktest.IP(2), port)
		settings.Seeds = []string{qlloopbacktest.IP(1) + ":1"}
		settings.ProcessorFraction = 1
	})
	second.awaitState(t, "1 u1")
	store.withLock(func() { store.down = false })
	for end := time.Now().Add(4 * time.Second); !second.edge.documentsLoaded.Load(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the router has no complete list 4 s after the store is back for the other one")
		}
	}
}
