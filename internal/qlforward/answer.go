package qlforward

import (
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
	if answer.Unreadable != nil {
		f.config.Log.Info("header-unreadable", zap.String("id", x.caller.ID), zap.String("from", "upstream"),
			zap.Error(answer.Unreadable))
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
	header.Set("Content-Type", "text/plain; charset=utf-8")
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
// connection that no server reads.
func RawRefusal() string {
	code := qlcode.RouterOverloaded
	body := code.Title() + "\n"
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %d\r\nRetry-After: %.3f\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		code.HTTPStatus(), http.StatusText(code.HTTPStatus()), _resultHeader, int(code), _rejectedRetry.Seconds(), len(body), body)
}
