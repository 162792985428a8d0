package qlfeed

import (
	"fmt"
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlring"
)

// fleet returns the feeds of routers that are spread over zones and all see the same
// live routers.
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

func equalSize(int) uint32 { return 400 }

// TestEachRouterIsNotifiedByOneWatcher checks fleets up to the two-year target: each
// zone has few watchers, exactly one watcher notifies each other router, and no
// watcher exceeds its traffic budget by the number of its recipients.
func TestEachRouterIsNotifiedByOneWatcher(t *testing.T) {
	for _, c := range []struct {
		routers, zones, watchers int
	}{
		{routers: 1, zones: 1, watchers: 1},
		{routers: 7, zones: 3, watchers: 3},
		{routers: 62, zones: 3, watchers: 3},
		{routers: 63, zones: 4, watchers: 4},
		{routers: 390, zones: 6, watchers: 18},
	} {
		watchers, notifications, maxRecipients := recipientCounts(t, c.routers, c.zones)
		if len(watchers) != c.watchers {
			t.Errorf("%d routers in %d zones: got %d watchers, want %d", c.routers, c.zones, len(watchers), c.watchers)
		}
		inZone := make(map[string]int)
		for _, zone := range watchers {
			inZone[zone]++
		}
		for zone, count := range inZone {
			if want := c.watchers / c.zones; count != want {
				t.Errorf("%d routers: got %d watchers in %s, want %d", c.routers, count, zone, want)
			}
		}
		if len(inZone) != c.zones {
			t.Errorf("%d routers: got watchers in %d zones, want in all %d", c.routers, len(inZone), c.zones)
		}
		if got, want := len(notifications), c.routers-c.watchers; got != want {
			t.Errorf("%d routers: got %d routers notified, want %d", c.routers, got, want)
		}
		for id, times := range notifications {
			if times != 1 {
				t.Errorf("%d routers: %s is notified by %d watchers, want one", c.routers, id, times)
			}
		}
		if limit := 2*_routersPerWatcher + c.watchers; maxRecipients > limit {
			t.Errorf("%d routers: a watcher notifies %d others, want %d at most", c.routers, maxRecipients, limit)
		}
	}
}

// recipientCounts returns the watchers' zones, the number of watchers that notify
// each other router, and the largest number of recipients of one watcher.
func recipientCounts(t *testing.T, routers, zones int) (watchers []string, notifications map[string]int, maxRecipients int) {
	t.Helper()
	feeds, _ := fleet(routers, zones, equalSize)
	notifications = make(map[string]int)
	for _, feed := range feeds {
		if !feed.IsWatcher() {
			if len(feed.Recipients()) != 0 {
				t.Errorf("%d routers: one that is not a watcher has recipients", routers)
			}
			continue
		}
		watchers = append(watchers, feed.zone)
		maxRecipients = max(maxRecipients, len(feed.Recipients()))
		for _, recipient := range feed.ZoneRecipients() {
			notifications[recipient]++
		}
	}
	return watchers, notifications, maxRecipients
}

func TestLargestRoutersAreWatchers(t *testing.T) {
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
			t.Errorf("%s is a watcher, want only routers on large VMs", id)
		}
	}
}

func TestLostWatcherIsReplaced(t *testing.T) {
	feeds, live := fleet(30, 3, equalSize)
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
	newWatchers := 0
	for id, feed := range feeds {
		if id != lost && feed.SetRouters(rest) {
			newWatchers++
		}
	}
	if newWatchers != 1 {
		t.Errorf("routers that became watchers: got %d, want 1", newWatchers)
	}
}

// TestRouterWithoutUpdatesCallsTheStore follows a router before, during and after
// the updates of its watcher.
func TestRouterWithoutUpdatesCallsTheStore(t *testing.T) {
	feeds, _ := fleet(7, 3, equalSize)
	var feed *Feed
	for _, candidate := range feeds {
		if !candidate.IsWatcher() {
			feed = candidate
		}
	}
	now := 10 * time.Second
	if got := feed.CallDelay(now); got != 0 {
		t.Errorf("before any update: got a wait of %v, want none", got)
	}
	feed.RecordAnswer(now)
	if got := feed.CallDelay(now); got != 0 {
		t.Errorf("after an answer of the store, without updates: got a wait of %v, want none", got)
	}
	feed.RecordUpdate(now, 0)
	if got, want := feed.CallDelay(now+time.Second), _staleAfter-time.Second; got != want {
		t.Errorf("1 s after an update: got a wait of %v, want %v", got, want)
	}
	if got := feed.CallDelay(now + _staleAfter); got != 0 {
		t.Errorf("once the update is stale: got a wait of %v, want none", got)
	}
	feed.RecordFullAnswer(now + 2*time.Second)
	if got := feed.CallDelay(now + 2*time.Second); got != _staleAfter {
		t.Errorf("after a read of all documents: got a wait of %v, want %v", got, _staleAfter)
	}
	feed.RecordUpdate(now+2*time.Second, 0)
	feed.RequireCall()
	if got := feed.CallDelay(now + 2*time.Second); got != 0 {
		t.Errorf("after RequireCall: got a wait of %v, want none", got)
	}
	// A change has to be in force within two seconds.
	if bound := 2 * time.Second; _staleAfter >= bound {
		t.Errorf("stale after %v, want less than %v", _staleAfter, bound)
	}
}

func TestBackoffGrows(t *testing.T) {
	watcher := New("r1", "z1")
	nonWatcher := New("r2", "z1")
	nonWatcher.SetRouters([]qlring.Node{qlring.NewNode("r1", "z1").WithSize(2), qlring.NewNode("r2", "z1").WithSize(1)})
	got := ""
	for range 6 {
		got += fmt.Sprintf("%v %v, ", watcher.RecordFailure(), nonWatcher.RecordFailure())
	}
	want := "100ms 500ms, 200ms 1s, 400ms 2s, 600ms 2s, 600ms 2s, 600ms 2s, "
	if got != want {
		t.Errorf("pauses: got %s, want %s", got, want)
	}
	if !watcher.StoreUnavailable() {
		t.Error("the store is not considered unavailable after failures")
	}
	if got, want := watcher.FullReadDelay(), _maxFullReadDelay; got != want {
		t.Errorf("full read delay after six failures: got %v, want %v", got, want)
	}
	watcher.RecordAnswer(time.Second)
	if got := watcher.FullReadDelay(); got != 0 {
		t.Errorf("full read delay after an answer: got %v, want none", got)
	}
	if got, want := watcher.RecordFailure(), _watcherMinBackoff; got != want {
		t.Errorf("pause after an answer: got %v, want %v", got, want)
	}
}
