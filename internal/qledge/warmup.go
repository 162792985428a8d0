package qledge

import (
	"time"

	"github.com/quetzallane/quetzallane/internal/qlcatalog"
	"github.com/quetzallane/quetzallane/internal/qlplace"
	"github.com/quetzallane/quetzallane/internal/qlroute"
	"github.com/quetzallane/quetzallane/internal/qlwarmup"
	"go.uber.org/zap"
)

// serviceOf returns the service of an upstream, or nil if the configuration has none. It runs
// in the control goroutine.
func (e *Edge) serviceOf(entry *qlcatalog.Entry) *qlroute.Service {
	if e.table == nil {
		return nil
	}
	return e.table.Service(entry.Service)
}

// learnWarmUp adds to an upstream's entry when this router learned it, and logs a stated time
// that can't be used. It runs in the control goroutine.
func (e *Edge) learnWarmUp(entry *qlcatalog.Entry) {
	report := &entry.WarmUp
	report.LearnedAt, report.LearnedMillis = e.clock(), time.Now().UnixMilli()
	service := e.serviceOf(entry)
	switch {
	case service == nil || service.WarmUp().Duration == 0:
	case report.Fault != nil:
		e.log.Warn("warm-up-invalid", zap.String("upstream", entry.ID), zap.Error(report.Fault))
	case report.IsAbsurd(service.WarmUp().Duration):
		e.log.Warn("warm-up-invalid", zap.String("upstream", entry.ID), zap.Duration("left", report.Left),
			zap.Duration("warm-up", service.WarmUp().Duration))
	}
}

// engineWarmUp returns the warm-up of an engine.
func (e *Edge) engineWarmUp(service *qlroute.Service, entry *qlcatalog.Entry) qlplace.WarmUp {
	config := service.WarmUp()
	return qlplace.WarmUp{
		Window: entry.WarmUp.Window(config.Duration),
		Limit: qlwarmup.Limit{
			PerSecond: config.PerSecond,
			Overage:   e.settings.WarmUpOverage,
			Tolerance: e.settings.WarmUpTolerance,
		},
	}
}

// warmUpFleet returns what this router knew of the fleet at the last tick. It may be called
// in any goroutine.
func (e *Edge) warmUpFleet() qlwarmup.Fleet {
	if fleet := e.knownFleet.Load(); fleet != nil {
		return *fleet
	}
	return qlwarmup.Fleet{}
}

// logWarmUp logs how many upstreams of each service are cold, when that has changed.
func (e *Edge) logWarmUp(now time.Duration) {
	cold := make(map[string]int)
	for _, entry := range e.catalog.Entries() {
		service := e.serviceOf(&entry)
		if service != nil && entry.WarmUp.Window(service.WarmUp().Duration).IsCold(now) {
			cold[entry.Service]++
		}
	}
	for service, before := range e.lastLogged.cold {
		if before > 0 && cold[service] == 0 {
			e.log.Info("upstreams-warm", zap.String("service", service), zap.Int("before", before))
		}
	}
	for service, count := range cold {
		if e.lastLogged.cold[service] != count {
			fleet := e.warmUpFleet()
			e.log.Info("upstreams-cold", zap.String("service", service), zap.Int("cold", count),
				zap.Int("routers-known", fleet.Known), zap.Int("routers-heard", fleet.Live))
		}
	}
	e.lastLogged.cold = cold
}
