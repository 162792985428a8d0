package qlforward

import (
	"context"
	"net"
	"sync"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qlcatalog"
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
// off, may crash a second engine: its own answer was beginning when the engine crashed,
// or that of a request like it. A crash with such an answer is reported.
func (f *Forwarder) mayCrashAnother(x *exchange, entry qlcatalog.Entry, err error) bool {
	return f.reportCrash(x, entry, err) || f.config.Quarantine.List().IsSuspect(x.caller.Prompt.Segments)
}

// reportCrash reports a crash if the engine has crashed while the answer to this request
// was beginning. A stream that went on in health at another engine is no suspect.
func (f *Forwarder) reportCrash(x *exchange, entry qlcatalog.Entry, err error) bool {
	beginning := x.progress == progressHead || x.progress == progressPart
	if !beginning || x.streamStarted || f.isCut() || isTimeout(err) || errors.Is(err, errWithdrawn) {
		return false
	}
	candidates := qlquarantine.Candidates(x.caller.Prompt.Segments)
	// The evidence is of use to the fleet also if this caller leaves meanwhile.
	ctx := context.WithoutCancel(x.ctx)
	if len(candidates) == 0 || !f.pool.Refuses(ctx, entry.Address, x.answerBegan) {
		return false
	}
	f.config.Log.Info("engine-crashed", zap.String("request", x.caller.ID), zap.String("upstream", entry.ID),
		zap.Stringer("answer", x.progress), zap.Stringer("parts", x.caller.Prompt))
	answered := f.config.Quarantine.Answers.Recent(f.config.Clock(), candidates)
	f.config.Quarantine.ReportCrash(entry.ID, entry.StartMillis, candidates, answered)
	return true
}

func isTimeout(err error) bool {
	var failure net.Error
	return errors.As(err, &failure) && failure.Timeout()
}

// reportOngoing records that an answer goes on, and reports it if that is evidence on
// segments.
func (f *Forwarder) reportOngoing(x *exchange) {
	candidates := qlquarantine.Candidates(x.caller.Prompt.Segments)
	f.config.Quarantine.Answers.Record(f.config.Clock(), candidates)
	if f.config.Quarantine.List().IsWatched(x.caller.Prompt.Segments) {
		f.config.Quarantine.ReportAnswer(x.answerBeganAt, candidates)
	}
}

// beginningAttempts holds the attempts at engines from which no event has come yet. Its
// zero value is ready to use.
type beginningAttempts struct {
	mu       sync.Mutex
	attempts map[uint64]*beginningAttempt
}

// beginningAttempt is an attempt that can be withdrawn before its first event.
type beginningAttempt struct {
	all    *beginningAttempts
	id     uint64
	x      *exchange
	ctx    context.Context
	cancel context.CancelCauseFunc
}

// begin registers an attempt until it ends or its first event comes.
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

// Withdraw cancels the attempts from which no event has come and whose segments are
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
