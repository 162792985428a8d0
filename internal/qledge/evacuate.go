package qledge

import (
	"maps"
	"slices"

	"github.com/quetzallane/quetzallane/internal/qlcatalog"
	"github.com/quetzallane/quetzallane/internal/qlfleetwire"
	"go.uber.org/zap"
)

// All functions of this file run in the control goroutine.

// loggedEvacuations holds what the last log lines about evacuated zones said.
type loggedEvacuations struct {
	// zones holds the evacuated zones, and whether upstreams were known in them.
	zones map[string]bool
	// services are those without an upstream outside evacuated zones.
	services []string
}

// splitZones separates the orders about zones from the other items.
func splitZones(items []Item) (others []Item, zones []qlcatalog.Zone) {
	for _, item := range items {
		if item.Zone == "" {
			others = append(others, item)
			continue
		}
		zones = append(zones, qlcatalog.Zone{
			Name:      item.Zone,
			Evacuated: !item.Deleted,
			Position:  item.Position,
		})
	}
	return others, zones
}

// setZones applies orders about zones.
func (e *Edge) setZones(zones []qlcatalog.Zone) {
	for _, zone := range zones {
		e.catalog.SetZone(zone)
	}
}

func encodeZones(zones []qlcatalog.Zone) []*qlfleetwire.Item {
	items := make([]*qlfleetwire.Item, 0, len(zones))
	for _, zone := range zones {
		items = append(items, encodeItem(Item{
			Zone:     zone.Name,
			Position: zone.Position,
			Deleted:  !zone.Evacuated,
		}))
	}
	return items
}

func zoneNames(zones []qlcatalog.Zone) []string {
	names := make([]string, 0, len(zones))
	for _, zone := range zones {
		names = append(names, zone.Name)
	}
	return names
}

// replicasByZone counts the upstreams of each zone.
func replicasByZone(entries []qlcatalog.Entry) map[string]int {
	counts := make(map[string]int)
	for _, entry := range entries {
		counts[entry.Zone]++
	}
	return counts
}

// logEvacuations logs the zones that were evacuated or returned since the last call, and the
// services that lost all their upstreams by that or have some again. A zone without known
// upstreams may be a mistake of the operator's.
func (e *Edge) logEvacuations(entries []qlcatalog.Entry, services []string) {
	logged := &e.lastLogged.evacuations
	evacuated := e.catalog.EvacuatedZones()
	if len(evacuated) == 0 && len(logged.zones) == 0 {
		return
	}
	replicas := replicasByZone(entries)
	fields := func(zone string) []zap.Field {
		return []zap.Field{zap.String("zone", zone), zap.Inline(e.catalog.ZonePosition(zone)), zap.Int("replicas", replicas[zone])}
	}
	zones := make(map[string]bool, len(evacuated))
	for _, zone := range evacuated {
		hadReplicas, known := logged.zones[zone.Name]
		zones[zone.Name] = hadReplicas || replicas[zone.Name] > 0
		switch {
		case zones[zone.Name] && !hadReplicas:
			e.log.Warn("zone-evacuated", fields(zone.Name)...)
		case !zones[zone.Name] && !known:
			e.log.Warn("zone-unknown", fields(zone.Name)...)
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(logged.zones)) {
		if !e.catalog.IsEvacuated(zone) {
			e.log.Warn("zone-returned", fields(zone)...)
		}
	}
	for _, service := range services {
		if !slices.Contains(logged.services, service) {
			e.log.Error("service-evacuated", zap.String("service", service))
		}
	}
	for _, service := range logged.services {
		if !slices.Contains(services, service) {
			e.log.Info("service-returned", zap.String("service", service))
		}
	}
	logged.zones, logged.services = zones, services
}

// evacuationState returns the evacuated zones for the state dump.
func (e *Edge) evacuationState() []map[string]any {
	replicas := replicasByZone(e.catalog.Entries())
	states := []map[string]any{}
	for _, zone := range e.catalog.EvacuatedZones() {
		states = append(states, map[string]any{
			"zone":     zone.Name,
			"era":      zone.Position.Era,
			"revision": zone.Position.Revision,
			"replicas": replicas[zone.Name],
		})
	}
	return states
}
