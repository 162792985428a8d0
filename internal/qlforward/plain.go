package qlforward

import (
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qlbalance"
	"github.com/quetzallane/quetzallane/internal/qlcatalog"
	"github.com/quetzallane/quetzallane/internal/qlconn"
	"github.com/quetzallane/quetzallane/internal/qlpace"
	"github.com/quetzallane/quetzallane/pkg/qlcode"
)

const (
	// _wholeAnswer is up to which size an answer is read whole before its
	// head is passed on, so that one that breaks off can be replaced.
	_wholeAnswer = 256 << 10
	// _hangGoals and _minHang bound the wait for a repeatable request's answer
	// before another upstream is tried.
	_hangGoals = 3
	_minHang   = 400 * time.Millisecond
	// _maxUnreached bounds the upstreams that are tried in vain.
	_maxUnreached = 3
)

// reply is an upstream's whole answer.
type reply struct {
	response *http.Response
	answer   Answer
	body     []byte
}

// servePlain forwards a request to a plain service.
func (f *Forwarder) servePlain(x *exchange) {
	f.countRequest(x)
	if !f.paced(x) {
		part := 0.5 + rand.Float64()
		f.refuse(x, qlcode.QueueFull, time.Duration(part*float64(_pacedRetry)), "the service answers late")
		return
	}
	unreached := 0
	for {
		entry, ok := f.pick(x)
		if !ok {
			f.refuseUnsent(x, qlcode.NoUpstream, "no upstream is listed, or all were tried")
			return
		}
		got, err := f.callPlain(x, entry)
		if x.callerGone() {
			f.left(x)
			return
		}
		x.excluded = append(x.excluded, entry.ID)
		switch {
		case errors.Is(err, qlconn.ErrNotSent):
			f.attempted(x, entry.ID, attemptNotSent.String(), err)
			unreached++
			if unreached >= _maxUnreached || x.left() <= 0 {
				f.refuseUnsent(x, qlcode.UpstreamUnreached, errors.Cause(err).Error())
				return
			}
			continue
		case f.repeats(x, got, err):
			f.attempted(x, entry.ID, resultOf(got, err).String(), err)
			continue
		}
		f.endPlain(x, got, err)
		return
	}
}

// repeats decides whether an attempt that was sent is followed by another.
func (f *Forwarder) repeats(x *exchange, got *reply, err error) bool {
	if err == nil && got.answer.NotRun {
		x.sent = x.sentBefore
		return f.mayRepeat(x)
	}
	failed := err != nil || got.response.StatusCode >= http.StatusInternalServerError
	return failed && x.route.Repeatable() && f.mayRepeat(x)
}

func resultOf(got *reply, err error) attemptResult {
	if err == nil && got.answer.NotRun {
		return attemptNotRun
	}
	return attemptBroken
}

func (f *Forwarder) endPlain(x *exchange, got *reply, err error) {
	switch {
	case err != nil:
		f.unknown(x, err)
	case got.answer.NotRun:
		f.refuseUnsent(x, qlcode.QueueFull, "the upstream is full")
	default:
		f.passWhole(x, got)
	}
}

// refuseUnsent refuses a request as not run, unless an earlier attempt may
// have run.
func (f *Forwarder) refuseUnsent(x *exchange, code qlcode.Code, cause string) {
	if x.sent {
		f.unknown(x, errors.New(cause))
		return
	}
	f.refuse(x, code, _shedRetry, cause)
}

// left ends a request whose caller is gone.
func (f *Forwarder) left(x *exchange) {
	x.cause = "the caller left"
	f.ended(x, qlcode.CallerLeft, 0)
}

func (f *Forwarder) pick(x *exchange) (qlcatalog.Entry, bool) {
	entries := x.view.services[x.service.Name()]
	choice := qlbalance.Criteria{
		Candidates:    make([]qlbalance.Upstream, 0, len(entries)),
		Excluded:      x.excluded,
		Zone:          f.config.Zone,
		NotRepeatable: !x.route.Repeatable(),
	}
	for _, entry := range entries {
		choice.Candidates = append(choice.Candidates, qlbalance.Upstream{
			ID:    entry.ID,
			Zone:  entry.Zone,
			Slots: entry.Slots,
		})
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	balancer := f.balancer(x.service.Name())
	id, ok := balancer.Pick(f.config.Clock(), choice)
	if ok {
		balancer.Begin(id)
	}
	return x.view.byID[id], ok
}

// paced reports whether the service has room for a request.
func (f *Forwarder) paced(x *exchange) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pacer(x.service.Name()).Admit(rand.Float64())
}

func (f *Forwarder) pacer(service string) *qlpace.Pacer {
	pacer := f.pacers[service]
	if pacer == nil {
		pacer = qlpace.New()
		f.pacers[service] = pacer
	}
	return pacer
}

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

// callPlain makes one attempt and reads the whole answer.
func (f *Forwarder) callPlain(x *exchange, entry qlcatalog.Entry) (got *reply, err error) {
	outcome := qlbalance.Failed
	began := time.Now()
	defer func() { f.endCall(x, entry.ID, outcome, got, time.Since(began)) }()
	headTimeout := time.Duration(0)
	if x.route.Repeatable() && x.attempts+1 < x.route.MaxAttempts() {
		headTimeout = max(_hangGoals*x.route.LatencyObjective(), _minHang)
	}
	e, err := f.send(x, entry, headTimeout)
	if err != nil {
		if errors.Is(err, qlconn.ErrNotSent) {
			outcome = qlbalance.ConnectFailed
		}
		if errors.Is(err, qlconn.ErrTooManyConnections) || x.callerGone() || f.isOwnTimeout(err) {
			outcome = qlbalance.CallerLeft
		}
		return nil, err
	}
	defer e.Close()
	got, err = f.readWhole(e, f.readAnswer(x, e.Response()))
	if err == nil {
		outcome = outcomeOf(got)
	}
	return got, err
}

func outcomeOf(got *reply) qlbalance.Outcome {
	switch {
	case got.answer.NotRun:
		return qlbalance.Overloaded
	case got.response.StatusCode >= http.StatusInternalServerError:
		return qlbalance.Failed
	}
	return qlbalance.Answered
}

func (f *Forwarder) endCall(x *exchange, id string, outcome qlbalance.Outcome, got *reply, took time.Duration) {
	now := f.config.Clock()
	f.mu.Lock()
	defer f.mu.Unlock()
	balancer := f.balancer(x.service.Name())
	balancer.End(now, id, outcome)
	if got != nil && got.answer.HasLoad {
		balancer.RecordReportedLoad(now, id, got.answer.Running, got.answer.Waiting)
		if !f.config.Lagging() {
			f.pacer(x.service.Name()).Answered(took, x.route.LatencyObjective(), got.answer.Waiting)
		}
	}
}

// isOwnTimeout reports whether an upstream's silence may be this process's
// own: timers end before what has come is read.
func (f *Forwarder) isOwnTimeout(err error) bool {
	var failure net.Error
	return f.config.Lagging() && errors.As(err, &failure) && failure.Timeout()
}

// readWhole reads an answer; what is longer than _wholeAnswer is an error, as
// is one without a signature that does not say that it was not run.
func (f *Forwarder) readWhole(e *qlconn.Exchange, answer Answer) (*reply, error) {
	response := e.Response()
	got := &reply{
		response: response,
		answer:   answer,
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, _wholeAnswer+1))
	if err != nil {
		return nil, errors.Annotate(err, "answer broke off")
	}
	if len(body) > _wholeAnswer {
		return nil, errors.New("answer too long")
	}
	if !got.answer.Signed && !got.answer.NotRun {
		return nil, errors.Errorf("answer without signature, status %d", response.StatusCode)
	}
	got.body = body
	return got, nil
}

// passWhole passes an answer on as it is.
func (f *Forwarder) passWhole(x *exchange, got *reply) {
	f.copyHeader(x, got.response.Header)
	header := x.w.Header()
	if x.request.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(got.body)))
	}
	f.ended(x, qlcode.Answered, got.response.StatusCode)
	x.w.WriteHeader(got.response.StatusCode)
	if _, err := x.w.Write(got.body); err != nil {
		// The caller's connection broke; there is nobody to tell.
		x.cause = err.Error()
	}
}
