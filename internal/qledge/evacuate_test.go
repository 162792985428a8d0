package qledge

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qlcatalog"
	"github.com/quetzallane/quetzallane/internal/qlfleetwire"
	"github.com/quetzallane/quetzallane/internal/qlloopbacktest"
	"github.com/quetzallane/quetzallane/internal/qlsetting"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// order adds the operator's order about a zone to the store's changes.
func (s *fakeStore) order(zone string, deleted bool, fault error) {
	s.commit(func() {
		s.events = append(s.events, Item{
			Zone:     zone,
			Position: s.at(s.revision),
			Deleted:  deleted,
			Fault:    fault,
		})
	})
}

// awaitZones waits until the evacuated zones are the wanted ones.
func (r *runningEdge) awaitZones(t *testing.T, want ...string) {
	t.Helper()
	got := ""
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		r.edge.fleet.Call(func(time.Duration) { got = fmt.Sprint(zoneNames(r.edge.catalog.EvacuatedZones())) })
		if got == fmt.Sprint(want) {
			return
		}
	}
	t.Fatalf("evacuated zones: got %s, want %v within 4 s", got, want)
}

// TestOrderReachesRoutersWithoutStore guards against an order that only the watcher knows,
// or that is forgotten with the store: the second router never sees the order in its store,
// the watcher's store fails right after it, and the third router starts then. The order's
// item has a fault, and the key alone counts.
func TestOrderReachesRoutersWithoutStore(t *testing.T) {
	store, silent, none := newFakeStore(), newFakeStore(), newFakeStore()
	none.down = true
	fleet := startFleet(t, store, silent)
	store.order("z2", false, errors.New("value"))
	fleet[1].awaitZones(t, "z2")
	store.withLock(func() { store.down = true })
	silent.withLock(func() { silent.down = true })
	time.Sleep(2 * time.Second)
	fleet[1].awaitZones(t, "z2")
	_, port, err := net.SplitHostPort(fleet[0].edge.settings.PeerAddress)
	if err != nil {
		t.Fatal(err)
	}
	third := startEdge(t, "r3", none, func(settings *qlsetting.Edge) {
		settings.PeerAddress = net.JoinHostPort(qlloopbacktest.IP(3), port)
		settings.Seeds = []string{qlloopbacktest.IP(1) + ":1"}
	})
	third.awaitZones(t, "z2")
}

// TestMissedOrderCausesFetch guards against a lost datagram: the next update begins after
// the order, and the receiver must fetch both the order and its predecessor's withdrawal.
func TestMissedOrderCausesFetch(t *testing.T) {
	fleet := startFleet(t, newFakeStore(), newFakeStore())
	fleet[1].edge.fleet.Call(func(now time.Duration) {
		fleet[1].edge.applyItems(now, []Item{{Zone: "z1", Position: at(9)}}, "test")
	})
	fleet[0].edge.fleet.Call(func(now time.Duration) {
		e := fleet[0].edge
		e.applyItems(now, []Item{{Zone: "z1", Position: at(19), Deleted: true}, {Zone: "z2", Position: at(20)}}, "test")
		e.catalog.Advance(at(20))
		e.sendChanges(now, []Item{{Zone: "z3", Position: at(21)}}, at(20), at(21))
	})
	fleet[1].awaitZones(t, "z2")
}

// TestOldOrderUndoesNothing guards against an update of a router that is behind.
func TestOldOrderUndoesNothing(t *testing.T) {
	store := newFakeStore()
	r := startEdge(t, "r1", store, nil)
	r.awaitState(t, "1 u1")
	store.order("z2", false, nil)
	r.awaitZones(t, "z2")
	store.order("z2", true, nil)
	store.order("z3", false, nil)
	r.awaitZones(t, "z3")
	r.edge.fleet.Call(func(now time.Duration) {
		r.edge.receiveUpdate(now, "", &qlfleetwire.Update{
			Era:      1,
			After:    10,
			Revision: 13,
			Items:    []*qlfleetwire.Item{{Zone: "z2", Revision: 11}, {Zone: "z3", Revision: 12, Deleted: true}},
		})
	})
	r.awaitZones(t, "z3")
}

// TestEvacuationsAreLogged guards against an evacuation, a zone that does not exist, or a
// service without upstreams that no line names.
func TestEvacuationsAreLogged(t *testing.T) {
	core, lines := observer.New(zap.InfoLevel)
	e := &Edge{
		log:     zap.New(core),
		catalog: qlcatalog.New(),
	}
	entries := []qlcatalog.Entry{{ID: "u1", Zone: "z2"}}
	e.logEvacuations(entries, nil)
	e.setZones([]qlcatalog.Zone{{Name: "z2", Evacuated: true, Position: at(11)}, {Name: "nowhere", Evacuated: true, Position: at(12)}})
	e.logEvacuations(entries, []string{"orders"})
	e.logEvacuations(entries, []string{"orders"})
	e.setZones([]qlcatalog.Zone{{Name: "z2", Position: at(13)}})
	e.logEvacuations(entries, nil)
	got := ""
	for _, line := range lines.All() {
		got += fmt.Sprintln(line.Message, line.ContextMap())
	}
	want := `zone-unknown map[era:1 replicas:0 revision:12 zone:nowhere]
zone-evacuated map[era:1 replicas:1 revision:11 zone:z2]
service-evacuated map[service:orders]
zone-returned map[era:1 replicas:1 revision:13 zone:z2]
service-returned map[service:orders]
`
	if got != want {
		t.Errorf("log: got\n%s\nwant\n%s", got, want)
	}
}
