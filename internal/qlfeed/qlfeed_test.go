package qlfeed

import (
	"fmt"
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlring"
)

// fleet returns the parts of routers in zones, as all see the same live ones.
func fleet(routers, zones int, size func(i int) uint32) (map[string]*Feed, []qlring.Node) {
	feeds := make(map[string]*Feed)
	var live []qlring.Node
	for i := range routers {
		id, zone := fmt.Sprintf("r%d", i), fmt.Sprintf("z%d", i%zones)
		live = append(live, qlring.NewNode(id, zone).WithSize(size(i)))
		feeds[id] = New(id, zone)
	}
	for _, feed := range feeds {
		feed.SetRouters(live)
	}
	return feeds, live
}

func equal(int) uint32 { return 400 }

// TestEachRouterIsToldByOneReader checks fleets up to the two-year target:
// few readers in each zone, whose members are all others, each once, and no
// reader tells more than its telling is budgeted for.
func TestEachRouterIsToldByOneReader(t *testing.T) {
	for _, c := range []struct {
		routers, zones, readers int
	}{
		{routers: 1, zones: 1, readers: 1},
		{routers: 7, zones: 3, readers: 3},
		{routers: 62, zones: 3, readers: 3},
		{routers: 63, zones: 4, readers: 4},
		{routers: 390, zones: 6, readers: 18},
	} {
		readers, told, most := audiences(t, c.routers, c.zones)
		if len(readers) != c.readers {
			t.Errorf("%d routers in %d zones: got %d readers, want %d", c.routers, c.zones, len(readers), c.readers)
		}
		inZone := make(map[string]int)
		for _, zone := range readers {
			inZone[zone]++
		}
		for zone, count := range inZone {
			if want := c.readers / c.zones; count != want {
				t.Errorf("%d routers: got %d readers in %s, want %d", c.routers, count, zone, want)
			}
		}
		if len(inZone) != c.zones {
			t.Errorf("%d routers: got readers in %d zones, want in all %d", c.routers, len(inZone), c.zones)
		}
		if got, want := len(told), c.routers-c.readers; got != want {
			t.Errorf("%d routers: got %d told, want %d", c.routers, got, want)
		}
		for id, times := range told {
			if times != 1 {
				t.Errorf("%d routers: %s is told by %d readers, want one", c.routers, id, times)
			}
		}
		if bound := 2*_served + c.readers; most > bound {
			t.Errorf("%d routers: a reader tells %d others, want %d at most", c.routers, most, bound)
		}
	}
}

// audiences returns the readers' zones, how many readers tell each other
// router, and the most that one tells.
func audiences(t *testing.T, routers, zones int) (readers []string, told map[string]int, most int) {
	t.Helper()
	feeds, _ := fleet(routers, zones, equal)
	told = make(map[string]int)
	for _, feed := range feeds {
		if !feed.IsWatcher() {
			if len(feed.Recipients()) != 0 {
				t.Errorf("%d routers: one that is no reader tells others", routers)
			}
			continue
		}
		readers = append(readers, feed.zone)
		most = max(most, len(feed.Recipients()))
		for _, member := range feed.ZoneRecipients() {
			told[member]++
		}
	}
	return readers, told, most
}

func TestTheLargestRead(t *testing.T) {
	feeds, _ := fleet(60, 3, func(i int) uint32 {
		if i < 6 {
			return 800
		}
		return 192
	})
	for id, feed := range feeds {
		var i int
		if _, err := fmt.Sscanf(id, "r%d", &i); err != nil {
			t.Fatal(err)
		}
		if feed.IsWatcher() && i >= 6 {
			t.Errorf("%s reads, want one of the large VMs", id)
		}
	}
}

func TestLostReaderIsReplaced(t *testing.T) {
	feeds, live := fleet(30, 3, equal)
	lost := ""
	for id, feed := range feeds {
		if feed.IsWatcher() {
			lost = id
		}
	}
	rest := make([]qlring.Node, 0, len(live))
	for _, node := range live {
		if node.ID() != lost {
			rest = append(rest, node)
		}
	}
	became := 0
	for id, feed := range feeds {
		if id != lost && feed.SetRouters(rest) {
			became++
		}
	}
	if became != 1 {
		t.Errorf("routers that became readers: got %d, want 1", became)
	}
}

// TestRouterThatIsNotToldCalls plays a router whose reader falls silent.
func TestRouterThatIsNotToldCalls(t *testing.T) {
	feeds, _ := fleet(7, 3, equal)
	var feed *Feed
	for _, candidate := range feeds {
		if !candidate.IsWatcher() {
			feed = candidate
		}
	}
	now := 10 * time.Second
	if got := feed.CallDelay(now); got != 0 {
		t.Errorf("before any telling: got a wait of %v, want none", got)
	}
	feed.RecordAnswer(now)
	if got := feed.CallDelay(now); got != 0 {
		t.Errorf("after an answer, without readers: got a wait of %v, want none", got)
	}
	feed.RecordUpdate(now, 0)
	if got, want := feed.CallDelay(now+time.Second), _staleAfter-time.Second; got != want {
		t.Errorf("1 s after a telling: got a wait of %v, want %v", got, want)
	}
	if got := feed.CallDelay(now + _staleAfter); got != 0 {
		t.Errorf("once the telling is stale: got a wait of %v, want none", got)
	}
	feed.RecordFullAnswer(now + 2*time.Second)
	if got := feed.CallDelay(now + 2*time.Second); got != _staleAfter {
		t.Errorf("after all documents came: got a wait of %v, want %v", got, _staleAfter)
	}
	feed.RecordUpdate(now+2*time.Second, 0)
	feed.RequireCall()
	if got := feed.CallDelay(now + 2*time.Second); got != 0 {
		t.Errorf("when tellings are of no use: got a wait of %v, want none", got)
	}
	// Within two seconds a change has to be in force.
	if bound := 2 * time.Second; _staleAfter >= bound {
		t.Errorf("stale after %v, want less than %v", _staleAfter, bound)
	}
}

func TestPausesGrow(t *testing.T) {
	reader := New("r1", "z1")
	other := New("r2", "z1")
	other.SetRouters([]qlring.Node{qlring.NewNode("r1", "z1").WithSize(2), qlring.NewNode("r2", "z1").WithSize(1)})
	got := ""
	for range 6 {
		got += fmt.Sprintf("%v %v, ", reader.RecordFailure(), other.RecordFailure())
	}
	want := "100ms 500ms, 200ms 1s, 400ms 2s, 600ms 2s, 600ms 2s, 600ms 2s, "
	if got != want {
		t.Errorf("pauses: got %s, want %s", got, want)
	}
	if !reader.StoreUnavailable() {
		t.Error("the store is not taken for away after failures")
	}
	if got, want := reader.FullReadDelay(), _readMost; got != want {
		t.Errorf("wait for a read after six failures: got %v, want %v", got, want)
	}
	reader.RecordAnswer(time.Second)
	if got := reader.FullReadDelay(); got != 0 {
		t.Errorf("wait for a read after an answer: got %v, want none", got)
	}
	if got, want := reader.RecordFailure(), _readerFirst; got != want {
		t.Errorf("pause after an answer: got %v, want %v", got, want)
	}
}
