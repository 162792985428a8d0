package qlforward

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qlcatalog"
	"github.com/quetzallane/quetzallane/internal/qlconn"
	"github.com/quetzallane/quetzallane/internal/qlengine"
	"github.com/quetzallane/quetzallane/internal/qlevent"
	"github.com/quetzallane/quetzallane/internal/qlplace"
	"github.com/quetzallane/quetzallane/pkg/qlcode"
)

const (
	// _streamHang is how long a resumable stream may be silent before it goes
	// on at another engine; callers leave after two seconds.
	_streamHang = 1500 * time.Millisecond
	// _firstHangGoals bounds the wait for a resumable stream's first event.
	_firstHangGoals = 3
	// _copyBuffer is what is read of a stream at once.
	_copyBuffer = 8 << 10
	// _writeSlack is how long after the deadline a caller that does not read
	// is waited for.
	_writeSlack = time.Second
)

var _buffers = sync.Pool{
	New: func() any {
		buffer := make([]byte, _copyBuffer)
		return &buffer
	},
}

// attemptResult says how an attempt at an engine ended.
type attemptResult int

const (
	// attemptDone: the caller has its whole answer, or is gone.
	attemptDone attemptResult = iota + 1
	// attemptNotSent: no byte has left.
	attemptNotSent
	// attemptNotRun: the engine turned the request away.
	attemptNotRun
	// attemptBroken: the request may have run and has no whole answer.
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

// serveEngine forwards a request to a model engine.
func (f *Forwarder) serveEngine(x *exchange) {
	f.countRequest(x)
	unreached := 0
	for {
		verdict, run := f.place(x)
		if x.ctx.Err() != nil {
			f.config.Placement.End(run, qlengine.Abandoned)
			f.endExpired(x)
			return
		}
		if verdict.Engine == "" {
			f.endRefused(x, &verdict)
			return
		}
		entry, listed := x.view.byID[verdict.Engine]
		result, err := attemptNotSent, error(nil)
		if listed {
			result, err = f.attempt(x, entry, run)
		} else {
			f.config.Placement.End(run, qlengine.Abandoned)
			x.view = f.view.Load()
		}
		x.excluded = append(x.excluded, verdict.Engine)
		if result != attemptDone {
			f.attempted(x, verdict.Engine, result.String(), err)
		}
		switch result {
		case attemptDone:
			return
		case attemptNotSent:
			if unreached++; unreached < _maxUnreached && x.left() > 0 {
				continue
			}
		case attemptNotRun:
			x.sent = x.sentBefore
			if f.mayRepeat(x) {
				continue
			}
		case attemptBroken:
			if x.route.Repeatable() && f.mayRepeat(x) {
				continue
			}
		}
		f.endBroken(x, result, err)
		return
	}
}

// place asks for an engine.
func (f *Forwarder) place(x *exchange) (qlplace.Decision, uint64) {
	run := f.next.Add(1)
	verdict := f.config.Placement.Decide(x.ctx, &qlplace.Request{
		Key: qlengine.Key{
			Request: run,
		},
		Service:          x.service.Name(),
		Customer:         x.customer,
		Zone:             f.config.Zone,
		Prompt:           *x.caller.Prompt,
		LatencyObjective: x.route.LatencyObjective(),
		Excluded:         x.excluded,
		AlreadyAdmitted:  x.sent || x.began,
	})
	f.placed(x, &verdict)
	return verdict, run
}

// endExpired ends a request whose caller left, or whose time is over, before
// it was sent.
func (f *Forwarder) endExpired(x *exchange) {
	if x.callerGone() {
		f.left(x)
		return
	}
	f.endBroken(x, attemptNotSent, errors.New("out of time before an engine was found"))
}

func (f *Forwarder) endRefused(x *exchange, verdict *qlplace.Decision) {
	if x.began || x.sent {
		f.endBroken(x, attemptBroken, errors.New("no engine to go on at"))
		return
	}
	code := qlcode.QueueFull
	if verdict.Reason == qlplace.NoEngine {
		code = qlcode.NoUpstream
	}
	f.refuse(x, code, verdict.RetryAfter, verdict.Reason.String())
}

// endBroken ends a request that no engine answered whole.
func (f *Forwarder) endBroken(x *exchange, result attemptResult, err error) {
	if err == nil {
		err = errors.New("the engine left the list")
	}
	switch {
	case x.began:
		f.cut(x, err)
	case x.sent:
		f.unknown(x, err)
	case result == attemptNotRun:
		f.refuse(x, qlcode.QueueFull, _shedRetry, "the engine is full")
	default:
		f.refuse(x, qlcode.UpstreamUnreached, _shedRetry, errors.Cause(err).Error())
	}
}

// cut ends a stream that cannot go on, in a way that does not look complete.
func (f *Forwarder) cut(x *exchange, err error) {
	x.cause = errors.Cause(err).Error()
	f.ended(x, qlcode.UpstreamCut, http.StatusOK)
	panic(http.ErrAbortHandler)
}

// attempt sends the request to an engine and passes its answer on.
func (f *Forwarder) attempt(x *exchange, entry qlcatalog.Entry, run uint64) (result attemptResult, err error) {
	outcome := qlengine.Failed
	defer func() {
		if x.callerGone() || f.isOwnTimeout(err) {
			outcome = qlengine.Abandoned
		}
		f.config.Placement.End(run, outcome)
	}()
	e, err := f.send(x, entry, f.firstHang(x))
	switch {
	case x.callerGone():
		if err == nil {
			e.Close()
		}
		f.left(x)
		return attemptDone, nil
	case errors.Is(err, qlconn.ErrTooManyConnections):
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
		return f.passFailure(x, e, answer)
	}
	result, err = f.passStream(x, e, run)
	if err == nil {
		outcome = qlengine.Completed
	}
	return result, err
}

// firstHang bounds the wait for the first event where another engine may be
// tried.
func (f *Forwarder) firstHang(x *exchange) time.Duration {
	if !x.route.Repeatable() || x.attempts+1 >= x.route.MaxAttempts() {
		return 0
	}
	return max(_firstHangGoals*x.route.LatencyObjective(), time.Second)
}

// passFailure passes an engine's own failure on, unless the request may be
// tried again.
func (f *Forwarder) passFailure(x *exchange, e *qlconn.Exchange, answer Answer) (attemptResult, error) {
	got, err := f.readWhole(e, answer)
	if err != nil {
		return attemptBroken, err
	}
	if x.began || x.route.Repeatable() && f.mayRepeat(x) {
		// The caller of attempt asks the budget once more; a repeat that was
		// taken twice only makes the bound stricter.
		return attemptBroken, errors.Errorf("the engine answered %d", got.response.StatusCode)
	}
	f.passWhole(x, got)
	return attemptDone, errors.New("the engine failed")
}

// passStream passes events on as they come.
func (f *Forwarder) passStream(x *exchange, e *qlconn.Exchange, run uint64) (attemptResult, error) {
	controller := http.NewResponseController(x.w)
	if !x.began {
		x.head = e.Response().Header
		if err := controller.SetWriteDeadline(x.deadline.Add(_writeSlack)); err != nil {
			return attemptBroken, errors.Trace(err)
		}
	}
	buffer, _ := _buffers.Get().(*[]byte)
	defer _buffers.Put(buffer)
	var splitter qlevent.Splitter
	first := true
	for {
		f.boundSilence(x, e)
		n, err := e.Response().Body.Read(*buffer)
		events := splitter.Write((*buffer)[:n])
		if err == io.EOF {
			events = append(events, splitter.Rest()...)
		}
		if len(events) > 0 {
			if first {
				first = false
				f.config.Placement.FirstEvent(run)
				f.firstEvent(x)
			}
			if passErr := f.passEvents(x, controller, events); passErr != nil {
				return f.streamEnded(x, passErr)
			}
		}
		if err == io.EOF {
			f.endStream(x)
			return attemptDone, nil
		}
		if err != nil {
			return f.streamEnded(x, err)
		}
	}
}

// boundSilence limits the wait for the next event where the stream may go on
// elsewhere.
func (f *Forwarder) boundSilence(x *exchange, e *qlconn.Exchange) {
	if x.route.Repeatable() && x.attempts < x.route.MaxAttempts() {
		e.SetReadTimeout(_streamHang)
	}
}

// passEvents writes whole events; those that the caller has are left out.
func (f *Forwarder) passEvents(x *exchange, controller *http.ResponseController, events []byte) error {
	if x.hasLast {
		rest, ok := qlevent.After(events, x.last)
		if !ok {
			return errors.New("the resumed stream lacks an event")
		}
		events = rest
	}
	if len(events) == 0 {
		return nil
	}
	f.begin(x)
	if _, err := x.w.Write(events); err != nil {
		return errors.Annotate(err, "caller")
	}
	if id, ok := qlevent.LastID(events); ok {
		x.last, x.hasLast = id, true
	}
	return errors.Annotate(controller.Flush(), "caller")
}

func (f *Forwarder) streamEnded(x *exchange, err error) (attemptResult, error) {
	if x.callerGone() {
		f.left(x)
		return attemptDone, err
	}
	return attemptBroken, err
}

// endStream ends a whole stream.
func (f *Forwarder) endStream(x *exchange) {
	f.begin(x)
	f.ended(x, qlcode.Answered, http.StatusOK)
}

// begin writes a stream's head. An engine that breaks off before its first
// event leaves no trace in the answer that the caller gets instead.
func (f *Forwarder) begin(x *exchange) {
	if x.began {
		return
	}
	x.began = true
	f.copyHeader(x, x.head)
	x.w.WriteHeader(http.StatusOK)
}
