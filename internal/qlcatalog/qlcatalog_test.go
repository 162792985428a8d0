package qlcatalog

import (
	"strings"
	"testing"
	"time"
)

func entry(id string, state State, revision uint64) Entry {
	return Entry{
		ID:       id,
		State:    state,
		Revision: revision,
	}
}

func ids(c *Catalog) string {
	var names []string
	for _, e := range c.Entries() {
		names = append(names, e.ID)
	}
	return strings.Join(names, " ")
}

func TestEntryThatVanishesGoesAtOnce(t *testing.T) {
	c := New()
	c.Replace(0, []Entry{entry("a", Ready, 1), entry("b", Ready, 2)}, 2)
	c.Delete(time.Second, "a", 3)
	if got, want := ids(c), "b"; got != want {
		t.Errorf("entries: got %q, want %q", got, want)
	}
}

func TestLapsedEntriesAreKeptAroundAnOutage(t *testing.T) {
	c := New()
	c.Replace(0, []Entry{entry("a", Ready, 1), entry("b", Ready, 2), entry("c", Draining, 3)}, 3)
	c.StoreLost()
	back := 10 * time.Second
	c.StoreRegained(back)
	c.Delete(back, "a", 4)
	c.Delete(back, "b", 5)
	c.Delete(back, "c", 6)
	c.Tick(back)
	if got, want := ids(c), "a b"; got != want {
		t.Errorf("after the outage: got %q, want %q (one that drained is gone)", got, want)
	}
	c.Put(entry("b", Ready, 7))
	if !c.Tick(back + _lapseHold) {
		t.Error("no change told when the hold was over")
	}
	if got, want := ids(c), "b"; got != want {
		t.Errorf("after the hold: got %q, want %q", got, want)
	}
}

func TestReplaceAfterAnOutageHoldsWhatIsMissing(t *testing.T) {
	c := New()
	c.Replace(0, []Entry{entry("a", Ready, 1), entry("b", Ready, 2)}, 2)
	c.StoreLost()
	c.StoreRegained(time.Second)
	c.Replace(time.Second, []Entry{entry("b", Ready, 2)}, 9)
	if got, want := ids(c), "a b"; got != want {
		t.Errorf("entries: got %q, want %q", got, want)
	}
	if got, want := c.Expired(), 1; got != want {
		t.Errorf("lapsed: got %d, want %d", got, want)
	}
}

func TestNothingGoesBack(t *testing.T) {
	c := New()
	c.Replace(0, []Entry{entry("a", Draining, 8)}, 8)
	c.Put(entry("a", Ready, 7))
	c.Replace(0, []Entry{entry("a", Ready, 6), entry("z", Ready, 5)}, 7)
	if got, want := ids(c), "a"; got != want {
		t.Errorf("entries: got %q, want %q", got, want)
	}
	if got, want := c.Entries()[0].State, Draining; got != want {
		t.Errorf("state: got %d, want %d", got, want)
	}
	c.Delete(0, "a", 7)
	if got, want := ids(c), "a"; got != want {
		t.Errorf("after an old removal: got %q, want %q", got, want)
	}
}

// TestRemovedEntryIsNotTakenBackFromARouter plays the fault by which a router
// that the store turned away gave an upstream back that had left.
func TestRemovedEntryIsNotTakenBackFromARouter(t *testing.T) {
	fresh, turnedAway := New(), New()
	for _, c := range []*Catalog{fresh, turnedAway} {
		c.Replace(0, []Entry{entry("a", Ready, 1), entry("b", Ready, 2)}, 2)
	}
	turnedAway.StoreLost()
	fresh.Delete(time.Second, "a", 3)
	turnedAway.Merge(fresh.StoreEntries(), 3, fresh.InSync(time.Second))
	if got, want := ids(turnedAway), "b"; got != want {
		t.Errorf("at the router that is turned away: got %q, want %q", got, want)
	}
	fresh.Merge([]Entry{entry("a", Ready, 1), entry("b", Ready, 2)}, 9, false)
	if got, want := ids(fresh), "b"; got != want {
		t.Errorf("at the other: got %q, want %q", got, want)
	}
	fresh.Put(entry("a", Ready, 4))
	if got, want := ids(fresh), "a b"; got != want {
		t.Errorf("after it registered again: got %q, want %q", got, want)
	}
}

func TestRouterThatIsNotSettledRemovesNothing(t *testing.T) {
	c := New()
	c.Replace(0, []Entry{entry("a", Ready, 1), entry("b", Ready, 2)}, 2)
	c.Merge([]Entry{entry("b", Ready, 2), entry("c", Ready, 5)}, 5, false)
	if got, want := ids(c), "a b c"; got != want {
		t.Errorf("entries: got %q, want %q", got, want)
	}
}

// TestSinceHoldsRemovals asks for what changed after revisions.
func TestSinceHoldsRemovals(t *testing.T) {
	c := New()
	entry := func(id string, revision uint64) Entry {
		return Entry{
			ID:       id,
			State:    Ready,
			Revision: revision,
		}
	}
	c.Replace(0, []Entry{entry("u1", 3), entry("u2", 5)}, 10)
	c.Put(entry("u3", 11))
	c.Delete(0, "u1", 12)
	c.Advance(12)
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
		changed, removed, ok := c.Since(test.since)
		if len(changed) != test.changed || len(removed) != test.removed || ok != test.ok {
			t.Errorf("since %d: got %d changed, %d removed, %v, want %d, %d, %v", test.since,
				len(changed), len(removed), ok, test.changed, test.removed, test.ok)
		}
	}
	c.StoreLost()
	c.StoreRegained(time.Second)
	c.Delete(time.Second, "u2", 13)
	if _, _, ok := c.Since(12); ok {
		t.Error("while an entry is kept that lapsed: the changes are said to be all")
	}
	c.Tick(10 * time.Second)
	if _, removed, ok := c.Since(12); !ok || removed["u2"] != 13 {
		t.Errorf("after the lapse: got %v, %v, want u2 removed at 13", removed, ok)
	}
}
