package qledge

import (
	"cmp"
	"slices"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlplace"
	"github.com/quetzallane/quetzallane/internal/qlshare"
	"go.uber.org/zap"
)

const (
	// _loggedCustomers is of how many customers an overloaded router logs what
	// it refused.
	_loggedCustomers = 3
	// _loggedShares is of how many customers, those that ask for most, the owner
	// logs the share: as many lines as the logger writes of an event in a second.
	_loggedShares = 40
	// _loggedRouters is of how many routers the owner logs late first events.
	_loggedRouters = 5
)

// logged is what the last lines about load told, so that only changes are
// written.
type logged struct {
	// decided is how many decisions for others were made, shed how many
	// requests the processor's load refused.
	decided uint64
	shed    uint64
	// late are the late first events that each router told of.
	late map[string]uint64
}

// logLoad writes lines while this VM is short of something.
func (e *Edge) logLoad(now, lag time.Duration) {
	part, shed := e.shedder.RefusedFraction(), e.shedder.RefusedCount()
	open, closed, rejected := e.callers.counts()
	if part == 0 && shed == e.logged.shed && !e.callers.isCrowded() {
		return
	}
	e.log.Info("router-overloaded", zap.Duration("lag", lag), zap.Float64("refused-part", part),
		zap.Uint64("refused", shed-e.logged.shed), zap.Int("connections", open), zap.Uint64("idle-closed", closed), zap.Uint64("connections-rejected", rejected),
		zap.Int64("active", e.forwarder.Active()), zap.Int64("memory-held", e.forwarder.MemoryBytes()))
	e.logged.shed = shed
	for _, customer := range e.shedder.TopRefusals(now, _loggedCustomers) {
		e.log.Info("router-refusals", zap.String("customer", customer.Customer),
			zap.Int("requests", customer.Requests), zap.Int("refused", customer.Refused))
	}
}

// logPlacement writes a line for each service of engines that this router
// decides about.
func (e *Edge) logPlacement(now time.Duration) {
	stats := e.fleet.Core().Stats()
	if stats.DecidedForOthers == e.logged.decided {
		return
	}
	e.logged.decided = stats.DecidedForOthers
	placer := e.fleet.Core().Placer()
	for group, shares := range placer.Shares() {
		customers := shares.State()
		slices.SortStableFunc(customers, func(a, b qlshare.CustomerState) int { return cmp.Compare(b.Demand, a.Demand) })
		for _, customer := range customers[:min(_loggedShares, len(customers))] {
			e.log.Info("share-state", zap.Int("group", group), zap.String("customer", customer.Customer),
				zap.Float64("asked", customer.Demand), zap.Float64("granted", customer.Granted), zap.Float64("level", shares.MaxMinLevel()),
				zap.Float64("ratio", customer.Ratio), zap.Float64("reached", shares.GrantedLevel()))
		}
	}
	for _, pool := range placer.State(now) {
		e.logPool(&pool, stats.DecidedForOthers)
	}
	e.logRouters(placer.Routers())
}

func (e *Edge) logPool(pool *qlplace.PoolState, decided uint64) {
	running, waiting, unread, overdue, slowness := 0, 0, 0, 0, 0.0
	for _, engine := range pool.Engines {
		running += engine.Running
		waiting += engine.Waiting
		unread += engine.PendingTokens
		slowness += engine.Slowness / float64(len(pool.Engines))
		if engine.Overdue > 0 {
			overdue++
		}
	}
	if len(pool.Engines) == 0 {
		return
	}
	e.log.Info("placement-state", zap.String("service", pool.Service), zap.Int("group", pool.Group), zap.Int("engines", len(pool.Engines)),
		zap.Int("running", running), zap.Int("waiting", waiting), zap.Int("unread", unread), zap.Int("overdue", overdue),
		zap.Float64("load", pool.Load), zap.Float64("slowness", slowness), zap.Float64("margin", pool.LatencyCorrection), zap.Uint64("refused-late", pool.Refused[qlplace.Late.String()]), zap.Uint64("refused-over-share", pool.Refused[qlplace.OverShare.String()]),
		zap.Uint64("in-time", pool.InTime), zap.Uint64("late", pool.Late), zap.Uint64("tokens-read-again", pool.RecomputedTokens),
		zap.Uint64("decided-for-others", decided), zap.Int("routers", e.fleet.Core().LiveCount()))
}

// logRouters writes which routers told of more late first events.
func (e *Edge) logRouters(routers []qlplace.RouterState) {
	late := make(map[string]uint64, len(routers))
	lines := 0
	for _, router := range routers {
		late[router.Router] = router.Late
		if before := e.logged.late[router.Router]; router.Late > before && lines < _loggedRouters {
			lines++
			e.log.Info("late-first-events", zap.String("told-by", router.Router), zap.Uint64("late", router.Late-before),
				zap.Uint64("late-in-all", router.Late), zap.Uint64("untimed-in-all", router.Untimed),
				zap.Uint64("in-time-in-all", router.InTime))
		}
	}
	e.logged.late = late
}
