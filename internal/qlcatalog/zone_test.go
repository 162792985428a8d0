package qlcatalog

import (
	"fmt"
	"testing"
	"time"
)

func order(zone string, revision uint64) Zone {
	return Zone{
		Name:      zone,
		Evacuated: true,
		Position:  at(revision),
	}
}

func withdrawal(zone string, revision uint64) Zone {
	return Zone{
		Name:     zone,
		Position: at(revision),
	}
}

func withZones(list List, zones ...Zone) List {
	list.Zones = zones
	return list
}

// TestOrdersAboutZones guards against an old item that undoes a newer one, and against
// lists that return a zone, or keep it evacuated, against the store's newest state. Each
// case begins with an order about z2 at revision 20 and ends with whether z2 is evacuated.
func TestOrdersAboutZones(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(c *Catalog)
		want   bool
	}{
		{name: "order", change: func(*Catalog) {}, want: true},
		{name: "withdrawal", change: func(c *Catalog) { c.SetZone(withdrawal("z2", 21)) }},
		{name: "older withdrawal", change: func(c *Catalog) { c.SetZone(withdrawal("z2", 19)) }, want: true},
		{name: "old order after the withdrawal", change: func(c *Catalog) {
			c.SetZone(withdrawal("z2", 21))
			c.SetZone(order("z2", 20))
		}},
		{name: "newer order", change: func(c *Catalog) {
			c.SetZone(withdrawal("z2", 21))
			c.SetZone(order("z2", 22))
		}, want: true},
		{name: "full list with the order", change: func(c *Catalog) { c.Replace(0, withZones(listAt(30, c.Entries()...), order("z2", 20))) }, want: true},
		{name: "full list without the order", change: func(c *Catalog) { c.Replace(0, listAt(30, c.Entries()...)) }},
		{name: "old order after a full list without it", change: func(c *Catalog) {
			c.Replace(0, listAt(30, c.Entries()...))
			c.SetZone(order("z2", 20))
		}},
		{name: "full list from before the order", change: func(c *Catalog) { c.Replace(0, listAt(15, c.Entries()...)) }, want: true},
		{name: "full list that is older than this one", change: func(c *Catalog) {
			c.Advance(at(40))
			c.Replace(0, listAt(30, c.Entries()...))
		}, want: true},
		{name: "the store is lost", change: func(c *Catalog) {
			c.StoreLost()
			c.Tick(time.Hour)
		}, want: true},
		{name: "withdrawal in the grace period", change: func(c *Catalog) {
			c.StoreLost()
			c.StoreRegained(time.Second)
			c.SetZone(withdrawal("z2", 21))
		}},
		{name: "list of a router that is not in sync", change: func(c *Catalog) { c.Merge(0, listAt(30, c.Entries()...), false) }, want: true},
		{name: "list of a router that is in sync", change: func(c *Catalog) { c.Merge(0, listAt(30, c.Entries()...), true) }},
	} {
		catalog := New()
		catalog.Replace(0, listAt(10, Entry{ID: "a", Zone: "z1", Position: at(1)}, Entry{ID: "b", Zone: "z2", Position: at(2)}))
		catalog.SetZone(order("z2", 20))
		c.change(catalog)
		if got := catalog.IsEvacuated("z2"); got != c.want {
			t.Errorf("%s: got evacuated %v, want %v", c.name, got, c.want)
		}
		if got, want := len(catalog.UsableEntries()) == 1, c.want; got != want {
			t.Errorf("%s: got only one usable entry %v, want %v", c.name, got, want)
		}
	}
}

// TestManyOrdersAreForgottenTogether guards against orders that use memory without a bound,
// and against changes that are reported as complete although withdrawals were forgotten.
func TestManyOrdersAreForgottenTogether(t *testing.T) {
	c := New()
	c.Replace(0, listAt(10))
	for i := range uint64(3 * _maxZones) {
		c.SetZone(order(fmt.Sprint(i), 11+2*i))
		c.SetZone(withdrawal(fmt.Sprint(i), 12+2*i))
		c.Advance(at(12 + 2*i))
	}
	if got, want := len(c.zones), _maxZones; got > want {
		t.Errorf("zones: got %d, want %d at most", got, want)
	}
	if _, _, ok := c.Since(at(10)); ok {
		t.Error("changes since a forgotten withdrawal: got complete, want incomplete")
	}
	if _, _, ok := c.Since(c.Position()); !ok {
		t.Error("changes since the last revision: got incomplete, want complete")
	}
}
