package qlforward

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qlcatalog"
	"github.com/quetzallane/quetzallane/internal/qlengine"
	"github.com/quetzallane/quetzallane/internal/qlquarantine"
	"github.com/quetzallane/quetzallane/pkg/qlcode"
	"go.uber.org/zap"
)

var (
	// errQuarantined ends a request that was sent before its segments were quarantined.
	errQuarantined = errors.New("segments of the prompt crash engines; not sent again")
	// errWithdrawn cancels an attempt whose segments are quarantined meanwhile.
	errWithdrawn = errors.New("withdrawn, since segments of the prompt crash engines")
)

// findQuarantine returns the quarantine for which a request must not be sent, or nil.
func (f *Forwarder) findQuarantine(x *exchange) *qlquarantine.Quarantine {
	if x.isTrial && !x.sent {
		return nil
	}
	q := f.config.Quarantine.List().Find(x.caller.Prompt.Segments)
	if q == nil || x.sent || !q.TakeTrial() {
		return q
	}
	x.isTrial = true
	f.config.Log.Info("quarantine-trial", zap.String("request", x.caller.ID),
		zap.Stringer("parts", x.caller.Prompt), zap.Strings("crashed", q.Engines()))
	return nil
}

// endQuarantined ends a request whose segments are quarantined.
func (f *Forwarder) endQuarantined(x *exchange, q *qlquarantine.Quarantine) {
	f.config.Log.Info("prompt-refused", zap.String("request", x.caller.ID), zap.Bool("sent", x.sent),
		zap.Stringer("parts", x.caller.Prompt), zap.Stringer("quarantined", q), zap.Strings("crashed", q.Engines()))
	if x.streamStarted || x.sent {
		f.endUnanswered(x, attemptBroken, errQuarantined)
		return
	}
	f.refuse(x, qlcode.PromptQuarantined, q.RetryAfter(f.config.Clock()), "segments of the prompt crash engines")
}

// mayCrashAnother reports whether to send a request again, after an attempt that broke
// off, may crash a further engine: its own answer was beginning when the engine crashed,
// or that of a request like it, or it was in progress at two engines that crashed, or one of
// its segments that were not answered lately was. A crash is reported.
func (f *Forwarder) mayCrashAnother(x *exchange, entry qlcatalog.Entry, err error) bool {
	crashed := x.crashed
	if f.reportCrash(x, entry, err) || x.crashed >= _maxCrashed {
		return true
	}
	list := f.config.Quarantine.List()
	if list.IsSuspect(x.caller.Prompt.Segments) {
		return true
	}
	causes := f.unanswered(qlquarantine.PossibleCauses(x.caller.Prompt.Segments))
	return x.crashed > crashed && list.IsPossibleElsewhere(causes, entry.ID)
}

// reportCrash reports a crash if the engine has crashed while this request was in progress,
// unless the answer had gone on for a while, here or at another engine. It reports whether the
// answer was just beginning.
func (f *Forwarder) reportCrash(x *exchange, entry qlcatalog.Entry, err error) bool {
	if x.wentOn || f.isCut() || isTimeout(err) || errors.Is(err, errWithdrawn) {
		return false
	}
	candidates := qlquarantine.Candidates(x.caller.Prompt.Segments)
	beginning := (x.progress == progressHead || x.progress == progressPart) && !x.streamStarted && len(candidates) > 0
	causes := f.unanswered(qlquarantine.PossibleCauses(x.caller.Prompt.Segments))
	if !beginning && len(causes) == 0 {
		return false
	}
	endedAt := time.Now()
	// The evidence is of use to the fleet also if this caller leaves meanwhile.
	refused := f.pool.Refuses(context.WithoutCancel(x.ctx), entry.Address, x.sentAt)
	if !refused && (len(causes) == 0 || !f.pool.LostAll(entry.Address, endedAt)) {
		return false
	}
	crash := &qlquarantine.Crash{
		ID:     qlquarantine.EngineID(entry.ID, entry.StartMillis),
		Engine: entry.ID,
	}
	if len(causes) > 0 {
		crash.Possible = [][]uint64{causes}
	}
	if beginning && refused {
		crash.Suspects = [][]uint64{candidates}
		crash.Answered = f.config.Quarantine.Answers.Recent(f.config.Clock(), candidates)
	}
	x.crashed++
	f.config.Log.Info("engine-crashed", zap.String("request", x.caller.ID), zap.String("upstream", entry.ID),
		zap.Bool("refused", refused), zap.Stringer("answer", x.progress), zap.Stringer("parts", x.caller.Prompt),
		zap.String("possible", qlengine.FormatIDs(causes)))
	f.config.Quarantine.ReportCrash(crash)
	return len(crash.Suspects) > 0
}

// unanswered returns the segments of which this router has seen no answer go on lately.
func (f *Forwarder) unanswered(segments []uint64) []uint64 {
	recent := f.config.Quarantine.Answers.Recent(f.config.Clock(), segments)
	return slices.DeleteFunc(segments, func(segment uint64) bool { return slices.Contains(recent, segment) })
}

func isTimeout(err error) bool {
	var failure net.Error
	return errors.As(err, &failure) && failure.Timeout()
}

// reportOngoing records that an answer goes on, and reports it if that is evidence on
// segments.
func (f *Forwarder) reportOngoing(x *exchange) {
	x.wentOn = true
	segments := qlquarantine.PossibleCauses(x.caller.Prompt.Segments)
	f.config.Quarantine.Answers.Record(f.config.Clock(), segments)
	if f.config.Quarantine.List().IsWatched(x.caller.Prompt.Segments) {
		f.config.Quarantine.ReportAnswer(x.answerBeganAt, segments)
	}
}

// beginningAttempts holds the attempts at engines whose answers do not go on yet. Its zero value
// is ready to use.
type beginningAttempts struct {
	mu       sync.Mutex
	attempts map[uint64]*beginningAttempt
}

// beginningAttempt is an attempt that can be withdrawn until its answer goes on.
type beginningAttempt struct {
	all    *beginningAttempts
	id     uint64
	x      *exchange
	ctx    context.Context
	cancel context.CancelCauseFunc
}

// begin registers an attempt until it ends or its answer goes on.
func (f *Forwarder) begin(x *exchange, placementID uint64) (context.Context, *beginningAttempt) {
	ctx, cancel := context.WithCancelCause(x.ctx)
	attempt := &beginningAttempt{
		all:    &f.beginning,
		id:     placementID,
		x:      x,
		ctx:    ctx,
		cancel: cancel,
	}
	f.beginning.mu.Lock()
	defer f.beginning.mu.Unlock()
	if f.beginning.attempts == nil {
		f.beginning.attempts = make(map[uint64]*beginningAttempt)
	}
	f.beginning.attempts[placementID] = attempt
	return ctx, attempt
}

// withdrawn reports whether the attempt was withdrawn.
func (a *beginningAttempt) withdrawn() bool {
	return context.Cause(a.ctx) == errWithdrawn
}

// end removes the attempt and releases its context.
func (a *beginningAttempt) end() {
	a.all.remove(a.id)
	a.cancel(nil)
}

func (b *beginningAttempts) remove(placementID uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.attempts, placementID)
}

// Withdraw cancels the attempts whose answers do not go on yet and whose segments are
// quarantined, so that they crash no further engine.
func (f *Forwarder) Withdraw(list *qlquarantine.List) {
	f.beginning.mu.Lock()
	defer f.beginning.mu.Unlock()
	for _, attempt := range f.beginning.attempts {
		if !attempt.x.isTrial && list.Find(attempt.x.caller.Prompt.Segments) != nil {
			f.config.Log.Info("attempt-withdrawn", zap.String("request", attempt.x.caller.ID),
				zap.Stringer("parts", attempt.x.caller.Prompt))
			attempt.cancel(errWithdrawn)
		}
	}
}
