package qlrouter

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qlcore"
	"github.com/quetzallane/quetzallane/internal/qldispatch"
	"github.com/quetzallane/quetzallane/internal/qlupstream"
	"github.com/quetzallane/quetzallane/pkg/qlcode"
)

// serve makes attempts of a request until it ends: it waits for a slot, sends,
// and answers the caller. An attempt that was certainly not sent goes back to
// waiting, and so does a failed attempt of a repeatable call, each within the
// customer's retry budget.
func (r *Router) serve(w http.ResponseWriter, request *http.Request, x *exchange) {
	ctx, cancel := r.callerContext(request)
	defer cancel()
	waiter := r.register(x)
	defer r.unregister(x)
	r.post(func(now time.Duration) {
		r.core.Submit(now, x.coreRequest())
	})
	for {
		d, ok := r.await(ctx, x, waiter)
		if !ok {
			r.endWaiting(w, x)
			return
		}
		if d.refused {
			r.endRefused(w, x, d.refusal)
			return
		}
		answer := r.send(ctx, w, x, d)
		if r.endAttempt(ctx, w, x, answer) {
			return
		}
	}
}

func (x *exchange) coreRequest() qlcore.Request {
	request := qlcore.Request{
		ID:         x.id,
		Customer:   x.customer.ID(),
		Pool:       x.pool.Name(),
		ExternalID: x.externalID,
		CostHint:   x.costHint,
		Key:        x.idempotencyKey,
		Repeatable: x.repeatable,
	}
	if x.idempotencyKey != "" {
		request.BodyHash = x.bodyHash()
	}
	return request
}

// register adds a request to the active ones and returns the channel on which it
// receives its decisions.
func (r *Router) register(x *exchange) chan decision {
	// Room for a decision that has not been read and a refusal after it.
	waiter := make(chan decision, 2)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiters[x.id] = waiter
	r.activeRequests[x.id] = x.externalID
	return waiter
}

func (r *Router) unregister(x *exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.waiters, x.id)
	delete(r.activeRequests, x.id)
}

// await waits for the core's decision. When the context ends first, because the
// caller left or a stop aborts requests, it abandons the request and returns
// false.
func (r *Router) await(ctx context.Context, x *exchange, waiter chan decision) (decision, bool) {
	select {
	case d := <-waiter:
		return d, true
	case <-ctx.Done():
		r.abandon(x)
		return decision{}, false
	}
}

// abandon ends a request in the core, whether it waits there or was started.
func (r *Router) abandon(x *exchange) {
	r.post(func(now time.Duration) {
		r.core.Abandon(now, x.id, !x.maybeSent)
	})
}

// endWaiting answers a request whose context ended while it waited, before the first
// attempt or after a failed one.
func (r *Router) endWaiting(w http.ResponseWriter, x *exchange) {
	if x.maybeSent {
		r.endAbandoned(w, x, 0)
		return
	}
	if r.abortContext.Err() != nil {
		r.refuse(w, x, qlcode.Stopping, 0, "the stop's deadline passed while the request waited")
		return
	}
	r.refuse(w, x, qlcode.CallerLeft, 0, "")
}

// endRefused answers a request that the core refused, before the first attempt or
// after a failed one.
func (r *Router) endRefused(w http.ResponseWriter, x *exchange, refusal qlcore.Refusal) {
	if x.streamBegan {
		// The headers of the stream have been sent, so it can only be broken off.
		r.abortStream(w, x, qlcode.UpstreamCut, "no retry was possible")
		return
	}
	if x.maybeSent {
		// An earlier attempt of this repeatable call may have run.
		r.writeError(w, x, qlcode.UpstreamCut, "tries used up: "+refusal.Code().Name())
		return
	}
	if refusal.Holder() != "" {
		w.Header().Set(_originalHeader, refusal.Holder())
	}
	r.refuse(w, x, refusal.Code(), refusal.RetryAfter(), "")
}

// send makes one attempt at the upstream that the decision names.
func (r *Router) send(ctx context.Context, w http.ResponseWriter, x *exchange, d decision) *qlupstream.Answer {
	x.upstream = d.assignment.Upstream()
	upstream, ok := findUpstream(r.snapshot.Load(), x.upstream)
	if !ok {
		return &qlupstream.Answer{}
	}
	ctx, cancel := context.WithTimeout(ctx, x.pool.Timeout())
	defer cancel()
	call := qlupstream.Call{
		Address:     upstream.Address,
		Method:      x.method,
		Path:        x.path,
		Header:      x.header,
		Body:        x.body,
		RequestID:   x.externalID,
		Repeatable:  x.repeatable,
		InTime:      func() bool { return r.maySend(d) },
		LastEventID: x.lastEventID,
	}
	if x.streamed {
		call.OnEvent = func(event qlupstream.Event) error { return r.forwardEvent(w, x, event) }
	}
	// Should this goroutine panic before the sender returns, the request must
	// count as sent.
	sentBefore := x.maybeSent
	x.maybeSent = true
	answer := r.sender.Do(ctx, call)
	x.maybeSent = sentBefore || answer.Sent()
	return answer
}

// maySend reports whether the grant and the claim are still valid. It is called
// immediately before the first byte is sent, since the process may have been
// paused after it received them.
func (r *Router) maySend(d decision) bool {
	now := r.clock()
	if now > d.assignment.SendBy() {
		return false
	}
	return !d.hasClaim || now < d.claimValidUntil
}

// endAttempt reports the outcome of an attempt to the core and answers the
// caller. It returns false when the request goes back to waiting for another
// attempt.
func (r *Router) endAttempt(ctx context.Context, w http.ResponseWriter, x *exchange, answer *qlupstream.Answer) bool {
	x.lastEventID = max(x.lastEventID, answer.LastEventID())
	contextEnded := ctx.Err() != nil
	switch {
	case answer.Code() == qlcode.Answered:
		r.finish(x, answer.Cost(), outcomeOf(answer))
		r.writeAnswer(w, x, answer)
		return true
	case contextEnded:
		r.finish(x, answer.Cost(), abandonedOutcome(answer))
		r.endAbandoned(w, x, answer.Cost())
		return true
	case !answer.Sent():
		r.retry(x, notSentOutcome(answer))
		return false
	case x.repeatable && answer.Code() != qlcode.UpstreamTimeout:
		r.retry(x, qldispatch.Failed)
		return false
	}
	r.finish(x, answer.Cost(), qldispatch.Failed)
	r.endFailed(w, x, answer)
	return true
}

func outcomeOf(answer *qlupstream.Answer) qldispatch.Outcome {
	if answer.Status() >= http.StatusInternalServerError {
		return qldispatch.Failed
	}
	return qldispatch.Answered
}

func abandonedOutcome(answer *qlupstream.Answer) qldispatch.Outcome {
	if !answer.Sent() {
		return qldispatch.Declined
	}
	return qldispatch.Abandoned
}

func notSentOutcome(answer *qlupstream.Answer) qldispatch.Outcome {
	if answer.Err() == nil || errors.Is(answer.Err(), qlupstream.ErrTooLate) {
		return qldispatch.Declined
	}
	return qldispatch.Unreached
}

func (r *Router) finish(x *exchange, cost float64, outcome qldispatch.Outcome) {
	r.post(func(now time.Duration) {
		r.core.Finish(now, x.id, cost, outcome)
	})
}

func (r *Router) retry(x *exchange, outcome qldispatch.Outcome) {
	r.post(func(now time.Duration) {
		r.core.Retry(now, x.id, outcome)
	})
}

func (r *Router) writeAnswer(w http.ResponseWriter, x *exchange, answer *qlupstream.Answer) {
	r.answeredRequests.Add(1)
	r.logEnd(x, qlcode.Answered, answer.Cost(), "")
	if x.streamBegan {
		w.Header().Set(qlcode.HeaderName, qlcode.Answered.String())
		return
	}
	r.setHeaders(w, x)
	w.Header().Set(qlcode.HeaderName, qlcode.Answered.String())
	if kind := answer.Header().Get("Content-Type"); kind != "" {
		w.Header().Set("Content-Type", kind)
	}
	if size := len(answer.Body()); size > 0 {
		// A caller with HTTP/1.0 sees by it whether the body is complete.
		w.Header().Set("Content-Length", strconv.Itoa(size))
	}
	w.WriteHeader(answer.Status())
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(_writeTimeout))
	_, _ = w.Write(answer.Body())
}

// endAbandoned ends a request whose context ended during an attempt or after one. If a
// stop aborted the request, the caller gets an error; otherwise the caller has left.
func (r *Router) endAbandoned(w http.ResponseWriter, x *exchange, cost float64) {
	if r.abortContext.Err() == nil {
		code := qlcode.CallerLeft
		if x.maybeSent {
			code = qlcode.UpstreamCut
		}
		r.logEnd(x, code, cost, "the caller left")
		panic(http.ErrAbortHandler)
	}
	code := qlcode.Stopping
	if x.maybeSent {
		code = qlcode.StopCut
	}
	if x.streamBegan {
		r.abortStream(w, x, code, "the stop's deadline passed")
		return
	}
	r.writeError(w, x, code, "the stop's deadline passed")
}

// endFailed answers a request whose last attempt failed.
func (r *Router) endFailed(w http.ResponseWriter, x *exchange, answer *qlupstream.Answer) {
	detail := ""
	if answer.Err() != nil {
		detail = answer.Err().Error()
	}
	if x.streamBegan {
		r.abortStream(w, x, answer.Code(), detail)
		return
	}
	r.writeError(w, x, answer.Code(), detail)
}

// forwardEvent writes one event of a stream to the caller. The result code of a
// stream is known only at its end, so it goes into the trailer.
func (r *Router) forwardEvent(w http.ResponseWriter, x *exchange, event qlupstream.Event) error {
	control := http.NewResponseController(w)
	if !x.streamBegan {
		x.streamBegan = true
		r.setHeaders(w, x)
		w.Header().Set("Trailer", qlcode.HeaderName)
		w.Header().Set("Content-Type", _streamContentType)
		w.WriteHeader(http.StatusOK)
	}
	_ = control.SetWriteDeadline(time.Now().Add(_writeTimeout))
	if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", event.Number(), event.Data()); err != nil {
		return err
	}
	if err := control.Flush(); err != nil {
		return err
	}
	if event.Number()%_progressInterval == 0 {
		cost := float64(event.Number())
		r.post(func(now time.Duration) {
			r.core.Progress(now, x.id, cost)
		})
	}
	return nil
}

// _progressInterval is the number of stream events between two reports of the
// cost so far to the core.
const _progressInterval = 16

// abortStream ends an incomplete stream: it writes an error event with the
// reason and aborts the connection, so that the caller cannot mistake the end
// for a regular one.
func (r *Router) abortStream(w http.ResponseWriter, x *exchange, code qlcode.Code, detail string) {
	r.unknownOutcomes.Add(1)
	r.logEnd(x, code, float64(x.lastEventID), detail)
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(_writeTimeout))
	_, _ = io.WriteString(w, fmt.Sprintf("event: error\ndata: {\"code\":%d,\"name\":%q,\"run\":%q}\n\n", code, code.Name(), code.Run()))
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
