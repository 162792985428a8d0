package qlconn

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qlhead"
	"github.com/quetzallane/quetzallane/internal/qlmemory"
)

// Exchange is a request that was sent and its response.
type Exchange struct {
	pool *Pool
	conn *conn
	// stopCancel detaches the exchange from its context; it reports false if
	// the context has already closed the connection.
	stopCancel func() bool
	response   *http.Response
	body       *eofReader
	// holding is what is held of the response, and headBytes the part of its head.
	holding   *qlmemory.Holding
	headBytes int
	// unsent is set if a part of the request was not written. The upstream may still read it, so
	// that no other request may follow on the connection.
	unsent bool
	// writeErr is the error of the connection that ended the writing of the request, if any.
	// The kernel reports it once: later reads may return a plain end.
	writeErr error
}

// Response returns the response. Its body returns io.EOF only after the
// complete body was read.
func (e *Exchange) Response() *http.Response {
	return e.response
}

// Hold accounts for the bytes of the body that the caller holds at present. It returns
// qlmemory.ErrUsedUp if all responses together hold too much: this one has to be given up then.
func (e *Exchange) Hold(size int) error {
	return errors.Trace(e.holding.Set(e.headBytes + size))
}

// SetReadTimeout limits the time until further data is read, counted from now;
// 0 removes the limit.
func (e *Exchange) SetReadTimeout(wait time.Duration) {
	deadline := time.Time{}
	if wait > 0 {
		deadline = time.Now().Add(wait)
	}
	if e.conn.SetReadDeadline(deadline) != nil {
		// The connection is closed; the next read returns an error.
		e.conn.idleTimeout = 0
	}
}

// send writes the request. It does not use net/http's Request.Write, since
// target and body must arrive exactly as the caller sent them.
func (e *Exchange) send(request *Request) error {
	var buffer bytes.Buffer
	buffer.Grow(len(request.Body) + 1024)
	buffer.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	if err := request.Header.Write(&buffer); err != nil {
		return errors.Trace(err)
	}
	if len(request.Body) > 0 || request.Method != http.MethodGet && request.Method != http.MethodHead {
		buffer.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	buffer.WriteString("\r\n")
	buffer.Write(request.Body)
	if err := e.conn.SetWriteDeadline(time.Now().Add(_writeTimeout)); err != nil {
		return errors.Trace(err)
	}
	_, err := e.conn.Write(buffer.Bytes())
	if err == nil {
		return nil
	}
	e.unsent = true
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		e.writeErr = err
	}
	if e.hasEarlyResponse() {
		return nil
	}
	return errors.Trace(err)
}

// hasEarlyResponse reports whether a response has arrived although the request
// could not be written completely: an upstream may refuse a long body before it
// has read all of it.
func (e *Exchange) hasEarlyResponse() bool {
	if err := e.conn.SetReadDeadline(time.Now().Add(_earlyResponseTimeout)); err != nil {
		return false
	}
	_, err := e.conn.reader.Peek(1)
	_ = e.conn.SetReadDeadline(time.Time{})
	return err == nil
}

// _earlyResponseTimeout is how long to wait for a response after a failed
// write.
const _earlyResponseTimeout = 50 * time.Millisecond

// receive reads response heads until one answers the request.
func (e *Exchange) receive(request *Request) error {
	methodOnly := &http.Request{
		Method: request.Method,
	}
	// A reused connection may still have the read deadline of its previous
	// exchange.
	e.SetReadTimeout(request.HeadTimeout)
	defer e.SetReadTimeout(0)
	e.conn.limit.set(_maxHeadBytes, e.holding)
	defer func() { e.headBytes = e.conn.limit.remove() }()
	informational := 0
	for skipped := 0; skipped <= _maxSkippedResponses; {
		response, err := qlhead.ReadResponse(e.conn.reader, methodOnly)
		if err != nil {
			return errors.Trace(err)
		}
		if response.StatusCode < http.StatusOK {
			if informational++; informational > _maxInformationalResponses {
				return errors.Errorf("more than %d informational responses", _maxInformationalResponses)
			}
			continue
		}
		if e.pool.config.Matches(response, request.ID) {
			e.setResponse(response)
			return nil
		}
		skipped++
		if _, err := io.CopyN(io.Discard, response.Body, _maxDrainBytes); err != io.EOF || response.Close {
			break
		}
	}
	return errors.New("received only responses to other requests")
}

// setResponse sets the response, and for how long its connection may be idle
// afterwards.
func (e *Exchange) setResponse(response *http.Response) {
	e.response = response
	e.body = &eofReader{
		ReadCloser: response.Body,
	}
	if EndsWithConnection(response) {
		e.body.connErr = e.writeErr
	}
	response.Body = e.body
	e.conn.idleTimeout = e.pool.config.IdleTimeout
	if stated, ok := keepAliveTimeout(response.Header); ok {
		e.conn.idleTimeout = min(e.conn.idleTimeout, stated-_idleTimeoutMargin)
	}
	if response.Close {
		e.conn.idleTimeout = 0
	}
}

// keepAliveTimeout returns how long the upstream keeps idle connections
// according to its Keep-Alive header.
func keepAliveTimeout(header http.Header) (time.Duration, bool) {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if strings.EqualFold(name, "timeout") {
			seconds, err := strconv.ParseFloat(value, 64)
			return time.Duration(seconds * float64(time.Second)), err == nil
		}
	}
	return 0, false
}

// Close ends the exchange. The connection is kept if the body was read
// completely; otherwise it is closed, which cancels the request at the
// upstream.
func (e *Exchange) Close() {
	if e.conn == nil {
		return
	}
	c := e.conn
	e.conn = nil
	e.holding.Release()
	notCanceled := e.stopCancel()
	if notCanceled && !e.unsent && e.body != nil && e.body.reachedEOF && c.idleTimeout > 0 && c.reader.Buffered() == 0 {
		e.pool.putIdle(c)
		return
	}
	e.pool.discard(c)
}

// EndsWithConnection reports whether only the end of its connection shows that a response
// has ended.
func EndsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Request.Method != http.MethodHead
}

// eofReader records whether a body was read completely.
type eofReader struct {
	io.ReadCloser
	// connErr is an earlier error of the connection whose end is that of the body, if any. The
	// body is then not complete.
	connErr    error
	reachedEOF bool
}

// Read implements io.Reader.
func (r *eofReader) Read(p []byte) (int, error) {
	n, err := r.ReadCloser.Read(p)
	if err == io.EOF && r.connErr != nil {
		return n, errors.Annotate(r.connErr, "the connection that ends the answer has failed")
	}
	if err == io.EOF {
		r.reachedEOF = true
	}
	return n, err
}
