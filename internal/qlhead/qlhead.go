// Package qlhead reads HTTP/1.1 messages that other processes send, and returns an error for a
// malformed head.
//
// net/http is more lenient, except in its server:
//
//   - It accepts names of fields and trailers that contain spaces, and does not know these fields:
//     the body of a response with "Transfer-Encoding : chunked" then holds the framing of its
//     chunks, too. A proxy may remove a space before the colon (RFC 9112, section 5.1), but an
//     upstream that sends one may have sent anything else in the wrong place.
//   - It accepts each number of three characters as a status code, also 000, +20 and 600, and
//     the status code 101 though no request asks for another protocol.
//   - It removes a Transfer-Encoding from a message with HTTP/1.0, which has no such codings. The
//     body of a response then holds the framing of its chunks.
//
// # Usage
//
//	response, err := qlhead.ReadResponse(reader, request)
//
//	client := &http.Client{Transport: qlhead.DefaultTransport()}
package qlhead

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"sync"

	"github.com/juju/errors"
)

// The range of valid status codes (RFC 9110, section 15).
const (
	_minStatusCode = 100
	_maxStatusCode = 599
)

// ReadResponse is as http.ReadResponse, but that the connection of a response with HTTP/1.0 cannot
// be used again. After an error, nothing more can be read from the reader.
func ReadResponse(reader *bufio.Reader, request *http.Request) (*http.Response, error) {
	version, err := reader.Peek(len("HTTP/1.1"))
	if err != nil {
		return nil, errors.Trace(unexpected(err))
	}
	read := http.ReadResponse
	if isOldVersion(version) {
		read = readOldResponse
	}
	response, err := read(reader, request)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if err := checkResponse(response); err != nil {
		return nil, errors.Trace(err)
	}
	checkTrailersAtEnd(response)
	return response, nil
}

// readOldResponse reads a response with HTTP/1.0 or older. One with a Transfer-Encoding is
// malformed: the end of its body is not known (RFC 9112, section 6.1).
func readOldResponse(reader *bufio.Reader, request *http.Request) (*http.Response, error) {
	var text bytes.Buffer
	for isEnd := false; !isEnd; {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			return nil, errors.Trace(unexpected(err))
		}
		if isTransferEncoding(line) {
			return nil, errors.Trace(errOldCoding)
		}
		text.Write(line)
		isEnd = isEndOfHead(line)
	}
	response, err := http.ReadResponse(bufio.NewReader(io.MultiReader(&text, reader)), request)
	if err != nil {
		return nil, errors.Trace(err)
	}
	// The new reader may have buffered bytes that follow the body.
	response.Close = true
	return response, nil
}

// unexpected returns the error of a message that ends within its head.
func unexpected(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// ReadRequest is as http.ReadRequest. After an error, nothing more can be read from the reader.
func ReadRequest(reader *bufio.Reader) (*http.Request, error) {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if err := checkFieldNames(request.Header); err != nil {
		return nil, errors.Trace(err)
	}
	return request, nil
}

// Transport is an http.RoundTripper that returns an error in place of a response with a malformed
// head. Behind TLS, it accepts a Transfer-Encoding in a response with HTTP/1.0.
type Transport struct {
	base *http.Transport
}

// NewTransport returns a transport with the settings of the base and connections of its own.
func NewTransport(base *http.Transport) *Transport {
	t := &Transport{
		base: base.Clone(),
	}
	t.base.DialContext = dialer(base)
	return t
}

var _defaultTransport = sync.OnceValue(func() *Transport {
	base, ok := http.DefaultTransport.(*http.Transport)
	if !ok {
		base = &http.Transport{}
	}
	return NewTransport(base)
})

// DefaultTransport returns the transport with the settings of http.DefaultTransport. Like that, it
// is the same for all callers.
func DefaultTransport() *Transport {
	return _defaultTransport()
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{
		GotConn:        expectHead,
		Got1xxResponse: func(_ int, header textproto.MIMEHeader) error { return checkFieldNames(http.Header(header)) },
	}
	response, err := t.base.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := checkResponse(response); err != nil {
		_ = response.Body.Close()
		return nil, errors.Trace(err)
	}
	checkTrailersAtEnd(response)
	return response, nil
}

// checkResponse returns an error if the head of a response that net/http has read is malformed.
func checkResponse(response *http.Response) error {
	// No request asks for another protocol. What follows a 101 would not be HTTP.
	code := response.StatusCode
	if code < _minStatusCode || code > _maxStatusCode || code == http.StatusSwitchingProtocols {
		return errors.NotValidf("status code %d", code)
	}
	return checkFieldNames(response.Header)
}

// checkTrailersAtEnd makes the end of the body of a response an error if its trailers are malformed.
func checkTrailersAtEnd(response *http.Response) {
	if len(response.TransferEncoding) > 0 {
		response.Body = &bodyBeforeTrailers{
			ReadCloser: response.Body,
			response:   response,
		}
	}
}

// bodyBeforeTrailers is a body in chunks, which trailers may follow.
type bodyBeforeTrailers struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *bodyBeforeTrailers) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	// net/http has set the trailers before it reports the end.
	if err := checkFieldNames(b.response.Trailer); err != nil {
		return n, errors.Annotate(err, "trailer")
	}
	return n, io.EOF
}

// checkFieldNames returns an error if a name contains a space. net/http refuses all other bytes
// that names may not contain.
func checkFieldNames(header http.Header) error {
	for name := range header {
		if strings.Contains(name, " ") {
			return errors.NotValidf("field name %q", name)
		}
	}
	return nil
}
