package qlforward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/pkg/qlcode"
	"go.uber.org/zap"
)

// endFault ends a request whose handling panicked; no other is touched.
func (f *Forwarder) endFault(x *exchange) {
	cause := recover()
	if cause == nil {
		return
	}
	if cause == http.ErrAbortHandler || x.began {
		panic(http.ErrAbortHandler)
	}
	f.config.Log.Error("request-panicked", zap.String("request", x.caller.ID), zap.Any("cause", cause), zap.Stack("stack"))
	code := qlcode.RouterFault
	if x.sent {
		code = qlcode.RouterFaultSent
	}
	f.fail(x, code, fmt.Sprint(cause))
}

// readAnswer reads what an upstream's response says beside status and body.
func (f *Forwarder) readAnswer(x *exchange, response *http.Response) Answer {
	answer := f.config.Dialect.ReadAnswer(response)
	if answer.LoadError != nil {
		f.config.Log.Info("header-unreadable", zap.String("id", x.caller.ID), zap.String("from", "upstream"),
			zap.Error(answer.LoadError))
	}
	return answer
}

// refuse answers a request that has certainly not run, with a status that says
// so.
func (f *Forwarder) refuse(x *exchange, code qlcode.Code, retryAfter time.Duration, cause string) {
	status := http.StatusServiceUnavailable
	if code.HTTPStatus() == http.StatusTooManyRequests {
		status = http.StatusTooManyRequests
	}
	x.w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	f.answerCode(x, code, status, cause)
}

// fail answers with an error of the router's own.
func (f *Forwarder) fail(x *exchange, code qlcode.Code, cause string) {
	f.answerCode(x, code, code.HTTPStatus(), cause)
}

func (f *Forwarder) answerCode(x *exchange, code qlcode.Code, status int, cause string) {
	x.cause = cause
	f.ended(x, code, status)
	if x.callerGone() {
		return
	}
	header := x.w.Header()
	header.Set(_resultHeader, strconv.Itoa(int(code)))
	header.Set("Content-Type", _plainText)
	x.w.WriteHeader(status)
	if _, err := io.WriteString(x.w, code.Title()+"\n"); err != nil {
		f.config.Log.Debug("answer-not-written", zap.String("request", x.caller.ID), zap.Error(err))
	}
}

// unknown answers a request that may have run and has no whole answer.
func (f *Forwarder) unknown(x *exchange, err error) {
	code := qlcode.UpstreamCut
	if x.left() <= 0 {
		code = qlcode.UpstreamTimeout
	}
	f.fail(x, code, errors.Cause(err).Error())
}

// RawRefusal returns the answer of an overloaded router as it is written to a
// connection that no server reads, and is closed then.
func RawRefusal() []byte {
	return rawRefusal(_rejectedRetry, true)
}

func rawRefusal(retryAfter time.Duration, closes bool) []byte {
	code := qlcode.RouterOverloaded
	body, connection := code.Title()+"\n", ""
	if closes {
		connection = "Connection: close\r\n"
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%s: %d\r\nContent-Type: %s\r\nRetry-After: %.3f\r\n%sContent-Length: %d\r\n\r\n%s",
		code.HTTPStatus(), http.StatusText(code.HTTPStatus()), _resultHeader, int(code), _plainText, retryAfter.Seconds(), connection, len(body), body)
}

// RefuseHead returns the answer to a request of which only the head was read,
// if this VM has no room for it, and whether the connection is to be closed.
func (f *Forwarder) RefuseHead(get func(name string) string) (answer []byte, closes bool) {
	view := f.view.Load()
	if view == nil {
		return nil, false
	}
	x := &exchange{
		start: time.Now(),
	}
	x.caller.ID, x.caller.Key = f.config.Dialect.ReadHead(get)
	x.setCustomer(view)
	if f.config.Admit(context.Background(), x.customer) {
		return nil, false
	}
	retryAfter, closes := f.config.Backoff()
	closes = closes || f.closesConnections()
	x.cause = _overloadedCause
	f.ended(x, qlcode.RouterOverloaded, qlcode.RouterOverloaded.HTTPStatus())
	return rawRefusal(retryAfter, closes), closes
}

const (
	_plainText       = "text/plain; charset=utf-8"
	_overloadedCause = "the processor is overloaded"
)
