package qlforward

import (
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qlmemory"
	"github.com/quetzallane/quetzallane/pkg/qlcode"
	"go.uber.org/zap"
)

// _readStepBytes is how much is read of a body at a time at least.
const _readStepBytes = 4 << 10

// _bodyGrace is for how long a body may come more slowly than at the minimum rate, as after a
// lost packet.
const _bodyGrace = 10 * time.Second

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
// exceeds the configured limit is an error. The bytes count as those of active requests as
// they come, since not each body states its length.
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
	if x.request.ContentLength < 0 {
		hold = func(bytes int) error { return f.reserve(x.holding, _requestMemoryBytes+bytes) }
	}
	body, err := readBounded(&bodyReader{
		list:        &f.bodies,
		reader:      x.request.Body,
		controller:  http.NewResponseController(x.w),
		idleTimeout: f.config.BodyIdleTimeout,
		minRate:     f.config.MinBodyRate,
		due:         time.Now().Add(_bodyGrace),
	}, readLimit, int(x.request.ContentLength), hold)
	switch {
	case errors.Is(err, qlmemory.ErrUsedUp):
		// Otherwise, the server would wait for more of the body before it answers.
		x.w.Header().Set("Connection", "close")
		f.refuse(x, qlcode.QueueFull, _notReadyRetry, "memory for requests is used up")
		return false
	case err != nil:
		f.fail(x, qlcode.BadRequest, err.Error())
		return false
	case limit > 0 && int64(len(body)) > limit:
		f.fail(x, qlcode.BodyTooLarge, "")
		return false
	}
	f.endBodyTimeout(x)
	x.body = body
	return true
}

// endBodyTimeout removes the time limit of a body that has arrived. That of an offloaded request
// has none.
func (f *Forwarder) endBodyTimeout(x *exchange) {
	err := http.NewResponseController(x.w).SetReadDeadline(time.Time{})
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		f.config.Log.Debug("body-timeout-not-removed", zap.String("request", x.caller.ID), zap.Error(err))
	}
}

// bodyReader reads a caller's body. A caller that falls silent within a body would hold memory for
// good without the limit.
type bodyReader struct {
	// list has the reader while it waits for data.
	list       *bodyList
	reader     io.Reader
	controller *http.ResponseController
	// idleTimeout limits the time in which nothing comes.
	idleTimeout time.Duration
	// minRate is how many bytes have to come each second; 0 for no limit. due is when the
	// next byte has to come at that rate.
	minRate float64
	due     time.Time
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	deadline := time.Now().Add(r.idleTimeout)
	if r.minRate > 0 && r.due.Before(deadline) {
		deadline = r.due
	}
	err := r.controller.SetReadDeadline(deadline)
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		return 0, errors.Trace(err)
	}
	r.list.record(r, time.Now())
	defer r.list.remove(r)
	n, err := r.reader.Read(p)
	if r.minRate > 0 {
		r.due = r.due.Add(time.Duration(float64(n) / r.minRate * float64(time.Second)))
	}
	return n, err
}
