package qlforward

import (
	"expvar"
	"strconv"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlplace"
	"github.com/quetzallane/quetzallane/pkg/qlcode"
	"go.uber.org/zap"
)

// Metrics counts what became of requests.
type Metrics struct {
	results    expvar.Map
	byCustomer expvar.Map
	byUpstream expvar.Map
	byRoute    expvar.Map
	reasons    expvar.Map
	firstEvent Histogram
	whole      Histogram
	prediction Histogram
}

func newMetrics() *Metrics {
	return &Metrics{}
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
	each("placements", &m.reasons)
	each("first-event", &m.firstEvent)
	each("whole-answer", &m.whole)
	each("predicted-first-event", &m.prediction)
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

// placed logs a decision on an engine.
func (f *Forwarder) placed(x *exchange, verdict *qlplace.Verdict) {
	f.metrics.reasons.Add(verdict.Reason.String(), 1)
	f.metrics.prediction.Observe(verdict.Predicted)
	if verdict.Reason == qlplace.Admitted && !x.sent {
		return
	}
	f.config.Log.Info("placement",
		zap.String("request", x.caller.ID),
		zap.String("customer", x.customer),
		zap.String("engine", verdict.Engine),
		zap.String("reason", verdict.Reason.String()),
		zap.Duration("predicted", verdict.Predicted),
		zap.Duration("retry-after", verdict.RetryAfter),
		zap.String("decided-by", verdict.Decider),
		zap.Int("attempts", x.attempts))
}

func (f *Forwarder) firstEvent(x *exchange) {
	f.metrics.firstEvent.Observe(time.Since(x.start))
}

// ended counts and logs a request's end.
func (f *Forwarder) ended(x *exchange, code qlcode.Code, status int) {
	took := time.Since(x.start)
	f.metrics.results.Add(code.Name(), 1)
	f.metrics.whole.Observe(took)
	route := ""
	if x.route != nil {
		route = x.route.Name()
		f.metrics.byRoute.Add(route+"/"+code.Name(), 1)
		f.metrics.byCustomer.Add(x.customer+"/"+code.Name(), 1)
		f.metrics.byUpstream.Add(x.upstream+"/"+code.Name(), 1)
	}
	revision := uint64(0)
	if x.view != nil {
		revision = x.view.table.Revision()
	}
	log := f.config.Log.Info
	if code == qlcode.Answered && status < 500 {
		log = f.config.Log.Debug
	}
	log("request-ended",
		zap.String("request", x.caller.ID),
		zap.String("route", route),
		zap.Uint64("revision", revision),
		zap.String("customer", x.customer),
		zap.String("upstream", x.upstream),
		zap.Int("code", int(code)),
		zap.Int("status", status),
		zap.Int("attempts", x.attempts),
		zap.Duration("took", took),
		zap.Int64("last-event", x.last),
		zap.String("cause", x.cause))
}
