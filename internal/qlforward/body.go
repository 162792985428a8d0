package qlforward

import (
	"io"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/pkg/qlcode"
)

// _readStepBytes is how much is read of a body at a time at least.
const _readStepBytes = 4 << 10

// readBounded reads until the end, but no more than limit bytes unless that is 0; expected is
// the length if it is known. It calls hold with the size of its buffer before it reads more into
// it, and returns its error.
func readBounded(reader io.Reader, limit, expected int, hold func(bytes int) error) ([]byte, error) {
	var body []byte
	for limit == 0 || len(body) < limit {
		if len(body) == cap(body) {
			size := max(2*cap(body), expected+1)
			if expected <= 0 {
				size = max(size, _readStepBytes)
			}
			if limit > 0 {
				size = min(size, limit)
			}
			if err := hold(size); err != nil {
				return nil, errors.Trace(err)
			}
			grown := make([]byte, len(body), size)
			copy(grown, body)
			body = grown
		}
		n, err := reader.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch err {
		case nil:
		case io.EOF:
			return body, nil
		default:
			return nil, err
		}
	}
	return body, nil
}

// readBody reads the whole body and reports whether it could; a body that
// exceeds the configured limit is an error.
func (f *Forwarder) readBody(x *exchange) bool {
	limit := x.view.table.Limits().BodyBytes
	if limit > 0 && x.request.ContentLength > limit {
		f.fail(x, qlcode.BodyTooLarge, "")
		return false
	}
	if x.request.ContentLength == 0 {
		return true
	}
	readLimit := 0
	if limit > 0 {
		readLimit = int(limit) + 1
	}
	hold := func(int) error { return nil }
	body, err := readBounded(x.request.Body, readLimit, int(x.request.ContentLength), hold)
	switch {
	case err != nil:
		f.fail(x, qlcode.BadRequest, err.Error())
		return false
	case limit > 0 && int64(len(body)) > limit:
		f.fail(x, qlcode.BodyTooLarge, "")
		return false
	}
	x.body = body
	return true
}
