package qlforward

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/quetzallane/quetzallane/internal/qloffload"
	"github.com/quetzallane/quetzallane/internal/qloutcome"
	"github.com/quetzallane/quetzallane/internal/qlroute"
	"github.com/quetzallane/quetzallane/pkg/qlcode"
	"go.uber.org/zap"
)

// recoverPanic recovers from a panic in the handling of a request and answers
// with an error; other requests are not affected. If part of a stream was
// already written, or the handling aborted the response itself, it aborts the
// response. It must be deferred directly.
func (f *Forwarder) recoverPanic(x *exchange) {
	cause := recover()
	if cause == nil {
		return
	}
	if cause == http.ErrAbortHandler {
		panic(http.ErrAbortHandler)
	}
	f.config.Log.Error("request-panicked", zap.String("request", x.caller.ID), zap.Any("cause", cause), zap.Stack("stack"))
	if x.streamStarted {
		f.resetOldCaller(x)
		panic(http.ErrAbortHandler)
	}
	code := qlcode.RouterFault
	if x.sent {
		code = qlcode.RouterFaultSent
	}
	f.fail(x, code, fmt.Sprint(cause))
}

// readAnswer parses the headers of an upstream's response and logs the error of
// a header that is invalid.
func (f *Forwarder) readAnswer(x *exchange, response *http.Response) Answer {
	answer := f.config.Dialect.ReadAnswer(response)
	if answer.LoadError != nil {
		f.config.Log.Info("header-unreadable", zap.String("id", x.caller.ID), zap.String("from", "upstream"),
			zap.Error(answer.LoadError))
	}
	f.recordPace(x, answer)
	f.recordPause(x, answer)
	return answer
}

// refuse answers a request that has certainly not run, with status 429 or 503
// and a Retry-After.
func (f *Forwarder) refuse(x *exchange, code qlcode.Code, retryAfter time.Duration, cause string) {
	status := http.StatusServiceUnavailable
	if code.HTTPStatus() == http.StatusTooManyRequests {
		status = http.StatusTooManyRequests
	}
	x.w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	f.writeResult(x, code, status, cause)
}

// recordOverShare tells the router that the caller has connected to that the owner has
// refused the request since its customer is above its share.
func (f *Forwarder) recordOverShare(x *exchange) {
	if origin, ok := qloffload.OriginOf(x.request.Context()); ok {
		origin.SetOverShare()
		return
	}
	f.config.OnOverShare(x.request.Context(), x.service.Name(), x.customer)
}

// fail answers with an error that the router itself generated.
func (f *Forwarder) fail(x *exchange, code qlcode.Code, cause string) {
	f.writeResult(x, code, code.HTTPStatus(), cause)
}

// writeResult records the end of the request and writes the result code to the
// caller.
func (f *Forwarder) writeResult(x *exchange, code qlcode.Code, status int, cause string) {
	x.cause = cause
	f.recordEnd(x, code, status)
	f.writeCode(x, code, status)
}

// writeCode writes a result code to the caller.
func (f *Forwarder) writeCode(x *exchange, code qlcode.Code, status int) {
	header := x.w.Header()
	if f.closesConnections() {
		header.Set("Connection", "close")
	}
	header.Set(_resultHeader, strconv.Itoa(int(code)))
	header.Set("Content-Type", _plainText)
	x.w.WriteHeader(status)
	if _, err := io.WriteString(x.w, code.Title()+"\n"); err != nil {
		f.config.Log.Debug("answer-not-written", zap.String("request", x.caller.ID), zap.Error(err))
	}
}

// RawRefusal returns the bytes of an overloaded router's response, for a
// connection that no HTTP server reads and that is closed after the response.
func (f *Forwarder) RawRefusal() []byte {
	f.config.Outcomes.Add("", qloutcome.RejectedAnswered)
	retryAfter, _ := f.config.Backoff()
	return rawRefusal(qlcode.RouterOverloaded, max(retryAfter, _rejectedRetry), true)
}

// rawRefusal returns the bytes of the answer to a request that is refused with the code;
// closeConnection adds a header that asks the caller to close the connection.
func rawRefusal(code qlcode.Code, retryAfter time.Duration, closeConnection bool) []byte {
	return rawResult(code, code.HTTPStatus(), fmt.Sprintf("Retry-After: %.3f\r\n", retryAfter.Seconds()), closeConnection)
}

// RawUnknownOutcome returns the bytes of the response to a request that another router has
// taken without an answer.
func (f *Forwarder) RawUnknownOutcome() []byte {
	code, status := qlcode.UpstreamCut, qlcode.UpstreamCut.HTTPStatus()
	if f.isCut() {
		code, status = qlcode.StopCut, http.StatusGatewayTimeout
	}
	return rawResult(code, status, "", f.closesConnections())
}

// RawTimedOut returns the bytes of the response to a request that another router has taken and
// not answered within its time limit.
func (f *Forwarder) RawTimedOut() []byte {
	return rawResult(qlcode.UpstreamTimeout, qlcode.UpstreamTimeout.HTTPStatus(), "", f.closesConnections())
}

// OffloadTimeLimit returns for how long to wait for another router's answer to a request with
// this head, of which the target is that of the request line. It is longer than that router
// itself waits for an upstream.
func (f *Forwarder) OffloadTimeLimit(target string, get func(name string) string) time.Duration {
	var route *qlroute.Route
	if view := f.view.Load(); view != nil {
		path, _, _ := strings.Cut(target, "?")
		route = view.table.Match(get("Host"), path)
	}
	limit := timeLimit(f.config.Dialect.ReadTimeout(get), route)
	return max(limit+_offloadGrace-f.config.ReadDelay(), time.Millisecond)
}

// rawResult returns the bytes of a response with a result code and further header lines.
func rawResult(code qlcode.Code, status int, header string, closeConnection bool) []byte {
	body := code.Title() + "\n"
	if closeConnection {
		header += "Connection: close\r\n"
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%s: %d\r\nContent-Type: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), _resultHeader, int(code), _plainText, header, len(body), body)
}

// RefuseHead refuses a request of which only the head has been read, for lack of processor
// time. It returns the bytes of the answer, and whether the connection is to be closed after
// it; closing is set if it is closed in any case. The function get returns the value of a
// header field.
func (f *Forwarder) RefuseHead(get func(name string) string, closing bool) (answer []byte, closeConnection bool) {
	retryAfter, closeConnection := f.config.Backoff()
	return f.refuseHead(get, qlcode.RouterOverloaded, retryAfter, closing || closeConnection)
}

// RefuseShareHead refuses a request of which only the head has been read, since its customer
// is above its share; otherwise it is as RefuseHead.
func (f *Forwarder) RefuseShareHead(get func(name string) string, retryAfter time.Duration, closing bool) (answer []byte, closeConnection bool) {
	_, closeConnection = f.config.Backoff()
	return f.refuseHead(get, qlcode.OverShare, retryAfter, closing || closeConnection)
}

func (f *Forwarder) refuseHead(get func(name string) string, code qlcode.Code, retryAfter time.Duration, closeConnection bool) ([]byte, bool) {
	x := &exchange{
		start: time.Now(),
		cause: code.Title(),
	}
	x.caller.ID, x.caller.Key = f.config.Dialect.ReadHead(get)
	if view := f.view.Load(); view != nil {
		x.setCustomer(view)
	}
	closeConnection = closeConnection || f.closesConnections()
	f.recordEnd(x, code, code.HTTPStatus())
	return rawRefusal(code, retryAfter, closeConnection), closeConnection
}

// ServiceOf returns the service of engines that a request with this head is for, or "" if it
// is for none. The target is that of the request line; the function get returns the value of
// a header field.
func (f *Forwarder) ServiceOf(target string, get func(name string) string) string {
	view := f.view.Load()
	if view == nil {
		return ""
	}
	path, _, _ := strings.Cut(target, "?")
	route := view.table.Match(get("Host"), path)
	if route == nil {
		return ""
	}
	id, _ := f.config.Dialect.ReadHead(get)
	service := view.table.Service(route.Target(xxhash.Sum64String(id)))
	if service == nil || service.Engine() == nil {
		return ""
	}
	return service.Name()
}

// CustomerOf returns the customer who holds the key in the head of a request, or "". The
// function get returns the value of a header field.
func (f *Forwarder) CustomerOf(get func(name string) string) string {
	view := f.view.Load()
	if view == nil {
		return ""
	}
	x := &exchange{}
	_, x.caller.Key = f.config.Dialect.ReadHead(get)
	x.setCustomer(view)
	return x.customer
}

const (
	_plainText       = "text/plain; charset=utf-8"
	_overloadedCause = "the processor is overloaded"
)
