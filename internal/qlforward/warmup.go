package qlforward

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/quetzallane/quetzallane/internal/qlbalance"
	"github.com/quetzallane/quetzallane/internal/qlcatalog"
	"github.com/quetzallane/quetzallane/internal/qlwarmup"
)

// WarmUp configures the limits on requests to cold upstreams of plain services. Those of
// engines are the placement's.
type WarmUp struct {
	// Overage and Tolerance are the settings of the bound.
	Overage   float64
	Tolerance float64
	// Fleet returns what this router knows of the fleet; nil for a single router.
	Fleet func() qlwarmup.Fleet
}

// coldUpstream is an upstream whose requests are limited.
type coldUpstream struct {
	window qlwarmup.Window
	pace   qlwarmup.Pace
}

// candidates returns the upstreams of the request's service that may get it. Those that get
// their traffic back in steps are left out only while there are others. The caller holds mu.
func (f *Forwarder) candidates(x *exchange, now time.Duration) []qlbalance.Upstream {
	entries := x.view.readyByService[x.service.Name()]
	candidates := make([]qlbalance.Upstream, 0, len(entries))
	var returning []qlbalance.Upstream
	x.tooCold = false
	for _, entry := range entries {
		if f.isPaused(entry) || slices.Contains(x.excluded, entry.ID) {
			continue
		}
		candidate := qlbalance.Upstream{
			ID:    entry.ID,
			Zone:  entry.Zone,
			Slots: entry.Slots,
		}
		switch {
		case !f.isTooCold(x, entry, now):
			candidates = append(candidates, candidate)
			continue
		case !entry.WarmUp.Window(x.service.WarmUp().Duration).IsCold(now):
			returning = append(returning, candidate)
		}
		x.tooCold = true
		f.metrics.warmUps.Add("left-out", 1)
	}
	if len(candidates) == 0 {
		return returning
	}
	return candidates
}

// isTooCold reports whether an upstream may not get a request now since it is cold. The
// caller holds mu.
func (f *Forwarder) isTooCold(x *exchange, entry qlcatalog.Entry, now time.Duration) bool {
	warmUp := x.service.WarmUp()
	window := entry.WarmUp.Window(warmUp.Duration)
	if !window.IsLimited(now) {
		return false
	}
	cold := f.cold[entry.ID]
	if cold == nil {
		cold = &coldUpstream{}
		f.cold[entry.ID] = cold
	}
	cold.window = window
	limit := qlwarmup.Limit{
		PerSecond: warmUp.PerSecond,
		Overage:   f.config.WarmUp.Overage,
		Tolerance: f.config.WarmUp.Tolerance,
	}
	fleet := qlwarmup.Fleet{
		Known: 1,
		Live:  1,
	}
	if f.config.WarmUp.Fleet != nil {
		fleet = f.config.WarmUp.Fleet()
	}
	offset := float64(xxhash.Sum64String(entry.ID)) / math.MaxUint64
	return !cold.pace.Allows(now, window, limit.PlainShare(fleet), offset)
}

// recordCold records a request to an upstream, if it is cold. The caller holds mu.
func (f *Forwarder) recordCold(id string, now time.Duration) {
	if cold := f.cold[id]; cold != nil && cold.window.IsLimited(now) {
		cold.pace.Record(now)
		f.metrics.warmUps.Add("requests", 1)
	}
}

// pruneCold forgets upstreams that aren't limited any more. The caller holds mu.
func (f *Forwarder) pruneCold(now time.Duration) {
	for id, cold := range f.cold {
		if !cold.window.IsLimited(now) {
			delete(f.cold, id)
		}
	}
}
