package qlconn

import (
	"io"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/quetzallane/quetzallane/internal/qlmemory"
)

// limitedReader bounds the bytes that are read while a limit is set. net/http reads a
// head of any size.
type limitedReader struct {
	reader    io.Reader
	limited   bool
	remaining int
	// read counts the bytes since the limit was set, which are added to the holding.
	read    int
	holding *qlmemory.Holding
	// endedAt is when the other end was found to have ended the connection.
	endedAt time.Time
}

func (r *limitedReader) set(limit int, holding *qlmemory.Holding) {
	r.limited, r.remaining, r.read, r.holding = true, limit, 0, holding
}

// remove removes the limit and returns how many bytes were read since it was set.
func (r *limitedReader) remove() int {
	r.limited, r.holding = false, nil
	return r.read
}

// Read implements io.Reader.
func (r *limitedReader) Read(p []byte) (int, error) {
	if !r.limited {
		return r.readOnce(p)
	}
	if r.remaining <= 0 {
		return 0, errors.Errorf("the head of the response exceeds %d bytes", _maxHeadBytes)
	}
	n, err := r.readOnce(p[:min(len(p), r.remaining)])
	r.remaining -= n
	r.read += n
	if holdErr := r.holding.Add(n); holdErr != nil {
		return 0, errors.Annotate(holdErr, "head of a response")
	}
	return n, err
}

// readOnce reads, and records an end by the other side.
func (r *limitedReader) readOnce(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if err == io.EOF || errors.Is(err, syscall.ECONNRESET) {
		r.endedAt = time.Now()
	}
	return n, err
}
