// Package qlupstream sends a request to an upstream once and says truly what
// became of it.
//
// # Why nothing is sent twice
//
// http.Transport sends a request again by itself when a reused connection
// breaks and it calls the request replayable; an Idempotency-Key header makes
// it call even a POST so. Unrepeatable calls therefore go out on a connection
// of their own, on which the transport never does that, and their body cannot
// be rewound. The calls of this package use the transport directly, so no
// redirect is followed either.
//
// # Why an answer is whole and the caller's own
//
// The upstream echoes the request id in X-Request-Id; another id closes the
// connection. An answer must have a length, chunks or an end event. A stream's
// events are numbered, and each is passed on only in order.
//
// # Usage
//
//	sender := qlupstream.New(qlupstream.Config{MaxAnswer: 8 << 20})
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
	"github.com/quetzallane/quetzallane/pkg/qlcode"
)

const (
	// RequestIDHeader carries the request id, which the upstream echoes.
	RequestIDHeader = "X-Request-Id"
	// LastEventHeader asks an engine to resume a stream after an event.
	LastEventHeader = "Last-Event-ID"
	// CostHeader carries the cost of a service's answer, if it says it.
	CostHeader       = "X-Cost"
	_dialTimeout     = 3 * time.Second
	_idleConnections = 32
	_idleTimeout     = 60 * time.Second
)

// ErrTooLate is the cause when a request was not sent because its time was
// up: the grant of its slot, or the claim on its key.
const ErrTooLate = errors.ConstError("too late to send")

// Config configures a Sender.
type Config struct {
	// MaxAnswer bounds an answer that is not streamed, in bytes.
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
	// InTime is asked in the step before the first byte is sent.
	InTime func() bool
	// After is the last event that the caller has, when a stream is resumed.
	LastEventID int
	// Event passes a stream's event on, in order; nil for other answers.
	OnEvent func(Event) error
}

// Answer is what became of a call.
type Answer struct {
	code   qlcode.Code
	sent   bool
	status int
	header http.Header
	body   []byte
	cost   float64
	last   int
	err    error
}

// Code returns the result.
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

// Cost returns the cost in the pool's unit, as far as it is known.
func (a *Answer) Cost() float64 {
	return a.cost
}

// LastEventID returns the last event passed on of a stream.
func (a *Answer) LastEventID() int {
	return a.last
}

// Err returns the cause of a failure, for logs.
func (a *Answer) Err() error {
	return a.err
}

// Sender sends calls. It is safe for several goroutines.
type Sender struct {
	config Config
	reused *http.Transport
	single *http.Transport
}

// New returns a sender.
func New(config Config) *Sender {
	return &Sender{
		config: config,
		reused: newTransport(false),
		single: newTransport(true),
	}
}

func newTransport(single bool) *http.Transport {
	return &http.Transport{
		DialContext:            dial,
		DisableKeepAlives:      single,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    _idleConnections,
		IdleConnTimeout:        _idleTimeout,
		ForceAttemptHTTP2:      false,
		MaxResponseHeaderBytes: 1 << 16,
	}
}

type inTimeKey struct{}

// dial checks the time once more when the connection stands, since making
// it may have taken long.
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

// Do sends the call once and returns when its answer has ended.
func (s *Sender) Do(ctx context.Context, call Call) *Answer {
	// Leaving before the answer is whole must end the work upstream, so the
	// request dies with this function.
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
	transport := s.single
	if call.Repeatable {
		transport = s.reused
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
		// From here on a byte may leave at any time.
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	// The reader is wrapped so that the transport cannot rewind it.
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
