package qledge

import (
	"net"
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlfleetwire"
	"github.com/quetzallane/quetzallane/internal/qlloopbacktest"
	"github.com/quetzallane/quetzallane/internal/qlsetting"
)

// _eraWait is how long a router may take to apply what another one or the store tells it of
// a new era, the grace period not included.
const _eraWait = time.Second

// TestRemovalsAfterRestorationReachAllRouters guards against a router that compares revisions
// of two eras: the store returns from a copy twice in a row, and a removal has a lower
// revision than the list in force. One router reads the store, one hears of it only from the
// first one, and one starts between the return and the removal.
func TestRemovalsAfterRestorationReachAllRouters(t *testing.T) {
	store, silent := newFakeStore(), newFakeStore()
	silent.down = true
	older := store.copy()
	fleet := startFleet(t, store, silent)
	store.put("u2")
	store.put("u3")
	for _, r := range fleet {
		r.awaitState(t, "1 u1 u2 u3")
	}
	for range 2 {
		store.withLock(func() { store.restore(older) })
		time.Sleep(_eraWait / 2)
	}
	for _, r := range fleet {
		if got, want := r.state(), "1 u1 u2 u3"; got != want {
			t.Errorf("before the upstreams are registered again: got %q, want %q", got, want)
		}
	}
	_, port, err := net.SplitHostPort(fleet[0].edge.settings.PeerAddress)
	if err != nil {
		t.Fatal(err)
	}
	started := startEdge(t, "r3", store, func(settings *qlsetting.Edge) {
		settings.PeerAddress = net.JoinHostPort(qlloopbacktest.IP(3), port)
		settings.Seeds = []string{qlloopbacktest.IP(1) + ":1"}
	})
	store.put("u3")
	store.remove("u1")
	for _, r := range append(fleet, started) {
		r.awaitState(t, "1 u3")
	}
	for _, r := range fleet {
		if got, want := r.edge.erasBegun.Load(), int64(2); got != want {
			t.Errorf("eras begun: got %d, want %d", got, want)
		}
	}
	store.commit(func() { store.config = store.revision })
	for _, r := range append(fleet, started) {
		r.awaitState(t, "13 u3")
	}
}

// TestRestorationWithoutLostHistoryIsNoticed guards against a watch that goes on in a new
// era since the store's counter has passed the router's revision again: the changes before
// are not those that the router knows.
func TestRestorationWithoutLostHistoryIsNoticed(t *testing.T) {
	store := newFakeStore()
	older := store.copy()
	r := startEdge(t, "r1", store, nil)
	store.put("u2")
	r.awaitState(t, "1 u1 u2")
	store.withLock(func() {
		store.restore(older)
		for range 5 {
			store.revision++
		}
		delete(store.upstreams, "u1")
		store.upstreams["u4"] = store.revision
	})
	r.awaitState(t, "1 u4")
}

// TestOutdatedDocumentsAreDropped guards against an answer of the store that arrives after
// one of a later era, and against routers that do not know of that era yet.
func TestOutdatedDocumentsAreDropped(t *testing.T) {
	store := newFakeStore()
	store.era = 2
	r := startEdge(t, "r1", store, nil)
	r.awaitState(t, "1 u1")
	late := []Item{{ID: "u1", Position: at(91), Deleted: true}, {ID: "u2", Value: []byte("u2"), Position: at(92)}, {Zone: "z2", Position: at(93)}}
	for name, receive := range map[string]func(now time.Duration, e *Edge){
		"changes": func(now time.Duration, e *Edge) { e.applyStoreChanges(now, late, at(90), at(94)) },
		"list":    func(now time.Duration, e *Edge) { e.applyAllDocuments(now, late[1:], at(94)) },
		"update": func(now time.Duration, e *Edge) {
			for _, update := range e.newUpdates(now, late, at(9), at(94)) {
				update.After = 9
				e.receiveUpdate(now, "", update)
			}
		},
		"reply": func(now time.Duration, e *Edge) {
			reply := &qlfleetwire.FetchReply{
				Era:          1,
				ListRevision: 94,
				Complete:     94,
				Settled:      true,
			}
			for _, item := range late[1:] {
				reply.Items = append(reply.Items, encodeItem(item))
			}
			e.applyFetchReply(now, "r2", &qlfleetwire.FetchRequest{Era: 1, ListRevision: 90}, reply)
			reply.Complete, reply.Settled = 0, false
			e.applyFetchReply(now, "r2", &qlfleetwire.FetchRequest{Era: 1, ListRevision: 90}, reply)
		},
		"request": func(_ time.Duration, e *Edge) {
			reply := e.answerFetch(&qlfleetwire.FetchRequest{Era: 3, ListRevision: 1})
			if len(reply.GetItems()) > 0 {
				t.Errorf("to a router of a later era: got %d items, want none", len(reply.GetItems()))
			}
			reply = e.answerFetch(&qlfleetwire.FetchRequest{Era: 1, ListRevision: 94})
			if reply.GetEra() != 2 || reply.GetPartial() || len(reply.GetItems()) != 1 {
				t.Errorf("to a router of an earlier era: got %v, want the whole list", reply)
			}
		},
	} {
		r.edge.fleet.Call(func(now time.Duration) {
			receive(now, r.edge)
			r.edge.publishIfChanged(now)
			position := r.edge.catalog.Position()
			if zones := r.edge.catalog.EvacuatedZones(); len(zones) > 0 || position.Era != 2 {
				t.Errorf("%s: got zones %v at %v, want none in era 2", name, zones, position)
			}
		})
		if got, want := r.state(), "1 u1"; got != want {
			t.Errorf("%s: got %q, want %q", name, got, want)
		}
	}
}

// TestAnswerOfEarlierEraIsAFailure guards against a store of which an instance answers that
// was not restored: its changes are not the store's.
func TestAnswerOfEarlierEraIsAFailure(t *testing.T) {
	store := newFakeStore()
	store.era = 2
	r := startEdge(t, "r1", store, nil)
	r.awaitState(t, "1 u1")
	store.withLock(func() { store.era = 1 })
	store.put("u2")
	for unavailable := false; !unavailable; time.Sleep(time.Millisecond) {
		r.edge.fleet.Call(func(time.Duration) { unavailable = r.edge.feed.StoreUnavailable() })
	}
	if got, want := r.state(), "1 u1"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	store.withLock(func() { store.era = 2 })
	r.awaitState(t, "1 u1 u2")
}
