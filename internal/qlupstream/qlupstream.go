// Package qlupstream sends a request to an upstream, at most once unless the call
// is repeatable, and reports whether it was sent and whether a complete answer to
// it came back.
//
// # At most one send
//
// http.Transport sends a request again by itself when a reused connection
// breaks and it considers the request replayable; an Idempotency-Key header
// makes even a POST replayable. Calls that may not be repeated are therefore
// sent on a new connection each, where the transport never does this, and their
// body cannot be rewound. This package calls the transport directly, so
// redirects aren't followed either.
//
// # Verified answers
//
// The upstream must echo the request id in X-Request-Id; an answer with another
// id belongs to another request and closes the connection. An answer must have
// a Content-Length, chunked encoding or an end event, so that a broken
// connection cannot pass for its end. A stream's events are numbered and are
// passed on in order without gaps.
//
// # Usage
//
//	sender := qlupstream.New(qlupstream.Config{MaxAnswerBytes: 8 << 20})
//	answer := sender.Do(ctx, call)
//	if answer.Sent() { ... }
package qlupstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qlhead"
	"github.com/quetzallane/quetzallane/pkg/qlcode"
)

const (
	// RequestIDHeader carries the request id, which the upstream echoes.
	RequestIDHeader = "X-Request-Id"
	// LastEventHeader asks an engine to resume a stream after an event.
	LastEventHeader = "Last-Event-ID"
	// CostHeader carries the cost of an answer, if the upstream states it.
	CostHeader          = "X-Cost"
	_dialTimeout        = 3 * time.Second
	_maxIdleConnections = 32
	_idleTimeout        = 60 * time.Second
)

// ErrTooLate is the cause when a request was not sent because the grant of its
// slot or the claim on its idempotency key had expired.
const ErrTooLate = errors.ConstError("too late to send")

// Config configures a Sender.
type Config struct {
	// MaxAnswerBytes is the longest body accepted of an answer that is not
	// streamed. A longer one is an error.
	MaxAnswerBytes int64
}

// Call is one request to send.
type Call struct {
	Address    string
	Method     string
	Path       string
	Header     http.Header
	Body       []byte
	RequestID  string
	Repeatable bool
	// InTime reports whether the request may still be sent. It is called before
	// a connection is requested, and again when a new one has been made. Nil
	// means always.
	InTime func() bool
	// LastEventID is the number of the last event that the caller has received,
	// when a stream is resumed; otherwise 0.
	LastEventID int
	// OnEvent is called with each event of a stream, in order; an error ends the
	// call. If nil, a streamed answer is read as a whole.
	OnEvent func(Event) error
}

// Answer is the outcome of a call: the upstream's answer or the cause of the
// failure.
type Answer struct {
	code        qlcode.Code
	sent        bool
	status      int
	header      http.Header
	body        []byte
	cost        float64
	lastEventID int
	err         error
}

// Code returns the result code.
func (a *Answer) Code() qlcode.Code {
	return a.code
}

// Sent reports whether a byte may have reached the upstream.
func (a *Answer) Sent() bool {
	return a.sent
}

// Status returns the upstream's HTTP status.
func (a *Answer) Status() int {
	return a.status
}

// Header returns the upstream's headers.
func (a *Answer) Header() http.Header {
	return a.header
}

// Body returns the whole body of an answer that was not streamed.
func (a *Answer) Body() []byte {
	return a.body
}

// Cost returns the cost in the pool's unit, as far as it is known: of a stream
// that broke off, it is the cost of the events received.
func (a *Answer) Cost() float64 {
	return a.cost
}

// LastEventID returns the number of the last event of a stream that was passed
// to OnEvent, or Call.LastEventID if the stream brought no new event. It is 0 if
// no stream was received.
func (a *Answer) LastEventID() int {
	return a.lastEventID
}

// Err returns the cause of a failure, for logs and the details of error bodies.
func (a *Answer) Err() error {
	return a.err
}

// Sender sends calls. It is safe for use by several goroutines.
type Sender struct {
	config Config
	// pooled reuses connections; it carries repeatable calls.
	pooled *qlhead.Transport
	// unpooled makes a new connection for each call.
	unpooled *qlhead.Transport
}

// New returns a sender.
func New(config Config) *Sender {
	return &Sender{
		config:   config,
		pooled:   newTransport(false),
		unpooled: newTransport(true),
	}
}

func newTransport(disableReuse bool) *qlhead.Transport {
	return qlhead.NewTransport(&http.Transport{
		DialContext:            dial,
		DisableKeepAlives:      disableReuse,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    _maxIdleConnections,
		IdleConnTimeout:        _idleTimeout,
		ForceAttemptHTTP2:      false,
		MaxResponseHeaderBytes: 1 << 16,
	})
}

// inTimeKey is the context key of Call.InTime.
type inTimeKey struct{}

// dial makes a connection, and then checks InTime again, since making it may
// have taken long.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: _dialTimeout,
	}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if inTime, ok := ctx.Value(inTimeKey{}).(func() bool); ok && !inTime() {
		_ = conn.Close()
		return nil, ErrTooLate
	}
	return conn, nil
}

// Do sends the call and returns when its answer has ended. Only a repeatable call
// without a body may be sent again by the transport, when a reused connection
// breaks.
func (s *Sender) Do(ctx context.Context, call Call) *Answer {
	// Returning before the end of the answer must end the upstream's work, so the
	// request's context is cancelled with this function's return.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var sent atomic.Bool
	request, err := newRequest(ctx, call, &sent)
	if err != nil {
		return &Answer{
			code: qlcode.BadRequest,
			err:  err,
		}
	}
	if call.InTime != nil && !call.InTime() {
		return notSent(ErrTooLate)
	}
	transport := s.unpooled
	if call.Repeatable {
		transport = s.pooled
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		if !sent.Load() {
			return notSent(err)
		}
		return failed(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	return s.read(ctx, call, response)
}

func newRequest(ctx context.Context, call Call, sent *atomic.Bool) (*http.Request, error) {
	if call.InTime != nil {
		ctx = context.WithValue(ctx, inTimeKey{}, call.InTime)
	}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		// From here on the transport may send bytes at any time.
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	// The reader is wrapped so that the transport cannot rewind it to send the
	// request again.
	body := io.NopCloser(io.MultiReader(bytes.NewReader(call.Body)))
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+call.Address+call.Path, body)
	if err != nil {
		return nil, errors.Trace(err)
	}
	request.GetBody = nil
	request.ContentLength = int64(len(call.Body))
	if len(call.Body) == 0 && call.Repeatable {
		request.Body = http.NoBody
	}
	for name, values := range call.Header {
		request.Header[name] = values
	}
	request.Header.Set(RequestIDHeader, call.RequestID)
	if call.LastEventID > 0 {
		request.Header.Set(LastEventHeader, strconv.Itoa(call.LastEventID))
	}
	return request, nil
}

func notSent(err error) *Answer {
	return &Answer{
		code: qlcode.UpstreamUnreached,
		err:  err,
	}
}

func failed(ctx context.Context, err error) *Answer {
	code := qlcode.UpstreamCut
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		code = qlcode.UpstreamTimeout
	}
	return &Answer{
		code: code,
		sent: true,
		err:  err,
	}
}

func (s *Sender) read(ctx context.Context, call Call, response *http.Response) *Answer {
	if echoed := response.Header.Get(RequestIDHeader); echoed != call.RequestID {
		return &Answer{
			code: qlcode.AnswerCrossed,
			sent: true,
			err:  errors.Errorf("asked as %q, answered as %q", call.RequestID, echoed),
		}
	}
	if call.OnEvent != nil && response.Header.Get("Content-Type") == "text/event-stream" {
		return readStream(ctx, call, response)
	}
	return s.readWhole(ctx, response)
}

func (s *Sender) readWhole(ctx context.Context, response *http.Response) *Answer {
	chunked := len(response.TransferEncoding) > 0
	if response.ContentLength < 0 && !chunked {
		return unverified("it has neither length nor chunks")
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, s.config.MaxAnswerBytes+1))
	if err != nil {
		return failed(ctx, err)
	}
	if int64(len(body)) > s.config.MaxAnswerBytes {
		return unverified("it exceeds max-answer")
	}
	return &Answer{
		code:   qlcode.Answered,
		sent:   true,
		status: response.StatusCode,
		header: response.Header,
		body:   body,
		cost:   costOf(response.Header, body),
	}
}

func unverified(reason string) *Answer {
	return &Answer{
		code: qlcode.AnswerUnverified,
		sent: true,
		err:  errors.New(reason),
	}
}
