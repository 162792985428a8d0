package qlforward

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qlbalance"
	"github.com/quetzallane/quetzallane/internal/qlcatalog"
	"github.com/quetzallane/quetzallane/internal/qlconn"
	"github.com/quetzallane/quetzallane/internal/qlpace"
	"github.com/quetzallane/quetzallane/pkg/qlcode"
	"go.uber.org/zap"
)

const (
	// _maxReplyBytes limits the size of an answer. Answers are read completely
	// before their head is forwarded, so that a truncated answer can be
	// replaced by that of another upstream.
	_maxReplyBytes = 256 << 10
	// _headTimeoutFactor times the latency objective, but no less than
	// _minHeadTimeout, is how long the router waits for the response head of a
	// repeatable request before it tries another upstream.
	_headTimeoutFactor = 3
	_minHeadTimeout    = 400 * time.Millisecond
	// _maxUnreachable limits the upstreams that are tried in vain because no
	// connection to them can be used.
	_maxUnreachable = 3
	// _maxCrashed is how many upstreams one request may crash. One crash may be chance.
	_maxCrashed = 2
)

// upstreamReply is the complete response of an upstream.
type upstreamReply struct {
	response *http.Response
	answer   Answer
	body     []byte
}

// servePlain forwards a request to a service without model engines.
func (f *Forwarder) servePlain(x *exchange) {
	f.countRequest(x)
	if !f.admittedByPacer(x) {
		jitter := 0.5 + rand.Float64()
		f.refuse(x, qlcode.QueueFull, time.Duration(jitter*float64(_pacedRetry)), "the service answers late")
		return
	}
	unreachable := 0
	for {
		if f.stopsTooSoon(x) {
			f.refuseUnlessSent(x, qlcode.Stopping, errStopsTooSoon.Error())
			return
		}
		entry, ok := f.pickUpstream(x)
		if !ok {
			f.endWithoutUpstream(x)
			return
		}
		reply, err := f.callPlain(x, entry)
		if x.callerGone() {
			f.endCallerGone(x)
			return
		}
		x.excluded = append(x.excluded, entry.ID)
		switch {
		case errors.Is(err, qlconn.ErrNotSent):
			f.logFailedAttempt(x, entry.ID, attemptNotSent.String(), err)
			unreachable++
			if unreachable >= _maxUnreachable || x.remaining() <= 0 {
				f.refuseUnlessSent(x, qlcode.UpstreamUnreached, errors.Cause(err).Error())
				return
			}
			continue
		case f.shouldRetry(x, entry, reply, err):
			f.logFailedAttempt(x, entry.ID, resultOf(reply, err).String(), err)
			continue
		}
		f.endPlain(x, reply, err)
		return
	}
}

// shouldRetry reports whether a request that was sent is retried after this
// reply or error. If so, it takes one retry from the budget. An attempt that
// the upstream did not run no longer counts as sent.
func (f *Forwarder) shouldRetry(x *exchange, entry qlcatalog.Entry, reply *upstreamReply, err error) bool {
	if err == nil && reply.answer.NotRun {
		x.sent = x.sentBeforeAttempt
		return f.takeRetry(x)
	}
	failed := err != nil || reply.response.StatusCode >= http.StatusInternalServerError
	return failed && x.route.Repeatable() && !f.hasCrashedTooMany(x, entry, err) && f.takeRetry(x)
}

// hasCrashedTooMany reports whether the upstreams that crashed while they ran this request
// are so many that it is probably the cause. It probes only where the route would allow
// more of them.
func (f *Forwarder) hasCrashedTooMany(x *exchange, entry qlcatalog.Entry, err error) bool {
	if err == nil || x.route.MaxAttempts() <= _maxCrashed || f.isCut() || isTimeout(err) {
		return false
	}
	endedAt := time.Now()
	if !f.pool.Refuses(x.ctx, entry.Address, endedAt) && !f.pool.LostAll(entry.Address, endedAt) {
		return false
	}
	x.crashed++
	f.config.Log.Info("upstream-crashed", zap.String("request", x.caller.ID), zap.String("upstream", entry.ID),
		zap.Int("crashed", x.crashed))
	return x.crashed >= _maxCrashed
}

// resultOf returns the attempt's result for the log.
func resultOf(reply *upstreamReply, err error) attemptResult {
	if err == nil && reply.answer.NotRun {
		return attemptNotRun
	}
	return attemptBroken
}

// endPlain ends a request with the reply or error of its last attempt.
func (f *Forwarder) endPlain(x *exchange, reply *upstreamReply, err error) {
	switch {
	case err != nil:
		f.failUnknownOutcome(x, err)
	case reply.answer.NotRun:
		f.refuseUnlessSent(x, qlcode.QueueFull, "the upstream is full")
	default:
		f.forwardReply(x, reply)
	}
}

// refuseUnlessSent refuses a request as not run. If an earlier attempt may have
// run it, it answers that the outcome is unknown.
func (f *Forwarder) refuseUnlessSent(x *exchange, code qlcode.Code, cause string) {
	if x.sent {
		f.failUnknownOutcome(x, errors.New(cause))
		return
	}
	f.refuse(x, code, _shedRetry, cause)
}

// endWithoutUpstream ends a request for which there is no upstream, or no further one.
func (f *Forwarder) endWithoutUpstream(x *exchange) {
	pause, all := f.shortestPause(x)
	if all && !x.sent {
		f.refuse(x, qlcode.QueueFull, pause, "all upstreams want no requests")
		return
	}
	if x.tooCold && !x.sent {
		f.refuse(x, qlcode.QueueFull, _pacedRetry, "the upstreams left are cold")
		return
	}
	f.refuseUnlessSent(x, qlcode.NoUpstream, "no upstream is listed, or all were tried")
}

// endCallerGone ends a request whose caller has closed its connection. One that has only
// ended its own side looks the same and still reads: it must not get an empty success, with
// which the server would answer for a handler that writes nothing, nor the end of a stream.
func (f *Forwarder) endCallerGone(x *exchange) {
	x.cause = "the caller left"
	f.recordEnd(x, qlcode.CallerLeft, 0)
	code := qlcode.CallerLeft
	switch {
	case x.streamStarted:
		f.resetOldCaller(x)
		panic(http.ErrAbortHandler)
	case x.sent:
		code = qlcode.UpstreamCut
	}
	f.writeCode(x, code, code.HTTPStatus())
}

// pickUpstream chooses an upstream that was not tried yet and counts the call
// as running there; it reports false if there is none.
func (f *Forwarder) pickUpstream(x *exchange) (qlcatalog.Entry, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.config.Clock()
	balancer := f.balancer(x.service.Name())
	id, ok := balancer.Pick(now, qlbalance.Criteria{
		Candidates:    f.candidates(x, now),
		Excluded:      x.excluded,
		Zone:          f.config.Zone,
		NotRepeatable: !x.route.Repeatable(),
	})
	if ok {
		balancer.Begin(id)
		f.recordCold(id, now)
	}
	return x.view.readyByID[id], ok
}

// admittedByPacer reports whether the service's pacer admits a request.
func (f *Forwarder) admittedByPacer(x *exchange) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pacer(x.service.Name()).Admit(rand.Float64())
}

// pacer returns the pacer of a service. The caller holds mu.
func (f *Forwarder) pacer(service string) *qlpace.Pacer {
	pacer := f.pacers[service]
	if pacer == nil {
		pacer = qlpace.New()
		f.pacers[service] = pacer
	}
	return pacer
}

// balancer returns the balancer of a service. The caller holds mu.
func (f *Forwarder) balancer(service string) *qlbalance.Balancer {
	balancer := f.balancers[service]
	if balancer == nil {
		balancer = qlbalance.New(qlbalance.Config{
			Random: f.config.Random,
		})
		f.balancers[service] = balancer
	}
	return balancer
}

// callPlain makes one attempt and reads the complete answer.
func (f *Forwarder) callPlain(x *exchange, entry qlcatalog.Entry) (reply *upstreamReply, err error) {
	outcome := qlbalance.Failed
	start := time.Now()
	defer func() { f.recordCall(x, entry.ID, outcome, reply, time.Since(start)) }()
	headTimeout := time.Duration(0)
	if x.route.Repeatable() && x.attempts+1 < x.route.MaxAttempts() {
		headTimeout = max(_headTimeoutFactor*x.route.LatencyObjective(), _minHeadTimeout)
	}
	e, err := f.send(x.ctx, x, entry, headTimeout)
	if err != nil {
		if errors.Is(err, qlconn.ErrNotSent) {
			outcome = qlbalance.ConnectFailed
		}
		if errors.Is(err, qlconn.ErrTooManyConnections) || errors.Is(err, errEvacuated) || x.outOfTime || x.callerGone() || f.isLocal(err) {
			// These errors say nothing about the upstream, so the call has no
			// effect on its failure rate.
			outcome = qlbalance.Abandoned
		}
		return nil, err
	}
	defer e.Close()
	reply, err = f.readReply(e, f.readAnswer(x, e.Response()))
	if err == nil {
		outcome = outcomeOf(reply)
	}
	return reply, err
}

// outcomeOf returns the outcome of a call whose answer was read completely.
func outcomeOf(reply *upstreamReply) qlbalance.Outcome {
	switch {
	case reply.answer.NotRun:
		return qlbalance.Overloaded
	case reply.response.StatusCode >= http.StatusInternalServerError:
		return qlbalance.Failed
	}
	return qlbalance.Answered
}

// recordCall reports the end of a call to the balancer. If the upstream stated
// its load, it also reports that load to the balancer and, unless this process
// is lagging, its pace to the balancer and the duration of the call to the pacer.
func (f *Forwarder) recordCall(x *exchange, id string, outcome qlbalance.Outcome, reply *upstreamReply, took time.Duration) {
	now := f.config.Clock()
	f.mu.Lock()
	defer f.mu.Unlock()
	balancer := f.balancer(x.service.Name())
	balancer.End(now, id, outcome)
	if reply != nil && !f.config.Lagging() {
		// A lagging process reads answers late, so that the age of the pace is not known.
		balancer.RecordPace(now, id, reply.answer.Pace)
	}
	if reply != nil && reply.answer.HasLoad {
		balancer.RecordReportedLoad(now, id, reply.answer.Running, reply.answer.Waiting)
		if !f.config.Lagging() {
			f.pacer(x.service.Name()).RecordAnswer(took, x.route.LatencyObjective(), reply.answer.Waiting)
		}
	}
}

// isLocal reports whether this process may have caused an error itself: by the end of a
// planned stop, or by a timeout while it lags, since timers then fire before data that has
// already arrived is read.
func (f *Forwarder) isLocal(err error) bool {
	return f.isCut() || f.config.Lagging() && isTimeout(err)
}

// readReply reads the body of a response. A body longer than _maxReplyBytes is
// an error, and so is a response without a signature or with no byte before the
// end of the connection that ends it, unless it states that the request was not
// run.
func (f *Forwarder) readReply(e *qlconn.Exchange, answer Answer) (*upstreamReply, error) {
	response := e.Response()
	reply := &upstreamReply{
		response: response,
		answer:   answer,
	}
	body, err := readBounded(response.Body, _maxReplyBytes+1, 0, e.Hold)
	if err != nil {
		return nil, errors.Annotate(err, "answer truncated")
	}
	if len(body) > _maxReplyBytes {
		return nil, errors.New("answer longer than 256 KiB")
	}
	if !reply.answer.Signed && !reply.answer.NotRun {
		return nil, errors.Errorf("answer without signature, status %d", response.StatusCode)
	}
	if len(body) == 0 && qlconn.EndsWithConnection(response) && !reply.answer.NotRun {
		return nil, errEndsAfterHead
	}
	reply.body = body
	return reply, nil
}

// forwardReply forwards a response unchanged, except for the headers that apply
// to a single connection.
func (f *Forwarder) forwardReply(x *exchange, reply *upstreamReply) {
	f.copyResponseHeader(x, reply.response.Header)
	header := x.w.Header()
	if x.request.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(reply.body)))
	}
	f.recordEnd(x, qlcode.Answered, reply.response.StatusCode)
	x.w.WriteHeader(reply.response.StatusCode)
	if _, err := x.w.Write(reply.body); err != nil {
		// The connection to the caller failed, so no error can be sent.
		x.cause = err.Error()
	}
}
