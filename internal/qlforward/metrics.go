package qlforward

import (
	"expvar"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qlplace"
	"github.com/quetzallane/quetzallane/internal/qlroute"
	"github.com/quetzallane/quetzallane/pkg/qlcode"
	"go.uber.org/zap"
)

// Metrics counts what became of requests.
type Metrics struct {
	results    expvar.Map
	byCustomer expvar.Map
	byUpstream expvar.Map
	byRoute    expvar.Map
	byKind     expvar.Map
	byService  expvar.Map
	reasons    expvar.Map
	// kinds holds each kind's times.
	kinds      map[qlroute.Kind]*kindTimes
	firstEvent Histogram
	whole      Histogram
	prediction Histogram
}

// kindTimes are the times of requests of one kind.
type kindTimes struct {
	firstEvent Histogram
	whole      Histogram
}

func newMetrics() *Metrics {
	m := &Metrics{
		kinds: make(map[qlroute.Kind]*kindTimes),
	}
	for _, kind := range qlroute.Kinds() {
		m.kinds[kind] = &kindTimes{}
	}
	return m
}

// Metrics returns the counters; they go on counting.
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
	each("placements", &m.reasons)
	each("first-event", &m.firstEvent)
	each("whole-answer", &m.whole)
	each("predicted-first-event", &m.prediction)
	for _, kind := range qlroute.Kinds() {
		each("first-event-"+kind.String(), &m.kinds[kind].firstEvent)
		each("whole-answer-"+kind.String(), &m.kinds[kind].whole)
	}
}

// _bounds are the upper ends of a histogram's buckets.
var _bounds = [...]time.Duration{
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

// Histogram counts durations by size. Its zero value is ready.
type Histogram struct {
	counts [len(_bounds) + 1]expvar.Int
}

// Observe counts a duration.
func (h *Histogram) Observe(d time.Duration) {
	for i, bound := range _bounds {
		if d <= bound {
			h.counts[i].Add(1)
			return
		}
	}
	h.counts[len(_bounds)].Add(1)
}

// String returns the counts as JSON, by each bucket's upper end.
func (h *Histogram) String() string {
	text := "{"
	for i := range h.counts {
		name := "more"
		if i < len(_bounds) {
			name = _bounds[i].String()
		}
		if i > 0 {
			text += ", "
		}
		text += strconv.Quote(name) + ": " + h.counts[i].String()
	}
	return text + "}"
}

// placed logs a decision on an engine. Events that end well have names of
// their own, since the volume of each name is bounded.
func (f *Forwarder) placed(x *exchange, verdict *qlplace.Decision) {
	x.decider, x.predicted = verdict.Decider, verdict.Predicted
	f.metrics.reasons.Add(verdict.Reason.String(), 1)
	f.metrics.prediction.Observe(verdict.Predicted)
	event := "placement"
	if verdict.Reason == qlplace.Admitted {
		event = "placement-admitted"
	}
	if x.sent {
		event = "placement-repeated"
	}
	f.config.Log.Info(event,
		zap.String("request", x.caller.ID),
		zap.String("customer", x.customer),
		zap.String("engine", verdict.Engine),
		zap.String("reason", verdict.Reason.String()),
		zap.Duration("predicted", verdict.Predicted),
		zap.Duration("retry-after", verdict.RetryAfter),
		zap.String("decided-by", verdict.Decider),
		zap.Duration("decided-in", time.Since(x.start)),
		zap.Int("attempts", x.attempts))
}

func (f *Forwarder) firstEvent(x *exchange) {
	x.first = time.Since(x.start)
	f.metrics.firstEvent.Observe(x.first)
	f.metrics.kinds[x.route.Kind()].firstEvent.Observe(x.first)
}

// attempted logs an attempt that did not answer the request.
func (f *Forwarder) attempted(x *exchange, upstream, outcome string, err error) {
	cause := ""
	if err != nil {
		cause = errors.Cause(err).Error()
	}
	f.config.Log.Info("attempt-failed",
		zap.String("request", x.caller.ID),
		zap.String("upstream", upstream),
		zap.String("outcome", outcome),
		zap.Int("attempts", x.attempts),
		zap.Int64("last-event", x.last),
		zap.Duration("left", x.left()),
		zap.String("cause", cause))
}

// ended counts and logs a request's end.
func (f *Forwarder) ended(x *exchange, code qlcode.Code, status int) {
	took := time.Since(x.start)
	f.metrics.results.Add(code.Name(), 1)
	f.metrics.whole.Observe(took)
	route, kind := "", ""
	if x.route != nil {
		route, kind = x.route.Name(), x.route.Kind().String()
		f.metrics.byRoute.Add(route+"/"+code.Name(), 1)
		f.metrics.byKind.Add(kind+"/"+code.Name(), 1)
		f.metrics.kinds[x.route.Kind()].whole.Observe(took)
		f.metrics.byCustomer.Add(x.customer+"/"+code.Name(), 1)
		f.metrics.byUpstream.Add(x.upstream+"/"+code.Name(), 1)
	}
	if x.service != nil {
		f.metrics.byService.Add(x.service.Name()+"/"+code.Name(), 1)
	}
	revision, list := uint64(0), uint64(0)
	if x.view != nil {
		revision, list = x.view.table.Revision(), x.view.list
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
		zap.Duration("first-event", x.first),
		zap.Duration("predicted", x.predicted),
		zap.String("decided-by", x.decider),
		zap.Uint64("revision", revision),
		zap.Uint64("list-revision", list),
		zap.Int64("last-event", x.last),
		zap.String("cause", x.cause))
}
