package qlrouter

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qlcore"
	"github.com/quetzallane/quetzallane/internal/qldispatch"
	"github.com/quetzallane/quetzallane/internal/qlupstream"
	"github.com/quetzallane/quetzallane/pkg/qlcode"
)

// serve takes a request through its tries: wait for a slot, send, answer. A
// try that was certainly not sent goes back to waiting, and so does a failed
// one of a repeatable call, each within the customer's retry budget.
func (r *Router) serve(w http.ResponseWriter, request *http.Request, x *exchange) {
	ctx, cancel := r.callerContext(request)
	defer cancel()
	waiter := r.enter(x)
	defer r.leave(x)
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
		if r.conclude(ctx, w, x, answer) {
			return
		}
	}
}

func (x *exchange) coreRequest() qlcore.Request {
	request := qlcore.Request{
		ID:         x.id,
		Customer:   x.customer.ID(),
		Pool:       x.pool.Name(),
		ExternalID: x.name,
		CostHint:   x.hint,
		Key:        x.key,
		Repeatable: x.repeatable,
	}
	if x.key != "" {
		request.BodyHash = x.bodyHash()
	}
	return request
}

func (r *Router) enter(x *exchange) chan decision {
	// One for a decision in flight and one for a refusal after it.
	waiter := make(chan decision, 2)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiters[x.id] = waiter
	r.unended[x.id] = x.name
	return waiter
}

func (r *Router) leave(x *exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.waiters, x.id)
	delete(r.unended, x.id)
}

// await waits for the core's decision. When the caller leaves first, the
// request is cancelled, unless it was started in the same moment.
func (r *Router) await(ctx context.Context, x *exchange, waiter chan decision) (decision, bool) {
	select {
	case d := <-waiter:
		return d, true
	case <-ctx.Done():
		r.abandon(x)
		return decision{}, false
	}
}

// abandon ends a request that was not sent, whatever its state in the core.
func (r *Router) abandon(x *exchange) {
	r.post(func(now time.Duration) {
		r.core.Abandon(now, x.id, !x.sent)
	})
}

func (r *Router) endWaiting(w http.ResponseWriter, x *exchange) {
	if r.cut.Err() != nil {
		r.refuse(w, x, qlcode.Stopping, 0, "the stop's deadline passed while the request waited")
		return
	}
	r.refuse(w, x, qlcode.CallerLeft, 0, "")
}

func (r *Router) endRefused(w http.ResponseWriter, x *exchange, refusal qlcore.Refusal) {
	if x.began {
		// A stream that began cannot be refused any more; it is cut.
		r.cutStream(w, x, qlcode.UpstreamCut, "no retry was possible")
		return
	}
	if x.sent {
		// An earlier try of this repeatable call may have run.
		r.writeError(w, x, qlcode.UpstreamCut, "tries used up: "+refusal.Code().Name())
		return
	}
	if refusal.Holder() != "" {
		w.Header().Set(_originalHeader, refusal.Holder())
	}
	r.refuse(w, x, refusal.Code(), refusal.RetryAfter(), "")
}

// send makes one try.
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
		RequestID:   x.name,
		Repeatable:  x.repeatable,
		InTime:      func() bool { return r.inTime(d) },
		LastEventID: x.last,
	}
	if x.stream {
		call.OnEvent = func(event qlupstream.Event) error { return r.passEvent(w, x, event) }
	}
	// Until the sender says otherwise the request counts as sent, should
	// this goroutine panic meanwhile.
	before := x.sent
	x.sent = true
	answer := r.sender.Do(ctx, call)
	x.sent = before || answer.Sent()
	return answer
}

// inTime is asked in the step before the first byte: the grant and the claim
// must still hold, also when this process was paused since it got them.
func (r *Router) inTime(d decision) bool {
	now := r.clock()
	if now > d.assignment.SendBy() {
		return false
	}
	return !d.claimed || now < d.goodUntil
}

// conclude tells the core how a try ended and answers the caller; it returns
// false when the request is to be tried again.
func (r *Router) conclude(ctx context.Context, w http.ResponseWriter, x *exchange, answer *qlupstream.Answer) bool {
	x.last = max(x.last, answer.LastEventID())
	callerGone := ctx.Err() != nil
	switch {
	case answer.Code() == qlcode.Answered:
		r.finish(x, answer.Cost(), outcomeOf(answer))
		r.answer(w, x, answer)
		return true
	case callerGone:
		r.finish(x, answer.Cost(), abandonedOutcome(answer))
		r.endGone(w, x, answer)
		return true
	case !answer.Sent():
		r.retry(x, unsentOutcome(answer))
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

func unsentOutcome(answer *qlupstream.Answer) qldispatch.Outcome {
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

func (r *Router) answer(w http.ResponseWriter, x *exchange, answer *qlupstream.Answer) {
	r.answered.Add(1)
	r.logEnd(x, qlcode.Answered, answer.Cost(), "")
	if x.began {
		w.Header().Set(qlcode.HeaderName, qlcode.Answered.String())
		return
	}
	r.setHeaders(w, x)
	w.Header().Set(qlcode.HeaderName, qlcode.Answered.String())
	if kind := answer.Header().Get("Content-Type"); kind != "" {
		w.Header().Set("Content-Type", kind)
	}
	w.WriteHeader(answer.Status())
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(_writeTimeout))
	_, _ = w.Write(answer.Body())
}

func (r *Router) endGone(w http.ResponseWriter, x *exchange, answer *qlupstream.Answer) {
	if r.cut.Err() == nil {
		code := qlcode.CallerLeft
		if x.sent {
			code = qlcode.UpstreamCut
		}
		r.logEnd(x, code, answer.Cost(), "the caller left")
		panic(http.ErrAbortHandler)
	}
	code := qlcode.Stopping
	if x.sent {
		code = qlcode.StopCut
	}
	if x.began {
		r.cutStream(w, x, code, "the stop's deadline passed")
		return
	}
	r.writeError(w, x, code, "the stop's deadline passed")
}

func (r *Router) endFailed(w http.ResponseWriter, x *exchange, answer *qlupstream.Answer) {
	detail := ""
	if answer.Err() != nil {
		detail = answer.Err().Error()
	}
	if x.began {
		r.cutStream(w, x, answer.Code(), detail)
		return
	}
	r.writeError(w, x, answer.Code(), detail)
}

// passEvent passes one event of a stream on. The result code of a stream is
// known only at its end and so goes into the trailer.
func (r *Router) passEvent(w http.ResponseWriter, x *exchange, event qlupstream.Event) error {
	control := http.NewResponseController(w)
	if !x.began {
		x.began = true
		r.setHeaders(w, x)
		w.Header().Set("Trailer", qlcode.HeaderName)
		w.Header().Set("Content-Type", _streamContent)
		w.WriteHeader(http.StatusOK)
	}
	_ = control.SetWriteDeadline(time.Now().Add(_writeTimeout))
	if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", event.Number(), event.Data()); err != nil {
		return err
	}
	if err := control.Flush(); err != nil {
		return err
	}
	if event.Number()%_progressEvents == 0 {
		cost := float64(event.Number())
		r.post(func(now time.Duration) {
			r.core.Progress(now, x.id, cost)
		})
	}
	return nil
}

// _progressEvents is how often a stream's cost so far is noted.
const _progressEvents = 16

// cutStream ends a stream that is not whole: an error event says why, and
// the connection is broken, so that it cannot be taken for a good end.
func (r *Router) cutStream(w http.ResponseWriter, x *exchange, code qlcode.Code, detail string) {
	r.unknown.Add(1)
	r.logEnd(x, code, float64(x.last), detail)
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(_writeTimeout))
	_, _ = io.WriteString(w, fmt.Sprintf("event: error\ndata: {\"code\":%d,\"name\":%q,\"run\":%q}\n\n", code, code.Name(), code.Run()))
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
