package qlconn

import (
	"io"

	"github.com/juju/errors"
)

// limitedReader bounds the bytes that are read while a limit is set. net/http reads a
// head of any size.
type limitedReader struct {
	reader    io.Reader
	limited   bool
	remaining int
}

func (r *limitedReader) set(limit int) {
	r.limited, r.remaining = true, limit
}

func (r *limitedReader) remove() {
	r.limited = false
}

// Read implements io.Reader.
func (r *limitedReader) Read(p []byte) (int, error) {
	if !r.limited {
		return r.reader.Read(p)
	}
	if r.remaining <= 0 {
		return 0, errors.Errorf("the head of the response exceeds %d bytes", _maxHeadBytes)
	}
	n, err := r.reader.Read(p[:min(len(p), r.remaining)])
	r.remaining -= n
	return n, err
}
