package qlforward

import (
	"time"

	"github.com/quetzallane/quetzallane/internal/qlbalance"
	"go.uber.org/zap"
)

const (
	// _slowPace is the pace from which a report counts as slow in the metrics. Machines
	// that are slow at the moment take 2.5 times as long as usual.
	_slowPace = 1.5
	// _maxPaceDelay is the time between the head of an answer and its first event above
	// which the pace in the head is not passed on: slow periods last 600 ms, and the
	// placement takes a pace as that of the first event's time.
	_maxPaceDelay = 100 * time.Millisecond
)

// recordPace counts the pace that an upstream has reported, and logs one that is not
// usable.
func (f *Forwarder) recordPace(x *exchange, answer Answer) {
	x.pace, x.paceAt = answer.Pace, time.Now()
	switch {
	case answer.PaceError != nil:
		f.metrics.paces.Add("unusable", 1)
		f.config.Log.Info("pace-unusable", zap.String("upstream", x.upstream), zap.Error(answer.PaceError))
	case answer.Pace >= _slowPace:
		f.metrics.paces.Add("slow", 1)
	case answer.Pace > 0:
		f.metrics.paces.Add("usual", 1)
	}
}

// currentPace returns the pace that the upstream reported in the head of its answer, or
// 0 if it reported none or the head came too long ago.
func (f *Forwarder) currentPace(x *exchange) float64 {
	if time.Since(x.paceAt) > _maxPaceDelay {
		return 0
	}
	return x.pace
}

// Paces returns what the upstreams of plain services have reported of their pace, by
// service.
func (f *Forwarder) Paces() map[string][]qlbalance.PaceState {
	now := f.config.Clock()
	f.mu.Lock()
	defer f.mu.Unlock()
	states := make(map[string][]qlbalance.PaceState)
	for service, balancer := range f.balancers {
		if paces := balancer.Paces(now); len(paces) > 0 {
			states[service] = paces
		}
	}
	return states
}
