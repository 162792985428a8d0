package qlcatalog

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlposition"
	"pgregory.net/rapid"
)

// restored returns an entry in the second era.
func restored(id string, state State, revision uint64, startMillis int64) Entry {
	e := entry(id, state, revision)
	e.Position.Era = 2
	e.StartMillis = startMillis
	return e
}

// secondEra returns the complete list of the revision in the second era.
func secondEra(revision uint64, entries ...Entry) List {
	return List{
		Entries:  entries,
		Position: inEra(2, revision),
	}
}

func states(c *Catalog) string {
	text := ""
	for _, e := range c.Entries() {
		text += fmt.Sprintf("%s=%d@%d ", e.ID, e.State, e.StartMillis)
	}
	return text
}

// TestKnownStateHoldsAtTheStartOfAnEra guards against a store from an older copy that brings
// back an upstream that has left, drops one that has registered since, or returns an
// evacuated zone, for the time until that is written again; and against a router that keeps
// what it knew for longer, or against what is written in the new era.
func TestKnownStateHoldsAtTheStartOfAnEra(t *testing.T) {
	const begin = 10 * time.Second
	// The copy has all that was known long before its revision, 20.
	olderCopy := func(revision uint64) List {
		zone3 := order("z3", 12)
		zone3.Position.Era = 2
		return withZones(secondEra(revision, restored("drains", Ready, 3, 5), restored("left", Ready, 4, 5),
			restored("restarted", Ready, 5, 5), restored("same", Ready, 3, 5)), zone3)
	}
	newCatalog := func() *Catalog {
		c := New()
		e := func(id string, state State, revision uint64) Entry {
			e := entry(id, state, revision)
			e.StartMillis = 5
			return e
		}
		c.Replace(0, withZones(listAt(40, e("drains", Draining, 31), e("left", Ready, 32), e("new", Ready, 33), e("same", Ready, 3)), order("z2", 34)))
		c.SetZone(order("z3", 35))
		c.SetZone(withdrawal("z3", 36))
		c.Delete(0, "left", at(37))
		restarted := e("restarted", Ready, 38)
		restarted.StartMillis = 9
		c.Put(restarted)
		c.Advance(at(40))
		c.Replace(begin, olderCopy(20))
		return c
	}
	const kept, copied = "drains=2@5 new=1@5 restarted=1@9 same=1@5 ", "drains=1@5 left=1@5 restarted=1@5 same=1@5 "
	for _, c := range []struct {
		name   string
		after  time.Duration
		change func(c *Catalog)
		want   string
		zones  string
	}{
		{name: "at once", want: kept, zones: "z2"},
		{name: "before the end", after: _expiryGrace - 1, want: kept, zones: "z2"},
		{name: "never written again", after: _expiryGrace, want: copied, zones: "z3"},
		{name: "another router is in sync", change: (*Catalog).EndGracePeriod, want: kept, zones: "z2"},
		{name: "read again", change: func(c *Catalog) { c.Replace(begin, olderCopy(22)) }, want: kept, zones: "z2"},
		{name: "written again", after: _expiryGrace, change: func(c *Catalog) {
			c.Put(restored("drains", Draining, 21, 5))
			c.Delete(begin, "left", inEra(2, 22))
			c.Put(restored("new", Ready, 23, 5))
			c.Put(restored("restarted", Ready, 24, 9))
			c.SetZone(Zone{Name: "z2", Evacuated: true, Position: inEra(2, 25)})
			c.SetZone(Zone{Name: "z3", Position: inEra(2, 26)})
		}, want: kept, zones: "z2"},
		{name: "new facts", change: func(c *Catalog) {
			c.Put(restored("drains", Ready, 21, 6))
			c.Put(restored("left", Ready, 22, 6))
			c.SetZone(Zone{Name: "z2", Position: inEra(2, 25)})
			c.SetZone(Zone{Name: "z3", Evacuated: true, Position: inEra(2, 26)})
		}, want: "drains=1@6 left=1@6 new=1@5 restarted=1@9 same=1@5 ", zones: "z3"},
		{name: "late news of the first era", change: func(c *Catalog) {
			c.Delete(begin, "same", at(90))
			c.Put(entry("late", Ready, 91))
			c.SetZone(withdrawal("z2", 92))
			c.Advance(at(93))
			c.Replace(begin, listAt(94))
			c.Merge(begin, listAt(95, entry("late", Ready, 91)), false)
			c.Merge(begin, listAt(96), true)
		}, want: kept, zones: "z2"},
		{name: "third era", after: _expiryGrace - 1, change: func(c *Catalog) {
			list := secondEra(15, restored("left", Ready, 4, 5), restored("same", Ready, 3, 5))
			list.Position.Era = 3
			for i := range list.Entries {
				list.Entries[i].Position.Era = 3
			}
			c.Replace(begin, list)
		}, want: "new=1@5 restarted=1@9 same=1@5 ", zones: "z2"},
	} {
		catalog := newCatalog()
		if c.change != nil {
			c.change(catalog)
		}
		catalog.Tick(begin + c.after)
		if got := states(catalog); got != c.want {
			t.Errorf("%s: entries: got %q, want %q", c.name, got, c.want)
		}
		zones := ""
		for _, zone := range catalog.EvacuatedZones() {
			zones += zone.Name
		}
		if zones != c.zones {
			t.Errorf("%s: evacuated zones: got %q, want %q", c.name, zones, c.zones)
		}
	}
}

// TestEraKnownForLongHasNoGracePeriod guards against a router that was cut off and, once it
// hears of the era, keeps what others have dropped long since.
func TestEraKnownForLongHasNoGracePeriod(t *testing.T) {
	c := New()
	c.Replace(0, listAt(40, entry("a", Ready, 31), entry("b", Ready, 32)))
	list := secondEra(20, restored("b", Ready, 3, 0))
	list.EraAge = _expiryGrace
	c.Merge(time.Minute, list, true)
	c.Tick(time.Minute)
	if got, want := ids(c), "b"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if got, want := c.EraAge(time.Minute+time.Second), _expiryGrace+time.Second; got != want {
		t.Errorf("age of the era: got %v, want %v", got, want)
	}
}

// TestWarmUpOutlivesARestoration guards against warm replicas that count as cold since the
// older copy of their entries is from the time of their warm-up.
func TestWarmUpOutlivesARestoration(t *testing.T) {
	const warmUp = 3 * time.Second
	report := func(e Entry, learnedAt time.Duration) Entry {
		e.StartMillis = 5
		e.WarmUp.StartMillis, e.WarmUp.LearnedAt, e.WarmUp.LearnedMillis = 5, learnedAt, 1e9
		e.WarmUp.Given, e.WarmUp.Left = true, warmUp
		return e
	}
	c := New()
	c.Replace(0, listAt(40, report(entry("a", Ready, 31), 0)))
	c.Replace(time.Minute, secondEra(20, report(restored("a", Ready, 3, 5), time.Minute)))
	if c.entries["a"].WarmUp.Window(warmUp).IsCold(time.Minute + time.Second) {
		t.Error("the replica is cold, want warm")
	}
}

// simulatedStore is a store's content with its history.
type simulatedStore struct {
	position qlposition.Position
	entries  map[string]Entry
	zones    map[string]Zone
	history  []func(now time.Duration, c *Catalog)
	// begin is the revision before the history.
	begin uint64
}

func (s *simulatedStore) clone() *simulatedStore {
	copied := *s
	copied.entries, copied.zones, copied.history = maps.Clone(s.entries), maps.Clone(s.zones), slices.Clone(s.history)
	return &copied
}

func (s *simulatedStore) list() List {
	list := List{
		Position: s.position,
	}
	for _, e := range s.entries {
		e.Position.Era = s.position.Era
		list.Entries = append(list.Entries, e)
	}
	for _, zone := range s.zones {
		zone.Position.Era = s.position.Era
		list.Zones = append(list.Zones, zone)
	}
	return list
}

// write makes a change and adds it to the history.
func (s *simulatedStore) write(t *rapid.T) {
	s.position.Revision++
	revision := s.position.Revision
	if name := fmt.Sprint("z", rapid.IntRange(0, 1).Draw(t, "zone")); rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
		zone := Zone{
			Name:      name,
			Evacuated: rapid.Bool().Draw(t, "evacuated"),
			Position:  s.position,
		}
		delete(s.zones, name)
		if zone.Evacuated {
			s.zones[name] = zone
		}
		s.history = append(s.history, func(_ time.Duration, c *Catalog) {
			zone.Position.Era = c.Position().Era
			c.SetZone(zone)
		})
		return
	}
	id := fmt.Sprint("u", rapid.IntRange(0, 3).Draw(t, "id"))
	state := State(rapid.IntRange(0, 2).Draw(t, "state"))
	if state == 0 {
		delete(s.entries, id)
		s.history = append(s.history, func(now time.Duration, c *Catalog) {
			c.Delete(now, id, inEra(c.Position().Era, revision))
		})
		return
	}
	e := entry(id, state, revision)
	e.StartMillis = rapid.Int64Range(1, 3).Draw(t, "start")
	s.entries[id] = e
	s.history = append(s.history, func(_ time.Duration, c *Catalog) {
		e.Position.Era = c.Position().Era
		c.Put(e)
	})
}

// update brings the catalog up to date as a router does: by the changes since its position,
// or by a complete list if the store does not have that position.
func (s *simulatedStore) update(now time.Duration, c *Catalog) {
	known := c.Position()
	if !c.Loaded() || known.Era != s.position.Era || known.Revision > s.position.Revision || known.Revision < s.begin {
		c.Replace(now, s.list())
		return
	}
	for _, change := range s.history[known.Revision-s.begin:] {
		change(now, c)
	}
	c.Advance(s.position)
}

// TestCatalogsFollowARestoredStore makes random sequences of writes, restorations, outages,
// late lists, lists of other routers and restarts. Once the store is stable, the catalogs of
// all routers must equal it after the grace period, whatever was before.
func TestCatalogsFollowARestoredStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &simulatedStore{
			position: at(10),
			entries:  make(map[string]Entry),
			zones:    make(map[string]Zone),
			begin:    10,
		}
		copied := store.clone()
		routers := []*Catalog{New(), New(), New()}
		var late []List
		now := time.Duration(0)
		router := func() *Catalog { return routers[rapid.IntRange(0, 2).Draw(t, "router")] }
		t.Repeat(map[string]func(*rapid.T){
			"write":  store.write,
			"copy":   func(*rapid.T) { copied = store.clone() },
			"update": func(*rapid.T) { store.update(now, router()) },
			"restore": func(*rapid.T) {
				era := store.position.Era
				*store = *copied.clone()
				store.position.Era = era + 1
			},
			"lose":   func(*rapid.T) { router().StoreLost() },
			"regain": func(*rapid.T) { router().StoreRegained(now) },
			"read":   func(*rapid.T) { late = append(late, store.list()) },
			"deliver": func(t *rapid.T) {
				if len(late) > 0 {
					router().Replace(now, late[rapid.IntRange(0, len(late)-1).Draw(t, "list")])
				}
			},
			"merge": func(*rapid.T) {
				from, to := router(), router()
				if !from.LastChange().After(to.Position()) {
					return // Routers send no list that is older than the receiver's.
				}
				to.Merge(now, List{
					Entries:  from.StoreEntries(),
					Zones:    from.StoreZones(),
					Position: from.LastChange(),
					EraAge:   from.EraAge(now),
				}, from.InSync(now))
			},
			"restart": func(t *rapid.T) { routers[rapid.IntRange(0, 2).Draw(t, "router")] = New() },
			"wait": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond
				for _, c := range routers {
					c.Tick(now)
				}
			},
		})
		for _, c := range routers {
			c.StoreRegained(now)
			store.checkFollowed(t, now, c)
		}
	})
}

// checkFollowed checks that the catalog, once up to date, equals the store after the grace
// period.
func (s *simulatedStore) checkFollowed(t *rapid.T, now time.Duration, c *Catalog) {
	s.update(now, c)
	c.Tick(now + 2*_expiryGrace)
	if got, want := content(c.Entries(), c.EvacuatedZones()), content(s.list().Entries, s.list().Zones); got != want {
		t.Fatalf("got %s, want %s", got, want)
	}
	if c.Expired()+c.Withheld() > 0 {
		t.Fatalf("got %d expired and %d withheld, want none", c.Expired(), c.Withheld())
	}
}

// content describes a list without its positions.
func content(entries []Entry, zones []Zone) string {
	var lines []string
	for _, e := range entries {
		lines = append(lines, fmt.Sprint(e.ID, e.State, e.StartMillis))
	}
	for _, zone := range zones {
		lines = append(lines, zone.Name)
	}
	slices.Sort(lines)
	return fmt.Sprint(lines)
}
