package qlcatalog

import (
	"maps"
	"sort"

	"github.com/quetzallane/quetzallane/internal/qlposition"
)

// _maxZones limits the zones that are remembered, apart from evacuated ones.
const _maxZones = 1024

// Zone is the operator's last order about an availability zone.
type Zone struct {
	Name string
	// Evacuated is set from the order to evacuate the zone until its withdrawal.
	Evacuated bool
	// Position is that of the order or of its withdrawal. A withdrawal that was seen only as
	// an absence from a complete list has the position of that list.
	Position qlposition.Position
}

// SetZone applies an order about a zone, unless a newer one is already known. Unlike
// entries, orders have no lease: a withdrawal is applied at once, also during the grace
// period after an outage of the store.
func (c *Catalog) SetZone(zone Zone) {
	old, known := c.zones[zone.Name]
	if zone.Name == "" || c.IsOutdated(zone.Position) || known && !zone.Position.After(old.Position) {
		return
	}
	if withheld, ok := c.withheldZones[zone.Name]; ok && !zone.Position.After(withheld.Position) {
		return
	}
	delete(c.withheldZones, zone.Name)
	if !known && len(c.zones) >= _maxZones {
		c.forgetWithdrawals()
	}
	c.zones[zone.Name] = zone
	c.lastChange = c.lastChange.Max(zone.Position)
	c.changed = c.changed || zone.Evacuated != old.Evacuated
}

// forgetWithdrawals drops the zones that are not evacuated. Other routers then get the
// complete list instead of the changes.
func (c *Catalog) forgetWithdrawals() {
	for name, zone := range c.zones {
		if !zone.Evacuated {
			delete(c.zones, name)
			c.removalsCompleteFrom = c.position
		}
	}
}

// replaceZones applies the orders of a complete list. If withhold is set, the list is the
// first of a new era, and orders that it contradicts stay as they are for now.
func (c *Catalog) replaceZones(list List, withhold bool) {
	listed := make(map[string]bool, len(list.Zones))
	for _, zone := range list.Zones {
		listed[zone.Name] = true
		if known, ok := c.zones[zone.Name]; withhold && ok && !known.Evacuated {
			c.withheldZones[zone.Name] = zone
			continue
		}
		c.SetZone(zone)
	}
	for _, zone := range c.EvacuatedZones() {
		if listed[zone.Name] {
			continue
		}
		withdrawal := Zone{
			Name:     zone.Name,
			Position: list.Position,
		}
		if withheld, ok := c.withheldZones[zone.Name]; withhold || ok && !withheld.Evacuated {
			c.withheldZones[zone.Name] = withdrawal
			continue
		}
		c.SetZone(withdrawal)
	}
	for name, zone := range c.withheldZones {
		if zone.Evacuated && !listed[name] {
			c.SetZone(Zone{
				Name:     name,
				Position: list.Position,
			})
		}
	}
}

// IsEvacuated reports whether the zone is evacuated.
func (c *Catalog) IsEvacuated(zone string) bool {
	return c.zones[zone].Evacuated
}

// EvacuatedZones returns the evacuated zones, sorted by name.
func (c *Catalog) EvacuatedZones() []Zone {
	return evacuated(c.zones)
}

// StoreZones returns the zones that are evacuated by the store's orders, sorted by name:
// with the withheld orders in place of those that hold until the grace period ends.
func (c *Catalog) StoreZones() []Zone {
	return evacuated(c.storeZones())
}

// storeZones returns the last orders as the store has them.
func (c *Catalog) storeZones() map[string]Zone {
	if len(c.withheldZones) == 0 {
		return c.zones
	}
	zones := maps.Clone(c.zones)
	maps.Copy(zones, c.withheldZones)
	return zones
}

func evacuated(zones map[string]Zone) []Zone {
	var evacuated []Zone
	for _, zone := range zones {
		if zone.Evacuated {
			evacuated = append(evacuated, zone)
		}
	}
	sort.Slice(evacuated, func(i, j int) bool { return evacuated[i].Name < evacuated[j].Name })
	return evacuated
}

// ZonePosition returns the position of the last order in force about the zone, or the zero
// position.
func (c *Catalog) ZonePosition(zone string) qlposition.Position {
	return c.zones[zone].Position
}

// ZonesSince returns the zones whose order was given or withdrawn after the position. They
// are complete if Since reports that its changes are.
func (c *Catalog) ZonesSince(position qlposition.Position) []Zone {
	var changed []Zone
	for _, zone := range c.storeZones() {
		if zone.Position.After(position) {
			changed = append(changed, zone)
		}
	}
	return changed
}

// UsableEntries returns all entries of zones that are not evacuated, expired ones included,
// sorted by id.
func (c *Catalog) UsableEntries() []Entry {
	entries := c.Entries()
	usable := entries[:0]
	for _, entry := range entries {
		if !c.IsEvacuated(entry.Zone) {
			usable = append(usable, entry)
		}
	}
	return usable
}
