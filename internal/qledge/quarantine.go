package qledge

import (
	"context"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlengine"
	"github.com/quetzallane/quetzallane/internal/qlquarantine"
	"go.uber.org/zap"
)

// awaitInformed waits until this router knows which crashes the others know.
func (e *Edge) awaitInformed(ctx context.Context) {
	select {
	case <-e.informed:
	case <-ctx.Done():
	}
}

func (e *Edge) isInformed() bool {
	select {
	case <-e.informed:
		return true
	default:
		return false
	}
}

// reportCrash passes the crash of an engine on to the control goroutine.
func (e *Edge) reportCrash(crash *qlquarantine.Crash) {
	e.fleet.Post(func(now time.Duration) {
		crash.At = now
		if !e.fleet.Core().ReportCrash(now, crash) {
			e.log.Warn("crash-not-reported", zap.String("upstream", crash.Engine), zap.String("reason", "too many reports"))
		}
	})
}

// reportAnswer passes an answer to watched segments that goes on to the control goroutine.
func (e *Edge) reportAnswer(began time.Duration, segments []uint64) {
	e.fleet.Post(func(now time.Duration) { e.fleet.Core().ReportAnswer(now, began, segments) })
}

// applyQuarantines puts quarantines in force. It runs in the control goroutine.
func (e *Edge) applyQuarantines(list *qlquarantine.List) {
	e.quarantines.Store(list)
	if e.forwarder != nil && len(list.Quarantines()) > 0 {
		e.forwarder.Withdraw(list)
	}
}

func (e *Edge) logQuarantine(q *qlquarantine.Quarantine) {
	e.quarantinesStarted.Add(1)
	e.log.Warn("quarantine-started", zap.Stringer("quarantined", q), zap.Strings("crashed", q.Engines()),
		zap.Duration("last-crash", e.clock()-q.LastCrash()), zap.Int("routers", e.fleet.LiveCount()))
}

func (e *Edge) logQuarantineEnd(q *qlquarantine.Quarantine, reason qlquarantine.EndReason) {
	e.log.Warn("quarantine-ended", zap.Stringer("quarantined", q), zap.String("reason", string(reason)),
		zap.Duration("last-crash", e.clock()-q.LastCrash()))
}

// quarantineState returns the quarantines and crashes for state dumps.
func (e *Edge) quarantineState(now time.Duration) (quarantines, crashes []map[string]any) {
	table := e.fleet.Core().Quarantine()
	quarantines, crashes = []map[string]any{}, []map[string]any{}
	for _, q := range table.List().Quarantines() {
		quarantines = append(quarantines, map[string]any{
			"segments":    q.String(),
			"crashed":     q.Engines(),
			"last-crash":  (now - q.LastCrash()).String(),
			"retry-after": q.RetryAfter(now).String(),
		})
	}
	for _, crash := range table.Crashes() {
		crashes = append(crashes, map[string]any{
			"upstream": crash.Engine,
			"age":      (now - crash.At).String(),
			"suspects": formatRequests(crash.Suspects),
			"possible": formatRequests(crash.Possible),
			"cleared":  qlengine.FormatIDs(crash.Cleared),
			"answered": qlengine.FormatIDs(crash.Answered),
		})
	}
	return quarantines, crashes
}

// formatRequests returns the segments of each request in hexadecimal.
func formatRequests(requests [][]uint64) []string {
	texts := make([]string, len(requests))
	for i, segments := range requests {
		texts[i] = qlengine.FormatIDs(segments)
	}
	return texts
}
