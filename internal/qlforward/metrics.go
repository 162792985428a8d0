package qlforward

import (
	"expvar"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qlconn"
	"github.com/quetzallane/quetzallane/internal/qloutcome"
	"github.com/quetzallane/quetzallane/internal/qlplace"
	"github.com/quetzallane/quetzallane/internal/qlposition"
	"github.com/quetzallane/quetzallane/internal/qlroute"
	"github.com/quetzallane/quetzallane/pkg/qlcode"
	"go.uber.org/zap"
)

// Metrics counts the results of requests and measures their durations.
type Metrics struct {
	results    expvar.Map
	byCustomer expvar.Map
	byUpstream expvar.Map
	byRoute    expvar.Map
	byKind     expvar.Map
	byService  expvar.Map
	byReason   expvar.Map
	// pauses counts what upstreams have said about further requests to them.
	pauses expvar.Map
	// withheld counts attempts that were not sent since the upstream's zone was evacuated
	// after it was chosen.
	withheld expvar.Int
	// warmUps counts the requests to cold upstreams of plain services, and how often one was
	// left out.
	warmUps expvar.Map
	// paces counts the paces that upstreams have reported.
	paces expvar.Map
	// histogramsByKind holds the durations by the kind of route.
	histogramsByKind    map[qlroute.Kind]*kindHistograms
	firstEvent          Histogram
	wholeAnswer         Histogram
	predictedFirstEvent Histogram
}

// kindHistograms holds the durations of the requests to routes of one kind.
type kindHistograms struct {
	firstEvent  Histogram
	wholeAnswer Histogram
}

func newMetrics() *Metrics {
	m := &Metrics{
		histogramsByKind: make(map[qlroute.Kind]*kindHistograms),
	}
	for _, kind := range qlroute.Kinds() {
		m.histogramsByKind[kind] = &kindHistograms{}
	}
	return m
}

// Metrics returns the counters, which continue to be updated.
func (f *Forwarder) Metrics() *Metrics {
	return f.metrics
}

// Do calls the function for each counter and histogram.
func (m *Metrics) Do(each func(name string, value expvar.Var)) {
	each("results", &m.results)
	each("customers", &m.byCustomer)
	each("upstreams", &m.byUpstream)
	each("routes", &m.byRoute)
	each("kinds", &m.byKind)
	each("services", &m.byService)
	each("placements", &m.byReason)
	each("pauses", &m.pauses)
	each("withheld-from-evacuated", &m.withheld)
	each("plain-warm-ups", &m.warmUps)
	each("paces", &m.paces)
	each("first-event", &m.firstEvent)
	each("whole-answer", &m.wholeAnswer)
	each("predicted-first-event", &m.predictedFirstEvent)
	for _, kind := range qlroute.Kinds() {
		each("first-event-"+kind.String(), &m.histogramsByKind[kind].firstEvent)
		each("whole-answer-"+kind.String(), &m.histogramsByKind[kind].wholeAnswer)
	}
}

// _bucketBounds are the upper bounds of a histogram's buckets, inclusive.
var _bucketBounds = [...]time.Duration{
	5 * time.Millisecond,
	10 * time.Millisecond,
	25 * time.Millisecond,
	50 * time.Millisecond,
	100 * time.Millisecond,
	200 * time.Millisecond,
	300 * time.Millisecond,
	500 * time.Millisecond,
	time.Second,
	2 * time.Second,
	5 * time.Second,
	15 * time.Second,
}

// Histogram counts durations by bucket. Its zero value is ready to use.
type Histogram struct {
	counts [len(_bucketBounds) + 1]expvar.Int
}

// Observe adds a duration.
func (h *Histogram) Observe(d time.Duration) {
	for i, bound := range _bucketBounds {
		if d <= bound {
			h.counts[i].Add(1)
			return
		}
	}
	h.counts[len(_bucketBounds)].Add(1)
}

// String returns the counts as JSON, keyed by the upper bound of each bucket.
func (h *Histogram) String() string {
	text := "{"
	for i := range h.counts {
		name := "more"
		if i < len(_bucketBounds) {
			name = _bucketBounds[i].String()
		}
		if i > 0 {
			text += ", "
		}
		text += strconv.Quote(name) + ": " + h.counts[i].String()
	}
	return text + "}"
}

// recordPlacement counts and logs a placement decision. The log volume is
// limited by event name, so admitted placements and retries have names of their
// own.
func (f *Forwarder) recordPlacement(x *exchange, decision *qlplace.Decision) {
	x.decider, x.predicted = decision.Decider, decision.Predicted
	f.metrics.byReason.Add(decision.Reason.String(), 1)
	f.metrics.predictedFirstEvent.Observe(decision.Predicted)
	event := "placement"
	if decision.Reason == qlplace.Admitted {
		event = "placement-admitted"
	}
	if x.sent {
		event = "placement-repeated"
	}
	f.config.Log.Info(event,
		zap.String("request", x.caller.ID),
		zap.String("customer", x.customer),
		zap.String("engine", decision.Engine),
		zap.String("reason", decision.Reason.String()),
		zap.Duration("predicted", decision.Predicted),
		zap.Duration("retry-after", decision.RetryAfter),
		zap.String("decided-by", decision.Decider),
		zap.Duration("decided-in", time.Since(x.start)),
		zap.Int("attempts", x.attempts))
}

// recordFirstEvent records the time to the first event of an engine.
func (f *Forwarder) recordFirstEvent(x *exchange) {
	x.timeToFirstEvent = time.Since(x.start)
	f.metrics.firstEvent.Observe(x.timeToFirstEvent)
	f.metrics.histogramsByKind[x.route.Kind()].firstEvent.Observe(x.timeToFirstEvent)
}

// logFailedAttempt logs an attempt that did not answer the request.
func (f *Forwarder) logFailedAttempt(x *exchange, upstream, outcome string, err error) {
	cause := ""
	if err != nil {
		cause = errors.Cause(err).Error()
	}
	var loss qlconn.Loss
	if outcome == attemptBroken.String() {
		loss = f.pool.Loss(x.view.readyByID[upstream].Address, time.Now())
	}
	f.config.Log.Info("attempt-failed",
		zap.String("request", x.caller.ID),
		zap.String("upstream", upstream),
		zap.String("outcome", outcome),
		zap.Int("attempts", x.attempts),
		zap.Int64("last-event", x.lastEventID),
		zap.Stringer("answer", x.progress),
		zap.Stringer("parts", x.caller.Prompt),
		zap.Duration("left", x.remaining()),
		zap.Int("connections-ended", loss.Ended),
		zap.Int("connections-open", loss.Open),
		zap.String("cause", cause))
}

// offloadField returns the log field of an offloaded request.
func (x *exchange) offloadField() zap.Field {
	if x.offloadedBy == "" {
		return zap.Skip()
	}
	return zap.String("offloaded-by", x.offloadedBy)
}

// recordEnd counts and logs the end of a request. The log volume is limited by
// event name, so answered requests have a name of their own.
func (f *Forwarder) recordEnd(x *exchange, code qlcode.Code, status int) {
	took := time.Since(x.start)
	f.metrics.results.Add(code.Name(), 1)
	f.config.Outcomes.Add(x.customer, qloutcome.OfCode(code))
	f.metrics.wholeAnswer.Observe(took)
	route, kind := "", ""
	if x.route != nil {
		route, kind = x.route.Name(), x.route.Kind().String()
		f.metrics.byRoute.Add(route+"/"+code.Name(), 1)
		f.metrics.byKind.Add(kind+"/"+code.Name(), 1)
		f.metrics.histogramsByKind[x.route.Kind()].wholeAnswer.Observe(took)
		f.metrics.byCustomer.Add(x.customer+"/"+code.Name(), 1)
		f.metrics.byUpstream.Add(x.upstream+"/"+code.Name(), 1)
	}
	if x.service != nil {
		f.metrics.byService.Add(x.service.Name()+"/"+code.Name(), 1)
	}
	revision, list := uint64(0), qlposition.Position{}
	if x.view != nil {
		revision, list = x.view.table.Revision(), x.view.listPosition
	}
	event := "request-ended"
	if code == qlcode.Answered && status < http.StatusInternalServerError {
		event = "request-answered"
	}
	entry := f.config.Log.Check(zap.InfoLevel, event)
	if entry == nil {
		return
	}
	entry.Write(
		zap.String("request", x.caller.ID),
		zap.String("route", route),
		zap.String("kind", kind),
		zap.String("customer", x.customer),
		zap.String("upstream", x.upstream),
		zap.Int("code", int(code)),
		zap.Int("status", status),
		zap.Int("attempts", x.attempts),
		zap.Duration("took", took),
		zap.Duration("first-event", x.timeToFirstEvent),
		zap.Duration("predicted", x.predicted),
		zap.String("decided-by", x.decider),
		x.offloadField(),
		zap.Uint64("revision", revision),
		zap.Uint64("list-era", list.Era),
		zap.Uint64("list-revision", list.Revision),
		zap.Int64("last-event", x.lastEventID),
		zap.String("cause", x.cause))
}
