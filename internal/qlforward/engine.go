package qlforward

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qlcatalog"
	"github.com/quetzallane/quetzallane/internal/qlconn"
	"github.com/quetzallane/quetzallane/internal/qlengine"
	"github.com/quetzallane/quetzallane/internal/qlevent"
	"github.com/quetzallane/quetzallane/internal/qlplace"
	"github.com/quetzallane/quetzallane/pkg/qlcode"
	"go.uber.org/zap"
)

const (
	// _streamSilenceTimeout is how long an engine may send nothing on a
	// resumable stream before the router resumes it at another engine. Callers
	// disconnect after two seconds.
	_streamSilenceTimeout = 1500 * time.Millisecond
	// _streamHeadTimeoutFactor times the latency objective is how long the
	// router waits for the response head of a resumable stream before it tries
	// another engine, but no less than a second.
	_streamHeadTimeoutFactor = 3
	// _ongoingAfter is how long events have to come until an answer counts as one that goes
	// on: an engine may send some before it crashes on the prompt.
	_ongoingAfter = 500 * time.Millisecond
	// _readBufferBytes is the size of the buffers into which streams are read.
	_readBufferBytes = 8 << 10
	// _writeGrace is how long after the deadline a write to a caller that does
	// not read may still block.
	_writeGrace = time.Second
)

// _readBuffers holds buffers for the reading of streams, for reuse.
var _readBuffers = sync.Pool{
	New: func() any {
		buffer := make([]byte, _readBufferBytes)
		return &buffer
	},
}

// attemptResult is how an attempt at an upstream ended.
type attemptResult int

const (
	// attemptDone: the request has ended: an upstream's answer was forwarded,
	// or the caller has closed its connection.
	attemptDone attemptResult = iota + 1
	// attemptNotSent: no byte of the request was sent.
	attemptNotSent
	// attemptNotRun: the upstream reported that it did not run the request.
	attemptNotRun
	// attemptBroken: the request may have run, and no complete answer was
	// received.
	attemptBroken
)

// String returns the result's name for logs.
func (r attemptResult) String() string {
	switch r {
	case attemptDone:
		return "done"
	case attemptNotSent:
		return "not-sent"
	case attemptNotRun:
		return "not-run"
	case attemptBroken:
		return "broken"
	}
	return "invalid"
}

// serveEngine forwards a request with a prompt to a model engine.
func (f *Forwarder) serveEngine(x *exchange) {
	f.countRequest(x)
	f.config.Quarantine.Await(x.ctx)
	for {
		if q := f.findQuarantine(x); q != nil {
			f.endQuarantined(x, q)
			return
		}
		decision, placementID := f.place(x)
		if x.ctx.Err() != nil || f.stopsTooSoon(x) {
			f.config.Placement.End(placementID, qlengine.Abandoned)
			f.endUnsent(x)
			return
		}
		if decision.Engine == "" {
			f.endRefused(x, &decision)
			return
		}
		entry, listed := x.view.readyByID[decision.Engine]
		result, err := attemptNotSent, error(nil)
		if listed {
			result, err = f.attempt(x, entry, placementID)
		} else {
			f.config.Placement.End(placementID, qlengine.Abandoned)
			f.renewView(x)
		}
		if result == attemptDone {
			return
		}
		x.excluded = append(x.excluded, decision.Engine)
		f.logFailedAttempt(x, decision.Engine, result.String(), err)
		if !f.shouldTryAnother(x, entry, result, err) {
			f.endUnanswered(x, result, err)
			return
		}
	}
}

// shouldTryAnother reports whether to send a request to another engine after an attempt
// that did not end it. If that is a retry, it takes it from the budget.
func (f *Forwarder) shouldTryAnother(x *exchange, entry qlcatalog.Entry, result attemptResult, err error) bool {
	switch result {
	case attemptNotSent:
		x.unreachable++
		return x.unreachable < _maxUnreachable && x.remaining() > 0
	case attemptNotRun:
		x.sent = x.sentBeforeAttempt
		return f.takeRetry(x)
	case attemptBroken:
		return !f.mayCrashAnother(x, entry, err) && x.resumable() && f.takeRetry(x)
	case attemptDone:
	}
	return false
}

// place requests a placement decision. It returns the decision and the id with
// which the first event and the end of the request are reported to the
// placement.
func (f *Forwarder) place(x *exchange) (qlplace.Decision, uint64) {
	placementID := f.lastPlacementID.Add(1)
	decision := f.config.Placement.Decide(x.ctx, &qlplace.Request{
		Key: qlengine.Key{
			Request: placementID,
		},
		Service:          x.service.Name(),
		Customer:         x.customer,
		Zone:             f.config.Zone,
		Prompt:           *x.caller.Prompt,
		LatencyObjective: x.route.LatencyObjective(),
		Excluded:         f.withPaused(x),
		AlreadyAdmitted:  x.sent || x.streamStarted,
	})
	f.recordPlacement(x, &decision)
	return decision, placementID
}

// endUnsent ends a request whose caller disconnected, or whose time limit
// passed, while an engine was being chosen.
func (f *Forwarder) endUnsent(x *exchange) {
	if x.callerGone() {
		f.endCallerGone(x)
		return
	}
	if f.stopsTooSoon(x) {
		f.endUnanswered(x, attemptNotSent, errStopsTooSoon)
		return
	}
	f.endUnanswered(x, attemptNotSent, errors.New("deadline exceeded before an engine was found"))
}

// endRefused ends a request for which the placement chose no engine.
func (f *Forwarder) endRefused(x *exchange, decision *qlplace.Decision) {
	if x.streamStarted || x.sent {
		f.endUnanswered(x, attemptBroken, errors.New("no other engine is available"))
		return
	}
	code := qlcode.QueueFull
	switch decision.Reason {
	case qlplace.NoEngine:
		code = qlcode.NoUpstream
	case qlplace.OverShare:
		code = qlcode.OverShare
		f.recordOverShare(x)
	case qlplace.Late, qlplace.Full, qlplace.Admitted:
	}
	retryAfter := decision.RetryAfter
	if pause, all := f.shortestPause(x); all {
		retryAfter = max(retryAfter, pause)
	}
	f.refuse(x, code, retryAfter, decision.Reason.String())
}

// endUnanswered ends a request for which no engine sent a complete answer.
func (f *Forwarder) endUnanswered(x *exchange, result attemptResult, err error) {
	if err == nil {
		err = errors.New("the engine is no longer listed")
	}
	switch {
	case x.streamStarted:
		f.abortStream(x, err)
	case x.sent:
		f.failUnknownOutcome(x, err)
	case f.stopsTooSoon(x):
		f.refuse(x, qlcode.Stopping, 0, errors.Cause(err).Error())
	case result == attemptNotRun:
		f.refuse(x, qlcode.QueueFull, _shedRetry, "the engine is full")
	default:
		f.refuse(x, qlcode.UpstreamUnreached, _shedRetry, errors.Cause(err).Error())
	}
}

// abortStream ends a started stream that cannot be resumed. It aborts the
// response, so that the caller cannot take the stream for complete.
func (f *Forwarder) abortStream(x *exchange, err error) {
	x.cause = errors.Cause(err).Error()
	code := qlcode.UpstreamCut
	if f.isCut() {
		code = qlcode.StopCut
	}
	f.recordEnd(x, code, http.StatusOK)
	f.resetOldCaller(x)
	panic(http.ErrAbortHandler)
}

// resetOldCaller resets the connection to a caller with HTTP/1.0. An answer without a
// length ends with its connection there: if the server just closed it, a stream that
// broke off would look complete.
func (f *Forwarder) resetOldCaller(x *exchange) {
	if x.request.ProtoAtLeast(1, 1) {
		return
	}
	conn, _, err := http.NewResponseController(x.w).Hijack()
	if err != nil {
		f.config.Log.Warn("stream-not-reset", zap.String("request", x.caller.ID), zap.Error(err))
		return
	}
	if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		err = tcp.SetLinger(0)
	}
	if closeErr := conn.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		f.config.Log.Warn("stream-not-reset", zap.String("request", x.caller.ID), zap.Error(err))
	}
}

// attempt sends the request to an engine, forwards its answer, and reports the
// outcome to the placement.
func (f *Forwarder) attempt(x *exchange, entry qlcatalog.Entry, placementID uint64) (result attemptResult, err error) {
	ctx, beginning := f.begin(x, placementID)
	outcome := qlengine.Failed
	defer func() {
		if beginning.withdrawn() && result == attemptBroken {
			err = errWithdrawn
		}
		if x.callerGone() || f.isLocal(err) || beginning.withdrawn() {
			outcome = qlengine.Abandoned
		}
		beginning.end()
		f.config.Placement.End(placementID, outcome)
	}()
	if f.config.Quarantine.List().Find(x.caller.Prompt.Segments) != nil && !x.isTrial {
		outcome = qlengine.Abandoned
		return attemptNotSent, errQuarantined
	}
	if f.isPaused(entry) {
		outcome = qlengine.Abandoned
		return attemptNotSent, errPaused
	}
	e, err := f.send(ctx, x, entry, f.streamHeadTimeout(x))
	switch {
	case x.callerGone():
		if err == nil {
			e.Close()
		}
		f.endCallerGone(x)
		return attemptDone, nil
	case x.outOfTime, errors.Is(err, qlconn.ErrTooManyConnections), errors.Is(err, errEvacuated):
		outcome = qlengine.Abandoned
		return attemptNotSent, err
	case errors.Is(err, qlconn.ErrNotSent):
		outcome = qlengine.Unreachable
		return attemptNotSent, err
	case err != nil:
		return attemptBroken, err
	}
	defer e.Close()
	answer := f.readAnswer(x, e.Response())
	switch {
	case answer.NotRun:
		outcome = qlengine.Shed
		return attemptNotRun, errors.New("the engine is full")
	case !answer.Signed:
		return attemptBroken, errors.Errorf("answer without signature, status %d", e.Response().StatusCode)
	case e.Response().StatusCode != http.StatusOK:
		return f.forwardFailure(x, e, answer)
	}
	result, err = f.forwardStream(x, e, placementID)
	if err == nil {
		outcome = qlengine.Completed
		if x.progress != progressOngoing {
			f.reportOngoing(x)
		}
	}
	return result, err
}

// streamHeadTimeout returns how long to wait for the head of an engine's
// response if another engine may be tried afterwards; otherwise 0, which means
// no limit.
func (f *Forwarder) streamHeadTimeout(x *exchange) time.Duration {
	if !x.route.Repeatable() || x.attempts+1 >= x.route.MaxAttempts() {
		return 0
	}
	return max(_streamHeadTimeoutFactor*x.route.LatencyObjective(), time.Second)
}

// forwardFailure forwards an engine's error response, unless the request can be
// retried.
func (f *Forwarder) forwardFailure(x *exchange, e *qlconn.Exchange, answer Answer) (attemptResult, error) {
	reply, err := f.readReply(e, answer)
	if err != nil {
		return attemptBroken, err
	}
	if x.streamStarted || x.route.Repeatable() && f.takeRetry(x) {
		// serveEngine calls takeRetry again for the same retry. Taking it from
		// the budget twice only makes the limit stricter.
		return attemptBroken, errors.Errorf("the engine answered %d", reply.response.StatusCode)
	}
	f.forwardReply(x, reply)
	return attemptDone, errors.New("the engine failed")
}

// forwardStream forwards complete events as they arrive, until the stream ends
// or fails. If the stream ends, it also forwards what follows the last complete
// event.
func (f *Forwarder) forwardStream(x *exchange, e *qlconn.Exchange, placementID uint64) (attemptResult, error) {
	controller := http.NewResponseController(x.w)
	if x.streamStarted && !isEventStream(e.Response()) {
		return attemptBroken, errors.New("the resumed stream has no events")
	}
	if !x.streamStarted {
		x.streamHeader = e.Response().Header
		if err := controller.SetWriteDeadline(x.deadline.Add(_writeGrace)); err != nil {
			return attemptBroken, errors.Trace(err)
		}
	}
	buffer, _ := _readBuffers.Get().(*[]byte)
	defer _readBuffers.Put(buffer)
	var splitter qlevent.Splitter
	lastEventAt := time.Now()
	for {
		f.setSilenceTimeout(x, e, lastEventAt)
		events, err := x.readEvents(e.Response(), &splitter, *buffer)
		if holdErr := e.Hold(len(splitter.Rest())); err == nil {
			err = holdErr
		}
		if len(events) > 0 {
			lastEventAt = time.Now()
			f.recordEvents(x, placementID)
			if forwardErr := f.forwardEvents(x, controller, events); forwardErr != nil {
				return f.streamFailed(x, forwardErr)
			}
		}
		if err == io.EOF {
			f.completeStream(x)
			return attemptDone, nil
		}
		if err != nil {
			return f.streamFailed(x, err)
		}
	}
}

// readEvents reads from a stream once and returns the events that are complete now. With
// io.EOF it also returns what follows the last one.
func (x *exchange) readEvents(response *http.Response, splitter *qlevent.Splitter, buffer []byte) ([]byte, error) {
	n, err := response.Body.Read(buffer)
	events := splitter.Write(buffer[:n])
	if n > 0 {
		x.progress = max(x.progress, progressPart)
	}
	switch {
	case err == io.EOF && x.brokenOff(response, events, splitter.Rest()):
		return events, errEndsWithinEvent
	case err == io.EOF:
		events = append(events, splitter.Rest()...)
	case err == nil && splitter.TooLong():
		err = errors.Errorf("an event exceeds %d bytes", qlevent.MaxEventBytes)
	}
	return events, err
}

// errEndsWithinEvent ends a stream that ended without an error, but not between events.
var errEndsWithinEvent = errors.New("the stream ended within an event")

// errEndsAfterHead ends an answer without a length whose connection was closed after its head.
var errEndsAfterHead = errors.New("the answer ended after its head")

// brokenOff reports whether a stream that ended without an error was broken off: within an
// event, or before the first one if only the connection's end shows its own.
func (x *exchange) brokenOff(response *http.Response, events, rest []byte) bool {
	if !isEventStream(response) {
		return qlconn.EndsWithConnection(response) && x.progress < progressPart
	}
	if len(bytes.TrimSpace(rest)) > 0 {
		return true
	}
	return qlconn.EndsWithConnection(response) && len(events) == 0 && x.progress < progressEvents
}

func isEventStream(response *http.Response) bool {
	return strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream")
}

// resumable reports whether another engine may go on with the answer. A stream of which the
// caller has events without ids would begin again.
func (x *exchange) resumable() bool {
	return x.route.Repeatable() && (!x.streamStarted || x.hasLastEventID)
}

// recordEvents records that events of this attempt have come.
func (f *Forwarder) recordEvents(x *exchange, placementID uint64) {
	switch x.progress {
	case progressOngoing:
		return
	case progressEvents:
		if time.Since(x.firstEventAt) >= _ongoingAfter {
			x.progress = progressOngoing
			f.beginning.remove(placementID)
			f.reportOngoing(x)
		}
		return
	case progressNone, progressHead, progressPart:
	}
	x.progress, x.firstEventAt = progressEvents, time.Now()
	f.config.Placement.FirstEvent(placementID, f.currentPace(x))
	f.recordFirstEvent(x)
}

// setSilenceTimeout limits the wait for the next whole event of a stream that may be
// resumed at another engine. Bytes that complete no event don't extend it.
func (f *Forwarder) setSilenceTimeout(x *exchange, e *qlconn.Exchange, lastEventAt time.Time) {
	if x.route.Repeatable() && x.attempts < x.route.MaxAttempts() {
		e.SetReadTimeout(max(_streamSilenceTimeout-time.Since(lastEventAt), time.Millisecond))
	}
}

// forwardEvents writes complete events to the caller. It skips events that the
// caller already received from an earlier engine.
func (f *Forwarder) forwardEvents(x *exchange, controller *http.ResponseController, events []byte) error {
	if x.hasLastEventID {
		rest, ok := qlevent.After(events, x.lastEventID)
		if !ok {
			return errors.New("the resumed stream skips an event")
		}
		events = rest
	}
	if len(events) == 0 {
		return nil
	}
	f.startStream(x)
	if _, err := x.w.Write(events); err != nil {
		return errors.Annotate(err, "caller")
	}
	if id, ok := qlevent.LastID(events); ok {
		x.lastEventID, x.hasLastEventID = id, true
	}
	return errors.Annotate(controller.Flush(), "caller")
}

// streamFailed returns the result of a stream that failed with the error: done
// if the caller disconnected, otherwise broken.
func (f *Forwarder) streamFailed(x *exchange, err error) (attemptResult, error) {
	if x.callerGone() {
		f.endCallerGone(x)
		return attemptDone, err
	}
	return attemptBroken, err
}

// completeStream ends a request whose stream was forwarded completely.
func (f *Forwarder) completeStream(x *exchange) {
	f.startStream(x)
	f.recordEnd(x, qlcode.Answered, http.StatusOK)
}

// startStream writes the head of the stream on its first call. It is not called
// before there is an event to write or the stream is complete, so that headers
// of an engine that fails before its first event do not appear in the answer
// that the caller then gets.
func (f *Forwarder) startStream(x *exchange) {
	if x.streamStarted {
		return
	}
	x.streamStarted = true
	f.copyResponseHeader(x, x.streamHeader)
	x.w.WriteHeader(http.StatusOK)
}
