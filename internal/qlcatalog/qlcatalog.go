// Package qlcatalog holds the list of upstreams as it was last learned.
//
// Upstreams register themselves under a lease in the platform's store. While
// the store is away leases lapse although the upstreams live; they register
// again within two seconds of its return. An entry that vanishes around an
// outage is therefore kept for that long, and then taken for gone. An entry
// that vanishes at any other time, or while it was draining, goes at once.
//
// # Usage
//
//	catalog := qlcatalog.New()
//	catalog.Put(now, entry)
//	catalog.Away(now); catalog.Back(now)
//	if catalog.Tick(now) { publish(catalog.Entries()) }
package qlcatalog

import (
	"sort"
	"time"
)

// _lapseHold is how long after the store's return lapsed entries may come
// back: the platform states about two seconds, of which a part is for the way
// of the news.
const _lapseHold = 1800 * time.Millisecond

// _mostRemoved bounds the removals that are remembered.
const _mostRemoved = 4096

// State is what an upstream says of itself.
type State int

// The states.
const (
	Ready State = iota + 1
	Draining
)

// Entry is one upstream.
type Entry struct {
	ID      string
	Service string
	// Address is IP:port.
	Address string
	Zone    string
	Slots   int
	State   State
	// Born tells starts under one id apart, in milliseconds of Unix time.
	StartMillis int64
	// Revision is the store's at the entry's last change.
	Revision uint64
	// Raw is the entry as the store holds it, for other routers.
	Raw []byte
}

// Catalog is the list. It is not safe for several goroutines.
type Catalog struct {
	entries map[string]Entry
	// lapsed holds the revisions of removals that are not believed yet.
	lapsed map[string]uint64
	// removed holds the revisions of removals: another router may still tell
	// of the entry as it was before.
	removed map[string]uint64
	// removedFrom is the revision from which on all removals are held.
	removedFrom uint64
	revision    uint64
	away        bool
	known       bool
	backAt      time.Duration
	wasAway     bool
	changed     bool
	// changedAt is the revision of the last change of an entry.
	changedAt uint64
}

// New returns an empty list.
func New() *Catalog {
	return &Catalog{
		entries: make(map[string]Entry),
		lapsed:  make(map[string]uint64),
		removed: make(map[string]uint64),
	}
}

// Loaded reports whether the list was ever read.
func (c *Catalog) Loaded() bool {
	return c.known
}

// Revision returns the store's revision up to which the list is complete.
func (c *Catalog) Revision() uint64 {
	return c.revision
}

// ChangeRevision returns the revision of the last change that is known.
func (c *Catalog) ChangeRevision() uint64 {
	return c.changedAt
}

// Advance says that all changes up to the revision were applied.
func (c *Catalog) Advance(revision uint64) {
	c.revision = max(c.revision, revision)
}

// StoreLost says that the store does not answer.
func (c *Catalog) StoreLost() {
	c.away = true
}

// StoreRegained says that the store answers again.
func (c *Catalog) StoreRegained(now time.Duration) {
	if c.away {
		c.away = false
		c.wasAway = true
		c.backAt = now
	}
}

// EndGracePeriod says that a router which has the list as the store has it keeps no
// lapsed entries.
func (c *Catalog) EndGracePeriod() {
	c.away, c.wasAway = false, false
}

// Put takes an entry unless a newer one, or its removal, is known.
func (c *Catalog) Put(entry Entry) {
	if old, ok := c.entries[entry.ID]; ok && old.Revision > entry.Revision {
		return
	}
	if removed, ok := c.removed[entry.ID]; ok && removed >= entry.Revision {
		return
	}
	delete(c.removed, entry.ID)
	c.entries[entry.ID] = entry
	c.changedAt = max(c.changedAt, entry.Revision)
	delete(c.lapsed, entry.ID)
	c.changed = true
}

// Delete takes the removal of an entry at the revision, as the store tells it.
func (c *Catalog) Delete(now time.Duration, id string, revision uint64) {
	c.remove(id, revision, c.holds(now))
}

func (c *Catalog) remove(id string, revision uint64, hold bool) {
	c.changedAt = max(c.changedAt, revision)
	entry, ok := c.entries[id]
	if !ok || entry.Revision > revision {
		return
	}
	if entry.State == Ready && hold {
		c.lapsed[id] = revision
		return
	}
	c.forget(id, revision)
}

func (c *Catalog) forget(id string, revision uint64) {
	if len(c.removed) >= _mostRemoved {
		clear(c.removed)
		c.removedFrom = c.revision
	}
	c.removed[id] = revision
	delete(c.entries, id)
	delete(c.lapsed, id)
	c.changed = true
}

func (c *Catalog) holds(now time.Duration) bool {
	return c.away || c.wasAway && now < c.backAt+_lapseHold
}

// InSync reports whether the list is as the store has it: the store answers,
// and no entry is kept beyond its removal.
func (c *Catalog) InSync(now time.Duration) bool {
	return c.known && !c.holds(now)
}

// Replace takes the whole list as the store has it at the revision. An older
// one is ignored.
func (c *Catalog) Replace(now time.Duration, entries []Entry, revision uint64) {
	c.replace(entries, revision, c.holds(now))
}

// Merge takes the whole list from a router. One that is settled has it from
// the store: what it lacks is gone, even when the store turns this router
// away. Of another only what it has counts.
func (c *Catalog) Merge(entries []Entry, revision uint64, settled bool) {
	if settled {
		c.replace(entries, revision, false)
		return
	}
	for _, entry := range entries {
		c.Put(entry)
	}
}

func (c *Catalog) replace(entries []Entry, revision uint64, hold bool) {
	if c.known && revision < c.revision {
		return
	}
	if !c.known {
		// Removals before the first list are not known.
		c.removedFrom = revision
	}
	c.known = true
	c.changed = true
	listed := make(map[string]bool, len(entries))
	for _, entry := range entries {
		listed[entry.ID] = true
		c.Put(entry)
	}
	for id := range c.entries {
		if !listed[id] {
			c.remove(id, revision, hold)
		}
	}
	c.Advance(revision)
}

// Tick drops lapsed entries whose time is over and reports whether the list
// changed since the last call.
func (c *Catalog) Tick(now time.Duration) bool {
	if len(c.lapsed) > 0 && !c.holds(now) {
		for id, revision := range c.lapsed {
			c.forget(id, revision)
		}
	}
	changed := c.changed
	c.changed = false
	return changed
}

// Expired returns how many entries are kept although the store lacks them.
func (c *Catalog) Expired() int {
	return len(c.lapsed)
}

// StoreEntries returns the upstreams that the store has, sorted by id.
func (c *Catalog) StoreEntries() []Entry {
	entries := c.Entries()
	listed := entries[:0]
	for _, entry := range entries {
		if _, lapsed := c.lapsed[entry.ID]; !lapsed {
			listed = append(listed, entry)
		}
	}
	return listed
}

// Since returns the entries that the store changed after the revision, and the
// removals after it; ok is false when not all of them are known. So it
// entries are kept that lapsed.
func (c *Catalog) Since(revision uint64) (changed []Entry, removed map[string]uint64, ok bool) {
	if !c.known || revision < c.removedFrom || len(c.lapsed) > 0 {
		return nil, nil, false
	}
	for _, entry := range c.StoreEntries() {
		if entry.Revision > revision {
			changed = append(changed, entry)
		}
	}
	removed = make(map[string]uint64)
	for id, at := range c.removed {
		if at > revision {
			removed[id] = at
		}
	}
	return changed, removed, true
}

// Entries returns the upstreams sorted by id, lapsed ones included.
func (c *Catalog) Entries() []Entry {
	entries := make([]Entry, 0, len(c.entries))
	for _, entry := range c.entries {
		entries = append(entries, entry)
	}
	sort.Slice(entries, func(i, j int) bool {
		return entries[i].ID < entries[j].ID
	})
	return entries
}
