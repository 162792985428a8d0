// Package qlcatalog holds a router's copy of the list of upstreams.
//
// Upstreams register themselves under a lease in the platform's store. During
// an outage of the store their leases expire although the upstreams still run;
// they register again within two seconds after the store answers again. A
// deletion of a ready entry during an outage, or within a grace period of about
// that length after it, is therefore not applied until the grace period ends.
// At any other time, and for entries that were draining, a deletion is applied
// at once.
//
// It also holds the availability zones that the operator has ordered to be evacuated.
//
// A store that was restored from an older copy begins a new era (package qlposition). It
// has lost its last changes until they are written again, so for a grace period from when
// this router learns of the era, what was known before holds where the store's list
// contradicts it: missing entries are kept, removed upstreams stay removed, draining ones
// stay draining, and orders about zones stay as they were. Changes made in the new era
// apply at once. Lists and changes of an earlier era are ignored.
//
// # Usage
//
//	catalog := qlcatalog.New()
//	catalog.Put(entry)
//	catalog.StoreLost(); catalog.StoreRegained(now)
//	if catalog.Tick(now) { publish(catalog.Entries()) }
//	catalog.Replace(now, list) // also the first list of a new era
package qlcatalog

import (
	"sort"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlposition"
	"github.com/quetzallane/quetzallane/internal/qlwarmup"
)

// _expiryGrace is how long after the store answers again, or begins a new era, expired
// entries are kept. The platform states that upstreams register again within about two
// seconds; the grace period is a little shorter, to allow for the time that the
// changes take to reach this router.
const _expiryGrace = 1800 * time.Millisecond

// _maxRemoved limits the number of removals that are remembered.
const _maxRemoved = 4096

// State is the state that an upstream registers.
type State int

// The states of upstreams.
const (
	// Ready upstreams accept new requests.
	Ready State = iota + 1
	// Draining upstreams finish their requests and accept no new ones.
	Draining
)

// Entry is the registration of one upstream.
type Entry struct {
	ID      string
	Service string
	// Address has the form IP:port.
	Address string
	// Zone is the upstream's availability zone.
	Zone string
	// Slots is how many requests the upstream processes at once.
	Slots int
	State State
	// StartMillis is when the upstream started, in milliseconds of Unix time.
	// It distinguishes restarts under the same id.
	StartMillis int64
	// Position is that of the entry's last change, or, in the first list of an era, its
	// place in that list.
	Position qlposition.Position
	// WarmUp is what the entry states about the upstream's warm-up, and when this router
	// learned it.
	WarmUp qlwarmup.Report
	// Raw is the entry as stored, for forwarding to other routers.
	Raw []byte
}

// List is a store's complete list.
type List struct {
	Entries []Entry
	// Zones holds the evacuated zones.
	Zones []Zone
	// Position is the one up to which the list has all changes.
	Position qlposition.Position
	// EraAge is how long the list's sender has known of its era; 0 for the store.
	EraAge time.Duration
}

// Catalog is the list of upstreams. It is not safe for concurrent use.
type Catalog struct {
	entries map[string]Entry
	// expired holds, by id, the entries that the store has deleted but that are
	// kept for the grace period, with the positions of the deletions.
	expired map[string]qlposition.Position
	// removed holds the positions of removals, by id, since another router may
	// still send an entry as it was before its removal.
	removed map[string]qlposition.Position
	// zones holds the operator's last order about each zone, by name. Withdrawn orders are
	// kept since another router may still send the order.
	zones map[string]Zone
	// removedStarts holds when the removed upstreams had started, by id.
	removedStarts map[string]int64
	// withheld and withheldZones hold, by id and by name, what the first list of a new era
	// says otherwise than this router knew; it applies after the grace period.
	withheld      map[string]Entry
	withheldZones map[string]Zone
	// removalsCompleteFrom is the position after which removed holds all
	// removals.
	removalsCompleteFrom qlposition.Position
	// position is the one up to which all changes were applied.
	position qlposition.Position
	// eraKnownSince is when this router learned of the store's era, or earlier if the router
	// that told it had known of it longer. eraChanged is set unless it is the first known era.
	eraKnownSince time.Duration
	eraChanged    bool
	// storeLost is set while the store does not answer.
	storeLost bool
	// loaded is set once a complete list was received.
	loaded bool
	// regainedAt is when the store answered again after its last outage; it is
	// valid while regained is set.
	regainedAt time.Duration
	regained   bool
	// changed is set if the list or the evacuated zones changed since the last Tick.
	changed bool
	// lastChange is the last position of a change to an entry or a zone.
	lastChange qlposition.Position
}

// New returns an empty catalog.
func New() *Catalog {
	return &Catalog{
		entries: make(map[string]Entry),
		expired: make(map[string]qlposition.Position),
		removed: make(map[string]qlposition.Position),
		zones:   make(map[string]Zone),

		removedStarts: make(map[string]int64),
		withheld:      make(map[string]Entry),
		withheldZones: make(map[string]Zone),
	}
}

// Loaded reports whether a complete list was ever received.
func (c *Catalog) Loaded() bool {
	return c.loaded
}

// Position returns the position up to which all changes were applied.
func (c *Catalog) Position() qlposition.Position {
	return c.position
}

// LastChange returns the position of the last known change to an entry or a zone.
func (c *Catalog) LastChange() qlposition.Position {
	return c.lastChange
}

// EraAge returns how long the store's era has been known, by this router or the one from
// which it has the era's first list; 0 before the first list.
func (c *Catalog) EraAge(now time.Duration) time.Duration {
	if !c.loaded {
		return 0
	}
	return now - c.eraKnownSince
}

// Advance records that all changes up to the position were applied. One of another era is
// ignored: an era begins with a complete list.
func (c *Catalog) Advance(position qlposition.Position) {
	if position.Era == c.position.Era {
		c.position = c.position.Max(position)
	}
}

// StoreLost records that the store does not answer.
func (c *Catalog) StoreLost() {
	c.storeLost = true
}

// StoreRegained records that the store answers. After an outage, it starts the
// grace period for expired entries.
func (c *Catalog) StoreRegained(now time.Duration) {
	if c.storeLost {
		c.storeLost = false
		c.regained = true
		c.regainedAt = now
	}
}

// EndGracePeriod ends an outage and its grace period. It is called when another
// router, whose list equals the store's, keeps no expired entries. The grace period of a
// new era goes on: a router that knows no earlier era has nothing to keep.
func (c *Catalog) EndGracePeriod() {
	c.storeLost, c.regained = false, false
}

// IsOutdated reports whether a position is of an earlier era than what is known. The store
// may have lost whatever was there.
func (c *Catalog) IsOutdated(position qlposition.Position) bool {
	return position.Era < c.lastChange.Era
}

// Put adds or replaces an entry, unless a newer version of it or its removal is
// already known.
func (c *Catalog) Put(entry Entry) {
	old, known := c.entries[entry.ID]
	if c.IsOutdated(entry.Position) || known && old.Position.After(entry.Position) {
		return
	}
	if removed, ok := c.removed[entry.ID]; ok && !entry.Position.After(removed) {
		return
	}
	if withheld, ok := c.withheld[entry.ID]; ok && !entry.Position.After(withheld.Position) {
		return
	}
	delete(c.withheld, entry.ID)
	delete(c.removed, entry.ID)
	if known {
		// The entry of an older copy may repeat a report from before the known one.
		repeated := old.Position == entry.Position || old.Position.Era != entry.Position.Era && old.StartMillis == entry.StartMillis
		entry.WarmUp = entry.WarmUp.Follow(old.WarmUp, repeated)
	} else if start, removed := c.removedStarts[entry.ID]; removed && start != entry.StartMillis {
		entry.WarmUp.Restarted = true
	}
	delete(c.removedStarts, entry.ID)
	c.entries[entry.ID] = entry
	c.lastChange = c.lastChange.Max(entry.Position)
	delete(c.expired, entry.ID)
	c.changed = true
}

// Delete applies the store's deletion of an entry at the position. A ready
// entry is kept as expired during an outage of the store and the grace periods
// after it and after the start of an era.
func (c *Catalog) Delete(now time.Duration, id string, position qlposition.Position) {
	if c.IsOutdated(position) {
		return
	}
	if withheld, ok := c.withheld[id]; ok && !withheld.Position.After(position) {
		delete(c.withheld, id)
		if _, known := c.entries[id]; !known {
			// Other routers may have applied the entry.
			c.recordRemoval(id, withheld.StartMillis, position)
		}
	}
	c.remove(id, position, c.inGracePeriod(now))
}

// remove removes an entry unless it changed after the position. If keepExpired
// is set, a ready entry is kept as expired instead.
func (c *Catalog) remove(id string, position qlposition.Position, keepExpired bool) {
	c.lastChange = c.lastChange.Max(position)
	entry, ok := c.entries[id]
	if !ok || entry.Position.After(position) {
		return
	}
	if entry.State == Ready && keepExpired {
		c.expired[id] = position
		return
	}
	c.drop(id, position)
}

// drop removes an entry from the list and remembers the position of its
// removal.
func (c *Catalog) drop(id string, position qlposition.Position) {
	c.recordRemoval(id, c.entries[id].StartMillis, position)
	delete(c.entries, id)
	delete(c.expired, id)
	c.changed = true
}

// recordRemoval remembers the removal of an upstream that had started at startMillis.
func (c *Catalog) recordRemoval(id string, startMillis int64, position qlposition.Position) {
	if len(c.removed) >= _maxRemoved {
		clear(c.removed)
		clear(c.removedStarts)
		c.removalsCompleteFrom = c.position
	}
	c.removed[id] = position
	c.removedStarts[id] = startMillis
}

// inGracePeriod reports whether deleted entries are kept: during an outage of
// the store, for _expiryGrace after it, and for as long after the start of an era.
func (c *Catalog) inGracePeriod(now time.Duration) bool {
	return c.inOutage(now) || c.inNewEra(now)
}

// inOutage reports whether the store does not answer, or did not until _expiryGrace ago.
func (c *Catalog) inOutage(now time.Duration) bool {
	return c.storeLost || c.regained && now < c.regainedAt+_expiryGrace
}

// inNewEra reports whether the store's changes before the era may not be written again yet.
func (c *Catalog) inNewEra(now time.Duration) bool {
	return c.eraChanged && c.EraAge(now) < _expiryGrace
}

// InSync reports whether the list equals the store's, as far as outages matter: it was
// loaded, the store answers, and no grace period after an outage is running.
func (c *Catalog) InSync(now time.Duration) bool {
	return c.loaded && !c.inOutage(now)
}

// Replace applies the store's complete list. One that is older than this list is ignored.
func (c *Catalog) Replace(now time.Duration, list List) {
	c.replace(now, list, c.inOutage(now))
}

// Merge applies the complete list of another router. If that router's list is
// in sync with the store, or the first of a new era, entries that it lacks are removed, even
// while the store refuses requests of this router. Otherwise the list only adds and updates
// entries and orders. A list of an earlier era is ignored.
func (c *Catalog) Merge(now time.Duration, list List, inSync bool) {
	switch {
	case inSync:
		c.replace(now, list, false)
	case c.loaded && list.Position.Era > c.position.Era:
		c.replace(now, list, c.inOutage(now))
	case c.IsOutdated(list.Position):
	default:
		for _, zone := range list.Zones {
			c.SetZone(zone)
		}
		for _, entry := range list.Entries {
			c.Put(entry)
		}
	}
}

// replace applies a complete list. If keepExpired is set, ready entries that it
// lacks are kept as expired, as they are in a new era.
func (c *Catalog) replace(now time.Duration, list List, keepExpired bool) {
	if c.loaded && list.Position.Before(c.position) {
		return
	}
	begins := !c.loaded || list.Position.Era > c.position.Era
	if begins {
		c.beginEra(now-list.EraAge, list.Position)
	}
	withhold := begins && c.inNewEra(now)
	c.replaceZones(list, withhold)
	c.loaded = true
	c.changed = true
	listed := make(map[string]bool, len(list.Entries))
	for _, entry := range list.Entries {
		listed[entry.ID] = true
		if withhold && c.contradicts(&entry) {
			c.withheld[entry.ID] = entry
			continue
		}
		c.Put(entry)
	}
	for id := range c.withheld {
		if !listed[id] {
			c.Delete(now, id, list.Position)
		}
	}
	for id := range c.entries {
		if !listed[id] {
			c.remove(id, list.Position, keepExpired || c.inNewEra(now))
		}
	}
	c.position = c.position.Max(list.Position)
}

// beginEra prepares the catalog for the first list, or the first one of a new era, whose
// era has been known since the time.
func (c *Catalog) beginEra(since time.Duration, position qlposition.Position) {
	c.eraChanged = c.loaded
	c.eraKnownSince = since
	// Earlier removals are unknown, or of another era.
	c.removalsCompleteFrom = position
	c.lastChange = c.lastChange.Max(qlposition.Position{
		Era: position.Era,
	})
	clear(c.withheld)
	clear(c.withheldZones)
}

// contradicts reports whether an entry in the first list of an era is from before a change
// that this router knows: the upstream has been removed, has begun to drain or has started
// again since.
func (c *Catalog) contradicts(entry *Entry) bool {
	if known, ok := c.entries[entry.ID]; ok {
		return entry.StartMillis < known.StartMillis ||
			entry.StartMillis == known.StartMillis && entry.State == Ready && known.State == Draining
	}
	start, removed := c.removedStarts[entry.ID]
	return removed && entry.StartMillis <= start
}

// Tick removes expired entries and applies withheld ones once the grace period is over. It reports whether the list or the evacuated zones
// changed since the last call.
func (c *Catalog) Tick(now time.Duration) bool {
	if len(c.expired) > 0 && !c.inGracePeriod(now) {
		for id, position := range c.expired {
			c.drop(id, position)
		}
	}
	if !c.inNewEra(now) {
		for id, entry := range c.withheld {
			delete(c.withheld, id)
			c.Put(entry)
		}
		for name, zone := range c.withheldZones {
			delete(c.withheldZones, name)
			c.SetZone(zone)
		}
	}
	changed := c.changed
	c.changed = false
	return changed
}

// Expired returns the number of entries that are kept although the store has
// deleted them.
func (c *Catalog) Expired() int {
	return len(c.expired)
}

// Withheld returns the number of entries and orders of a new era that do not apply yet.
func (c *Catalog) Withheld() int {
	return len(c.withheld) + len(c.withheldZones)
}

// StoreEntries returns the entries as the store has them, sorted by id: without the expired
// ones, and with the withheld ones.
func (c *Catalog) StoreEntries() []Entry {
	listed := make([]Entry, 0, len(c.entries)+len(c.withheld))
	for id, entry := range c.entries {
		_, expired := c.expired[id]
		if _, withheld := c.withheld[id]; !expired && !withheld {
			listed = append(listed, entry)
		}
	}
	for _, entry := range c.withheld {
		listed = append(listed, entry)
	}
	sortByID(listed)
	return listed
}

// Since returns the entries that changed after the position and the positions
// of the removals after it. The result ok is false if the changes after the
// position are not known completely, or if expired entries are being kept.
func (c *Catalog) Since(position qlposition.Position) (changed []Entry, removed map[string]qlposition.Position, ok bool) {
	if !c.loaded || position.Before(c.removalsCompleteFrom) || len(c.expired) > 0 {
		return nil, nil, false
	}
	for _, entry := range c.StoreEntries() {
		if entry.Position.After(position) {
			changed = append(changed, entry)
		}
	}
	removed = make(map[string]qlposition.Position)
	for id, at := range c.removed {
		if at.After(position) {
			removed[id] = at
		}
	}
	return changed, removed, true
}

// Entries returns all entries including expired ones, sorted by id.
func (c *Catalog) Entries() []Entry {
	entries := make([]Entry, 0, len(c.entries))
	for _, entry := range c.entries {
		entries = append(entries, entry)
	}
	sortByID(entries)
	return entries
}

func sortByID(entries []Entry) {
	sort.Slice(entries, func(i, j int) bool {
		return entries[i].ID < entries[j].ID
	})
}
