package qlforward

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qlroute"
	"github.com/quetzallane/quetzallane/pkg/qlcode"
)

// stopState is what requests know of a planned stop of this router.
type stopState struct {
	closing  atomic.Bool
	refusing atomic.Bool
	// cutoff is when active requests are ended; nil if the router does not stop.
	cutoff atomic.Pointer[time.Time]
	// ended is done from then on.
	ended context.Context
	end   context.CancelFunc
	// cut counts the requests that were ended then.
	cut atomic.Int64
}

func newStopState() *stopState {
	ended, end := context.WithCancel(context.Background())
	return &stopState{
		ended: ended,
		end:   end,
	}
}

// SetClosing makes all further answers ask the callers to close their
// connections.
func (f *Forwarder) SetClosing() {
	f.stop.closing.Store(true)
}

// closesConnections reports whether callers are asked to close their
// connections.
func (f *Forwarder) closesConnections() bool {
	return f.stop.closing.Load() || f.config.CloseConnections()
}

// SetRefusing makes the router refuse all further requests, since it is
// stopping and could not finish them.
func (f *Forwarder) SetRefusing() {
	f.stop.refusing.Store(true)
}

// refusesToStop refuses a request if the router takes none, since it is stopping, and
// reports whether it did.
func (f *Forwarder) refusesToStop(x *exchange) bool {
	if !f.stop.refusing.Load() {
		return false
	}
	f.refuse(x, qlcode.Stopping, 0, "the router stops")
	return true
}

// SetCutoff sets when a stopping router ends its active requests, so that their callers
// get an answer before the process ends. Requests that cannot end by then are not sent.
func (f *Forwarder) SetCutoff(at time.Time) {
	f.stop.cutoff.Store(&at)
	time.AfterFunc(time.Until(at), f.stop.end)
}

// Cut returns how many requests were ended by the time of SetCutoff.
func (f *Forwarder) Cut() int64 {
	return f.stop.cut.Load()
}

// isCut reports whether the router has ended its active requests, since it stops.
func (f *Forwarder) isCut() bool {
	return f.stop.ended.Err() != nil
}

// stopsTooSoon reports whether a request that is sent now cannot be expected to end before
// the router stops.
func (f *Forwarder) stopsTooSoon(x *exchange) bool {
	cutoff := f.stop.cutoff.Load()
	return cutoff != nil && time.Until(*cutoff) < max(x.route.LatencyObjective(), _timeoutGrace)
}

// setDeadline sets the deadline of the request to the earliest of the caller's, the
// route's and the router's own. The request's context ends _timeoutGrace later.
func (f *Forwarder) setDeadline(x *exchange) context.CancelFunc {
	wait := timeLimit(x.caller.Timeout, x.route)
	// The caller's time limit starts when it sends the request.
	x.deadline = x.start.Add(wait - f.config.ReadDelay())
	ctx, cancel := context.WithDeadline(x.request.Context(), x.deadline.Add(_timeoutGrace))
	x.ctx = ctx
	if cutoff := f.stop.cutoff.Load(); cutoff != nil && cutoff.Before(x.deadline.Add(_timeoutGrace)) {
		x.deadline = cutoff.Add(-_timeoutGrace)
	}
	release := context.AfterFunc(f.stop.ended, func() {
		f.stop.cut.Add(1)
		cancel()
	})
	return func() {
		release()
		cancel()
	}
}

// timeLimit returns the time limit of a request: the caller's or the route's, whichever is less,
// or the default if there is none. The route may be nil.
func timeLimit(callers time.Duration, route *qlroute.Route) time.Duration {
	limit := callers
	if route != nil && route.Timeout() > 0 && (limit == 0 || route.Timeout() < limit) {
		limit = route.Timeout()
	}
	if limit == 0 {
		return _defaultTimeout
	}
	return limit
}

var errStopsTooSoon = errors.New("the router stops too soon")

// failUnknownOutcome answers a request that may have run and for which no
// complete answer was received: with 504 after the deadline or at the end of a planned
// stop, otherwise with 502.
func (f *Forwarder) failUnknownOutcome(x *exchange, err error) {
	cause := errors.Cause(err).Error()
	switch {
	case f.isCut():
		f.writeResult(x, qlcode.StopCut, http.StatusGatewayTimeout, cause)
	case x.remaining() <= 0:
		f.fail(x, qlcode.UpstreamTimeout, cause)
	default:
		f.fail(x, qlcode.UpstreamCut, cause)
	}
}
