package qlcatalog

import (
	"strings"
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlposition"
)

// at returns the position of the revision in the first era.
func at(revision uint64) qlposition.Position {
	return inEra(1, revision)
}

func inEra(era, revision uint64) qlposition.Position {
	return qlposition.Position{
		Era:      era,
		Revision: revision,
	}
}

func entry(id string, state State, revision uint64) Entry {
	return Entry{
		ID:       id,
		State:    state,
		Position: at(revision),
	}
}

// listAt returns the complete list of the revision in the first era.
func listAt(revision uint64, entries ...Entry) List {
	return List{
		Entries:  entries,
		Position: at(revision),
	}
}

func ids(c *Catalog) string {
	var names []string
	for _, e := range c.Entries() {
		names = append(names, e.ID)
	}
	return strings.Join(names, " ")
}

func TestDeletedEntryIsRemovedAtOnce(t *testing.T) {
	c := New()
	c.Replace(0, listAt(2, entry("a", Ready, 1), entry("b", Ready, 2)))
	c.Delete(time.Second, "a", at(3))
	if got, want := ids(c), "b"; got != want {
		t.Errorf("entries: got %q, want %q", got, want)
	}
}

func TestExpiredEntriesAreKeptAroundAnOutage(t *testing.T) {
	c := New()
	c.Replace(0, listAt(3, entry("a", Ready, 1), entry("b", Ready, 2), entry("c", Draining, 3)))
	c.StoreLost()
	regainedAt := 10 * time.Second
	c.StoreRegained(regainedAt)
	c.Delete(regainedAt, "a", at(4))
	c.Delete(regainedAt, "b", at(5))
	c.Delete(regainedAt, "c", at(6))
	c.Tick(regainedAt)
	if got, want := ids(c), "a b"; got != want {
		t.Errorf("after the outage: got %q, want %q (the draining entry is removed)", got, want)
	}
	c.Put(entry("b", Ready, 7))
	if !c.Tick(regainedAt + _expiryGrace) {
		t.Error("no change reported at the end of the grace period")
	}
	if got, want := ids(c), "b"; got != want {
		t.Errorf("after the grace period: got %q, want %q", got, want)
	}
}

func TestReplaceAfterAnOutageKeepsMissingEntries(t *testing.T) {
	c := New()
	c.Replace(0, listAt(2, entry("a", Ready, 1), entry("b", Ready, 2)))
	c.StoreLost()
	c.StoreRegained(time.Second)
	c.Replace(time.Second, listAt(9, entry("b", Ready, 2)))
	if got, want := ids(c), "a b"; got != want {
		t.Errorf("entries: got %q, want %q", got, want)
	}
	if got, want := c.Expired(), 1; got != want {
		t.Errorf("expired entries: got %d, want %d", got, want)
	}
}

func TestOlderRevisionsAreIgnored(t *testing.T) {
	c := New()
	c.Replace(0, listAt(8, entry("a", Draining, 8)))
	c.Put(entry("a", Ready, 7))
	c.Replace(0, listAt(7, entry("a", Ready, 6), entry("z", Ready, 5)))
	if got, want := ids(c), "a"; got != want {
		t.Errorf("entries: got %q, want %q", got, want)
	}
	if got, want := c.Entries()[0].State, Draining; got != want {
		t.Errorf("state: got %d, want %d", got, want)
	}
	c.Delete(0, "a", at(7))
	if got, want := ids(c), "a"; got != want {
		t.Errorf("after an outdated removal: got %q, want %q", got, want)
	}
}

// TestRemovedEntryIsNotRestoredByARouter guards against a removed upstream that
// returns to the list because a router, which the store refuses and which
// therefore missed the removal, sends the old entry.
func TestRemovedEntryIsNotRestoredByARouter(t *testing.T) {
	connected, disconnected := New(), New()
	for _, c := range []*Catalog{connected, disconnected} {
		c.Replace(0, listAt(2, entry("a", Ready, 1), entry("b", Ready, 2)))
	}
	disconnected.StoreLost()
	connected.Delete(time.Second, "a", at(3))
	disconnected.Merge(time.Second, listAt(3, connected.StoreEntries()...), connected.InSync(time.Second))
	if got, want := ids(disconnected), "b"; got != want {
		t.Errorf("at the router without the store: got %q, want %q", got, want)
	}
	connected.Merge(time.Second, listAt(9, entry("a", Ready, 1), entry("b", Ready, 2)), false)
	if got, want := ids(connected), "b"; got != want {
		t.Errorf("at the router with the store: got %q, want %q", got, want)
	}
	connected.Put(entry("a", Ready, 4))
	if got, want := ids(connected), "a b"; got != want {
		t.Errorf("after it registered again: got %q, want %q", got, want)
	}
}

func TestListOfARouterNotInSyncRemovesNothing(t *testing.T) {
	c := New()
	c.Replace(0, listAt(2, entry("a", Ready, 1), entry("b", Ready, 2)))
	c.Merge(time.Second, listAt(5, entry("b", Ready, 2), entry("c", Ready, 5)), false)
	if got, want := ids(c), "a b c"; got != want {
		t.Errorf("entries: got %q, want %q", got, want)
	}
}

// TestSinceIncludesRemovals requests the changes after several revisions.
func TestSinceIncludesRemovals(t *testing.T) {
	c := New()
	entry := func(id string, revision uint64) Entry {
		return Entry{
			ID:       id,
			State:    Ready,
			Position: at(revision),
		}
	}
	c.Replace(0, listAt(10, entry("u1", 3), entry("u2", 5)))
	c.Put(entry("u3", 11))
	c.Delete(0, "u1", at(12))
	c.Advance(at(12))
	for _, test := range []struct {
		since   uint64
		changed int
		removed int
		ok      bool
	}{
		{since: 9},
		{since: 10, changed: 1, removed: 1, ok: true},
		{since: 11, removed: 1, ok: true},
		{since: 12, ok: true},
	} {
		changed, removed, ok := c.Since(at(test.since))
		if len(changed) != test.changed || len(removed) != test.removed || ok != test.ok {
			t.Errorf("since %d: got %d changed, %d removed, %v, want %d, %d, %v", test.since,
				len(changed), len(removed), ok, test.changed, test.removed, test.ok)
		}
	}
	c.StoreLost()
	c.StoreRegained(time.Second)
	c.Delete(time.Second, "u2", at(13))
	if _, _, ok := c.Since(at(12)); ok {
		t.Error("while an expired entry is kept: got ok, want the changes reported as incomplete")
	}
	c.Tick(10 * time.Second)
	if _, removed, ok := c.Since(at(12)); !ok || removed["u2"] != at(13) {
		t.Errorf("after the grace period: got %v, %v, want u2 removed at 13", removed, ok)
	}
}

// TestRestartUnderTheSameIDIsCold guards against a replica that starts anew and counts as
// warm, whether or not its earlier entry was removed first, and against a warm one that
// counts as cold since the list was read again.
func TestRestartUnderTheSameIDIsCold(t *testing.T) {
	const warmUp = 3 * time.Second
	started := func(id string, start int64, revision uint64, learnedAt time.Duration) Entry {
		e := entry(id, Ready, revision)
		e.WarmUp.StartMillis, e.WarmUp.LearnedAt, e.WarmUp.LearnedMillis = start, learnedAt, 1e9
		e.StartMillis = start
		return e
	}
	c := New()
	c.Replace(0, listAt(3, started("a", 1, 1, 0), started("b", 1, 2, 0), started("c", 1, 3, 0)))
	c.Delete(time.Second, "b", at(4))
	c.Put(started("a", 2, 5, time.Minute))
	c.Put(started("b", 2, 6, time.Minute))
	c.Put(started("c", 1, 3, time.Minute))
	for id, want := range map[string]bool{
		"a": true,
		"b": true,
		"c": false,
	} {
		if got := c.entries[id].WarmUp.Window(warmUp).IsCold(time.Minute + time.Second); got != want {
			t.Errorf("%s is cold: got %v, want %v", id, got, want)
		}
	}
}
