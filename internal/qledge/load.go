package qledge

import (
	"cmp"
	"maps"
	"runtime/metrics"
	"slices"
	"time"

	"github.com/quetzallane/quetzallane/internal/qloffload"
	"github.com/quetzallane/quetzallane/internal/qloutcome"
	"github.com/quetzallane/quetzallane/internal/qlplace"
	"github.com/quetzallane/quetzallane/internal/qlshare"
	"go.uber.org/zap"
)

const (
	// _maxLoggedCustomers bounds the customers whose refusals an overloaded
	// router logs at a time.
	_maxLoggedCustomers = 3
	// _maxLoggedShares bounds the customers whose fair shares the owner logs,
	// those with the highest demand first. The logger writes this many lines of
	// one event per second.
	_maxLoggedShares = 40
	// _maxLoggedRouters bounds the routers whose late first events the owner
	// logs at a time.
	_maxLoggedRouters = 5
	// _maxOutcomeRows bounds the customers whose outcomes are logged at a time, those with
	// the most first.
	_maxOutcomeRows = 20
)

// loggedCounters holds the counters as of the last log lines about load, so
// that only changes are logged.
type loggedCounters struct {
	// decided counts the decisions made for other routers, and refused the
	// requests refused because of the processor's load.
	decided uint64
	refused uint64
	// offloads are the counters of offloaded requests.
	offloads qloffload.Stats
	// lateByRouter counts the late first events that each router has reported.
	lateByRouter map[string]uint64
	// outcomes are those of the last second.
	outcomes []qloutcome.Row
	// evacuations are the zones and services of the last lines about them.
	evacuations loggedEvacuations
	// cold is the number of cold upstreams of each service.
	cold map[string]int
}

// logOverload logs this VM's load while its processor's load causes refusals or
// callers' connections are crowded.
func (e *Edge) logOverload(now, lag time.Duration) {
	refusedFraction, refused := e.shedder.RefusedFraction(), e.shedder.RefusedCount()
	open, closed, rejected := e.callers.counts()
	if refusedFraction == 0 && refused == e.lastLogged.refused && !e.callers.isCrowded() {
		return
	}
	limits := e.shedder.Limits(now)
	e.log.Info("router-overloaded", zap.Duration("lag", lag), zap.Float64("refused-part", refusedFraction), zap.Float64("refused-part-by-lag", limits.RefusedByLag()), zap.Float64("surge-rate", limits.SurgeRate()),
		zap.Uint64("refused", refused-e.lastLogged.refused), zap.Int("connections", open), zap.Uint64("connections-accepted", e.callers.acceptedCount()), zap.Uint64("idle-closed", closed), zap.Uint64("connections-rejected", rejected),
		zap.Int64("active", e.forwarder.Active()), zap.Int64("memory-held", e.forwarder.MemoryBytes()), memoryField())
	e.lastLogged.refused = refused
	for _, customer := range e.shedder.TopRefusals(now, _maxLoggedCustomers) {
		e.log.Info("router-refusals", zap.String("customer", customer.Customer),
			zap.Int("requests", customer.Requests), zap.Int("refused", customer.Refused))
	}
	e.logRejections()
}

// memoryField returns how the runtime uses this process's memory, in bytes.
func memoryField() zap.Field {
	samples := []metrics.Sample{
		{Name: "/memory/classes/heap/objects:bytes"},
		{Name: "/memory/classes/heap/stacks:bytes"},
		{Name: "/memory/classes/total:bytes"},
		{Name: "/sched/goroutines:goroutines"},
	}
	metrics.Read(samples)
	values := make([]uint64, 0, len(samples))
	for _, sample := range samples {
		if sample.Value.Kind() == metrics.KindUint64 {
			values = append(values, sample.Value.Uint64())
		}
	}
	return zap.Uint64s("heap-stacks-total-goroutines", values)
}

// logOffloads logs how many requests were offloaded since the last line, if any were.
func (e *Edge) logOffloads() {
	stats, last := e.offloader.Stats(), e.lastLogged.offloads
	if stats == last {
		return
	}
	e.lastLogged.offloads = stats
	fields := []zap.Field{zap.Uint64("offloaded", stats.Offloaded-last.Offloaded), zap.Uint64("declined", stats.Declined-last.Declined),
		zap.Uint64("broken", stats.Broken-last.Broken), zap.Uint64("unreachable", stats.Unreachable-last.Unreachable),
		zap.Int64("active", e.offloader.Active()), zap.Float64("own-rate", e.budget.Rate()), zap.Int("peers", e.offloader.Peers().Count())}
	for reason, count := range stats.Kept.Since(last.Kept) {
		if count > 0 {
			fields = append(fields, zap.Uint64("kept-"+qloffload.Reason(reason).String(), count))
		}
	}
	e.log.Info("requests-offloaded", fields...)
}

// logOutcomes logs how the requests and connections of the customers with the most of them
// have ended since the last lines, if this router turned any away, offloaded any or cut any
// off.
func (e *Edge) logOutcomes() {
	interval := e.outcomes.Take(_maxOutcomeRows)
	e.lastLogged.outcomes = interval.Rows()
	if !interval.Notable() {
		return
	}
	for _, row := range interval.Rows() {
		fields := []zap.Field{zap.String("customer", row.Customer)}
		for _, count := range row.Counts {
			fields = append(fields, zap.Int(count.Name, count.Count))
		}
		e.log.Info("customer-outcomes", fields...)
	}
}

// logRejections logs the customers with the most connections that were rejected since the
// last lines.
func (e *Edge) logRejections() {
	rejections := e.callers.takeRejections()
	customers := slices.SortedFunc(maps.Keys(rejections), func(a, b string) int {
		return cmp.Or(cmp.Compare(rejections[b], rejections[a]), cmp.Compare(a, b))
	})
	for _, customer := range customers[:min(_maxLoggedCustomers, len(customers))] {
		e.log.Info("connections-rejected", zap.String("customer", customer), zap.Int("rejected", rejections[customer]))
	}
}

// logLoad logs what changed since its last call.
func (e *Edge) logLoad(now, lag time.Duration) {
	e.logPlacement(now)
	e.logWarmUp(now)
	e.logOverload(now, lag)
	e.logOffloads()
	e.logOutcomes()
}

// logPlacement logs the customers' fair shares and the engines' state for each
// group of engines that this router decides about, if it has decided for other
// routers since the last lines.
func (e *Edge) logPlacement(now time.Duration) {
	stats := e.fleet.Core().Stats()
	placer := e.fleet.Core().Placer()
	refusals := placer.TakeShareRefusals()
	if stats.DecidedForOthers == e.lastLogged.decided {
		return
	}
	e.lastLogged.decided = stats.DecidedForOthers
	for group, shares := range placer.Shares() {
		customers := shares.State()
		slices.SortStableFunc(customers, func(a, b qlshare.CustomerState) int { return cmp.Compare(b.Demand, a.Demand) })
		for _, customer := range customers[:min(_maxLoggedShares, len(customers))] {
			e.log.Info("share-state", zap.Int("group", group), zap.String("customer", customer.Customer),
				zap.Float64("asked", customer.Demand), zap.Float64("granted", customer.Granted), zap.Float64("level", shares.MaxMinLevel()),
				zap.Float64("ratio", customer.Ratio), zap.Float64("excess", customer.Excess), zap.Float64("reached", shares.GrantedLevel()),
				zap.Int("refused-load", refusals[customer.Customer].Load), zap.Int("refused-wait", refusals[customer.Customer].Wait),
				zap.Int("refused-read-again", refusals[customer.Customer].Recompute))
		}
	}
	pools := placer.State(now)
	for i := range pools {
		e.logPool(&pools[i], stats.DecidedForOthers)
	}
	e.countPrefixes(pools)
	e.logLateFirstEvents(placer.Routers())
}

// logPool logs one line about the engines of a group.
func (e *Edge) logPool(pool *qlplace.PoolState, decided uint64) {
	running, waiting, pendingTokens, overdue, slowness := 0, 0, 0, 0, 0.0
	for _, engine := range pool.Engines {
		running += engine.ActiveRequests
		waiting += engine.Waiting
		pendingTokens += engine.PendingTokens
		slowness += engine.Slowness / float64(len(pool.Engines))
		if engine.Overdue > 0 {
			overdue++
		}
	}
	if len(pool.Engines) == 0 {
		return
	}
	e.log.Info("placement-state", zap.String("service", pool.Service), zap.Int("group", pool.Group), zap.Int("engines", len(pool.Engines)),
		zap.Int("running", running), zap.Int("waiting", waiting), zap.Int("unread", pendingTokens), zap.Int("overdue", overdue),
		zap.Float64("load", pool.Load), zap.Float64("slowness", slowness), zap.Float64("margin", pool.LatencyCorrection), zap.Duration("token-prefill", pool.TokenPrefill), zap.Float64("latency-scale", pool.LatencyScale), zap.Uint64("refused-late", pool.Refused[qlplace.Late.String()]), zap.Uint64("refused-over-share", pool.Refused[qlplace.OverShare.String()]),
		zap.Uint64("in-time", pool.InTime), zap.Uint64("late", pool.Late), zap.Uint64("tokens-read-again", pool.RecomputedTokens),
		zap.Int("cold", pool.Cold), zap.Int("returning", pool.Returning), zap.Uint64("cold-granted", pool.ColdGranted), zap.Uint64("cold-blocked", pool.ColdBlocked),
		zap.Uint64("decided-for-others", decided), zap.Int("routers", e.fleet.Core().LiveCount()))
}

// logLateFirstEvents logs which routers have reported more late first events
// since the last lines.
func (e *Edge) logLateFirstEvents(routers []qlplace.RouterState) {
	lateByRouter := make(map[string]uint64, len(routers))
	lines := 0
	for _, router := range routers {
		lateByRouter[router.Router] = router.Late
		if previous := e.lastLogged.lateByRouter[router.Router]; router.Late > previous && lines < _maxLoggedRouters {
			lines++
			e.log.Info("late-first-events", zap.String("told-by", router.Router), zap.Uint64("late", router.Late-previous),
				zap.Uint64("late-in-all", router.Late), zap.Uint64("untimed-in-all", router.Untimed),
				zap.Uint64("in-time-in-all", router.InTime))
		}
	}
	e.lastLogged.lateByRouter = lateByRouter
}
