package qlforward

import (
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qlcatalog"
	"github.com/quetzallane/quetzallane/internal/qlconn"
)

// _evacuatedRetry is the Retry-After of a request to a service whose upstreams are all in
// evacuated zones. Evacuations last for minutes; a second adds little to that.
const _evacuatedRetry = time.Second

// errEvacuated ends an attempt that was not sent since the upstream's zone is evacuated.
var errEvacuated = errors.New("the upstream's zone is evacuated")

// WithoutZones returns the view without the upstreams of the zones.
func (v *View) WithoutZones(zones []string) *View {
	if len(zones) == 0 {
		return v
	}
	view := &View{
		table:              v.table,
		listPosition:       v.listPosition,
		readyByService:     make(map[string][]qlcatalog.Entry),
		readyByID:          make(map[string]qlcatalog.Entry, len(v.readyByID)),
		evacuatedZones:     make(map[string]bool, len(zones)),
		evacuatedByService: make(map[string][]string),
	}
	for _, zone := range zones {
		view.evacuatedZones[zone] = true
	}
	for service, entries := range v.readyByService {
		for _, entry := range entries {
			if view.evacuatedZones[entry.Zone] {
				view.evacuatedByService[service] = append(view.evacuatedByService[service], entry.ID)
				continue
			}
			view.readyByService[service] = append(view.readyByService[service], entry)
			view.readyByID[entry.ID] = entry
		}
	}
	return view
}

// EvacuatedServices returns the services whose ready upstreams are all in evacuated zones,
// sorted by name.
func (v *View) EvacuatedServices() []string {
	services := slices.Sorted(maps.Keys(v.evacuatedByService))
	return slices.DeleteFunc(services, func(service string) bool { return !v.isServiceEvacuated(service) })
}

func (v *View) isServiceEvacuated(service string) bool {
	return len(v.evacuatedByService[service]) > 0 && len(v.readyByService[service]) == 0
}

// EvacuatedZones returns the number of zones that get no new requests.
func (f *Forwarder) EvacuatedZones() int {
	if view := f.view.Load(); view != nil {
		return len(view.evacuatedZones)
	}
	return 0
}

// isEvacuated reports whether the upstream's zone is evacuated by the newest view. That of a
// request may be older: the request may have waited for a decision or a connection.
func (f *Forwarder) isEvacuated(entry qlcatalog.Entry) bool {
	return f.view.Load().evacuatedZones[entry.Zone]
}

// withhold prepares a request that was not sent to an evacuated zone for another upstream,
// and returns the error of the attempt.
func (f *Forwarder) withhold(x *exchange) error {
	f.metrics.withheld.Add(1)
	f.renewView(x)
	return errors.WithType(errEvacuated, qlconn.ErrNotSent)
}

// renewView makes a request use the newest list of upstreams. It excludes those of evacuated
// zones, since the router that decides may not have heard of the evacuation yet.
func (f *Forwarder) renewView(x *exchange) {
	x.view = f.view.Load()
	for _, id := range x.view.evacuatedByService[x.service.Name()] {
		if !slices.Contains(x.excluded, id) {
			x.excluded = append(x.excluded, id)
		}
	}
}
