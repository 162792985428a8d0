package qledge

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlfeed"
	"github.com/quetzallane/quetzallane/internal/qlfleetwire"
	"github.com/quetzallane/quetzallane/internal/qlsetting"
)

func TestDocumentsAreFollowed(t *testing.T) {
	store := newFakeStore()
	r := start(t, "r1", store, nil)
	r.await(t, "1 u1")
	store.put("u2")
	store.change(func() { store.config = store.revision })
	r.await(t, "12 u1 u2")
	store.remove("u1")
	r.await(t, "12 u2")
}

func TestConfigurationOnlyGoesForward(t *testing.T) {
	store := newFakeStore()
	store.config = 8
	r := start(t, "r1", store, nil)
	r.await(t, "8 u1")
	r.edge.fleet.Call(func(time.Duration) {
		r.edge.adoptConfiguration([]byte("7"), "test")
		r.edge.adoptConfiguration([]byte("no number"), "test")
	})
	r.await(t, "8 u1")
}

func TestLostHistoryIsReadWhole(t *testing.T) {
	store := newFakeStore()
	r := start(t, "r1", store, nil)
	r.await(t, "1 u1")
	// The events are gone, so only a whole read can tell.
	store.change(func() {
		store.upstreams["u3"] = store.revision
		store.lost = true
	})
	r.await(t, "1 u1 u3")
}

// TestDeafWatchIsFoundOut plays the fault by which a watch that got no answer
// hid a change for more than six seconds.
func TestDeafWatchIsFoundOut(t *testing.T) {
	store := newFakeStore()
	r := start(t, "r1", store, nil)
	r.await(t, "1 u1")
	store.set(func() { store.deaf = true })
	time.Sleep(50 * time.Millisecond)
	store.change(func() { store.config = store.revision })
	time.Sleep(qlfeed.WatchTimeout)
	store.set(func() { store.deaf = false })
	began := time.Now()
	r.await(t, "11 u1")
	if took := time.Since(began); took > _replyTimeout+_mostPause+qlfeed.WatchTimeout {
		t.Errorf("taken %v after the store answers again, want it sooner", took)
	}
}

func TestEntryThatCannotBeReadNamesNoUpstream(t *testing.T) {
	store := newFakeStore()
	r := start(t, "r1", store, nil)
	r.await(t, "1 u1")
	store.change(func() {
		store.events = append(store.events, Item{
			ID:       "u9",
			Value:    []byte("bad"),
			Revision: store.revision,
		})
	})
	store.put("u2")
	r.await(t, "1 u1 u2")
}

func TestLapsedUpstreamsAreKeptThroughAnOutage(t *testing.T) {
	store := newFakeStore()
	r := start(t, "r1", store, nil)
	r.await(t, "1 u1")
	store.set(func() { store.down = true })
	// The watch fails before the store returns.
	for away := false; !away; time.Sleep(time.Millisecond) {
		r.edge.fleet.Call(func(now time.Duration) { away = !r.edge.catalog.InSync(now) })
	}
	store.remove("u1")
	store.set(func() { store.down = false })
	time.Sleep(2 * _mostPause)
	if got, want := r.state(), "1 u1"; got != want {
		t.Errorf("just after the outage: got %q, want %q", got, want)
	}
	r.await(t, "1")
}

func TestRouterHearsFromAnother(t *testing.T) {
	store := newFakeStore()
	first := start(t, "r1", store, nil)
	first.await(t, "1 u1")
	away := newFakeStore()
	away.down = true
	_, port, err := net.SplitHostPort(first.peers)
	if err != nil {
		t.Fatal(err)
	}
	second := start(t, "r2", away, func(settings *qlsetting.Edge) {
		settings.PeerAddress = net.JoinHostPort(loopback(2), port)
		settings.Seeds = []string{loopback(1) + ":1"}
	})
	second.await(t, "1 u1")
	store.change(func() { store.config = store.revision })
	store.put("u2")
	second.await(t, "11 u1 u2")
	store.remove("u1")
	second.await(t, "11 u2")
}

// TestFewCallsToTheStore counts the calls of routers that a reader tells.
func TestFewCallsToTheStore(t *testing.T) {
	store, other := newFakeStore(), newFakeStore()
	fleet := startFleet(t, store, other, other, other)
	time.Sleep(qlfeed.WatchTimeout)
	before := 0
	other.set(func() { before = other.watches + other.reads })
	for i := range 5 {
		store.put(fmt.Sprintf("u%d", i+2))
		time.Sleep(300 * time.Millisecond)
	}
	store.change(func() { store.config = store.revision })
	store.remove("u3")
	for _, r := range fleet {
		r.await(t, "16 u1 u2 u4 u5 u6")
	}
	other.set(func() {
		if got := other.watches + other.reads - before; got != 0 {
			t.Errorf("calls by routers that are told: got %d, want none", got)
		}
	})
}

// TestSilentReaderIsMadeUpFor has a reader stop telling: the others call the
// store themselves before a change is due.
func TestSilentReaderIsMadeUpFor(t *testing.T) {
	store, other := newFakeStore(), newFakeStore()
	fleet := startFleet(t, store, other)
	if err := fleet[0].stop(); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	other.change(func() { other.config = other.revision })
	fleet[1].await(t, "11 u1")
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("in force after %v, want 2s at most", took)
	}
}

// TestGapInTheUpdatesIsFetched has a router miss a change and hear of the next.
func TestGapInTheUpdatesIsFetched(t *testing.T) {
	store := newFakeStore()
	fleet := startFleet(t, store, newFakeStore())
	fleet[0].edge.fleet.Call(func(now time.Duration) {
		e := fleet[0].edge
		e.apply(now, []Item{
			{
				ID:       "u2",
				Value:    []byte("u2"),
				Revision: 19,
			},
			{
				ID:       "u1",
				Revision: 20,
				Deleted:  true,
			},
		}, "test")
		e.catalog.Advance(20)
		e.tell(now, []Item{{
			ID:       "u3",
			Value:    []byte("u3"),
			Revision: 21,
		}}, 20, 21)
	})
	fleet[1].await(t, "1 u2")
}

// hearOfU2 has the router take another reader's update of upstream u2.
func (r *running) hearOfU2() {
	r.edge.fleet.Call(func(now time.Duration) {
		r.edge.takeUpdate(now, "", &qlfleetwire.Update{
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

// TestReaderPassesOtherReadersUpdatesOn: what the reader tells next begins where
// it stands, so its members must stand there, too.
func TestReaderPassesOtherReadersUpdatesOn(t *testing.T) {
	fleet := startFleet(t, newFakeStore(), newFakeStore())
	fleet[0].hearOfU2()
	fleet[1].await(t, "1 u1 u2")
	fleet[1].edge.fleet.Call(func(time.Duration) {
		if got, want := fleet[1].edge.catalog.Revision(), uint64(30); got != want {
			t.Errorf("revision of the member: got %d, want %d", got, want)
		}
	})
}

// TestManyChangesAtOnce needs several datagrams, and a document that fits none.
func TestManyChangesAtOnce(t *testing.T) {
	store := newFakeStore()
	fleet := startFleet(t, store, newFakeStore())
	long := strings.Repeat("x", 200)
	ids := []string{"u1"}
	store.change(func() {
		for i := range 40 {
			store.revision++
			ids = append(ids, fmt.Sprintf("v%02d-%s", i, long))
			store.upstreams[ids[i+1]] = store.revision
			store.events = append(store.events, Item{
				ID:       ids[i+1],
				Value:    []byte(ids[i+1]),
				Revision: store.revision,
			})
		}
	})
	fleet[1].awaitCount(t, len(ids))
	store.put("w" + strings.Repeat(long, _updateBytes/len(long)+1))
	fleet[1].awaitCount(t, len(ids)+1)
}

// TestBlindReaderPassesUpdatesOn has the store turn a reader away; it hears from
// the reader of another zone, and tells its own.
func TestBlindReaderPassesUpdatesOn(t *testing.T) {
	store, other := newFakeStore(), newFakeStore()
	fleet := startFleet(t, store, other)
	store.set(func() { store.down = true })
	for away := false; !away; time.Sleep(time.Millisecond) {
		fleet[0].edge.fleet.Call(func(time.Duration) { away = fleet[0].edge.feed.StoreUnavailable() })
	}
	fleet[0].hearOfU2()
	fleet[1].await(t, "1 u1 u2")
}

// TestBusyStoreIsWaitedFor has the store take longer to begin an answer than a
// call usually waits.
func TestBusyStoreIsWaitedFor(t *testing.T) {
	store := newFakeStore()
	store.busy = 3 * time.Second
	r := start(t, "r1", store, nil)
	r.await(t, "1 u1")
	if got, most := store.reads, 4; got > most {
		t.Errorf("whole reads: got %d, want %d at most", got, most)
	}
}

// TestReplyWithoutAListEmptiesNone has a router that knows a newer configuration
// and the same list answer a fetch while the store tells it nothing.
func TestReplyWithoutAListEmptiesNone(t *testing.T) {
	r := start(t, "r1", newFakeStore(), nil)
	r.await(t, "1 u1")
	r.edge.fleet.Call(func(now time.Duration) {
		request := r.edge.lacking()
		r.edge.takeReply(now, "r2", request, &qlfleetwire.FetchReply{
			ListRevision: request.GetListRevision(),
			Settled:      true,
		})
	})
	r.await(t, "1 u1")
	if got, want := r.state(), "1 u1"; got != want {
		t.Errorf("documents in force: got %q, want %q", got, want)
	}
}
