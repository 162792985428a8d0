package qlforward

import (
	"context"
	"net/http"
	"time"

	"github.com/quetzallane/quetzallane/internal/qlmemory"

	"github.com/quetzallane/quetzallane/internal/qlroute"
)

// exchange is the state of one active request.
type exchange struct {
	w        http.ResponseWriter
	request  *http.Request
	ctx      context.Context
	start    time.Time
	deadline time.Time
	view     *View
	// holding is the memory of the request, its body included.
	holding  *qlmemory.Holding
	caller   Caller
	route    *qlroute.Route
	service  *qlroute.Service
	customer string
	body     []byte
	// offloadedBy is the address of the router that the caller has connected to, if that
	// has offloaded the request.
	offloadedBy string
	// attempts counts the sends after which an upstream may have received the
	// request.
	attempts int
	// sent is set while the request may have run at an upstream.
	sent bool
	// sentBeforeAttempt is the value of sent before the last attempt. It is
	// restored when the upstream reports that it did not run the request.
	sentBeforeAttempt bool
	// excluded holds the ids of the upstreams that were already tried.
	excluded []string
	// tooCold is set if cold upstreams were left out of the last choice.
	tooCold bool
	// unreachable counts the engines to which the request could not be sent.
	unreachable int
	// crashed counts the upstreams that crashed while they ran the request.
	crashed int
	// upstream is the id of the upstream that was tried last, and upstreamStart when that
	// was started, in Unix milliseconds.
	upstream      string
	upstreamStart int64
	// progress is how much of an answer that upstream has sent.
	progress answerProgress
	// answerBeganAt is when the head of that upstream's answer came, by Config.Clock.
	answerBeganAt time.Duration
	// pace is the Answer.Pace of that answer, and paceAt when it was read.
	pace   float64
	paceAt time.Time
	// sentAt is when the request was last about to be sent, and firstEventAt when the first
	// event of the answer to that came, by the system's clock.
	sentAt       time.Time
	firstEventAt time.Time
	// wentOn is set once the answer of some upstream has gone on for a while.
	wentOn bool
	// isTrial is set if the request is sent although its segments are quarantined.
	isTrial bool
	// streamHeader is the response header of the last engine that answered
	// before the stream to the caller started.
	streamHeader http.Header
	// streamStarted is set once the head of a stream was written to the caller.
	streamStarted bool
	// lastEventID is the id of the last event that was written to the caller;
	// hasLastEventID is set once there is one.
	lastEventID    int64
	hasLastEventID bool
	// cause is the reason for the result, for the log.
	cause string
	// callerLeft is set when Config.CallerLeft reported that the caller has
	// closed its connection.
	callerLeft bool
	// outOfTime is set when the request was not sent since its time limit had passed.
	outOfTime bool
	// decider and predicted are the router that made the last placement
	// decision and its estimate of the time to the first event.
	decider   string
	predicted time.Duration
	// timeToFirstEvent is the time from the start of the request to the first
	// event of the last engine that sent one.
	timeToFirstEvent time.Duration
}

// setCustomer sets the view, and the customer who holds the caller's key in it.
func (x *exchange) setCustomer(view *View) {
	x.view, x.customer = view, ""
	if customer := view.table.Customer(x.caller.Key); customer != nil {
		x.customer = customer.Name()
	}
}

// remaining returns the time until the deadline; it is negative after the
// deadline.
func (x *exchange) remaining() time.Duration {
	return time.Until(x.deadline)
}

// callerGone reports whether the caller has closed its connection.
func (x *exchange) callerGone() bool {
	return x.callerLeft || x.request.Context().Err() != nil
}
