// Package qlbuffer reads from connections into pooled buffers.
//
// A reader that waits for data holds no buffer, so that thousands of idle connections need
// no memory for one.
//
// # Usage
//
//	pool := qlbuffer.NewPool(16 << 10)
//	buffer, n, err := pool.Read(rawConn) // waits for data
//	use((*buffer)[:n])
//	pool.Put(buffer)
package qlbuffer

import (
	"io"
	"sync"
	"syscall"

	"github.com/juju/errors"
)

// Pool holds buffers of one size. It is safe for concurrent use.
type Pool struct {
	size    int
	buffers sync.Pool
}

// NewPool returns a pool of buffers of the size, in bytes.
func NewPool(size int) *Pool {
	return &Pool{
		size: size,
		buffers: sync.Pool{
			New: func() any {
				buffer := make([]byte, size)
				return &buffer
			},
		},
	}
}

// Size returns the size of the buffers, in bytes.
func (p *Pool) Size() int {
	return p.size
}

// Get returns a buffer.
func (p *Pool) Get() *[]byte {
	buffer, _ := p.buffers.Get().(*[]byte)
	return buffer
}

// Put returns a buffer to the pool. One of another size is left to the garbage collector.
func (p *Pool) Put(buffer *[]byte) {
	if len(*buffer) == p.size {
		p.buffers.Put(buffer)
	}
}

// Read waits for data and reads what has arrived, up to the size of a buffer. The caller
// returns the buffer to the pool. The error is io.EOF after the last byte.
func (p *Pool) Read(raw syscall.RawConn) (buffer *[]byte, n int, err error) {
	var readErr error
	err = raw.Read(func(descriptor uintptr) bool {
		buffer = p.Get()
		n, readErr = readRetrying(int(descriptor), *buffer)
		if readErr == nil && n > 0 {
			return true
		}
		p.Put(buffer)
		buffer = nil
		return readErr != syscall.EAGAIN
	})
	switch {
	case err != nil:
		return nil, 0, err
	case readErr != nil:
		return nil, 0, errors.Trace(readErr)
	case buffer == nil:
		return nil, 0, io.EOF
	}
	return buffer, n, nil
}

// TryRead reads what has arrived, up to the size of a buffer, without waiting. The buffer is
// nil if nothing has.
func (p *Pool) TryRead(raw syscall.RawConn) (buffer *[]byte, n int, err error) {
	buffer = p.Get()
	var readErr error
	err = raw.Read(func(descriptor uintptr) bool {
		n, readErr = readRetrying(int(descriptor), *buffer)
		return true
	})
	if err == nil && readErr == nil && n > 0 {
		return buffer, n, nil
	}
	p.Put(buffer)
	switch {
	case err != nil:
		return nil, 0, err
	case readErr == syscall.EAGAIN:
		return nil, 0, nil
	case readErr != nil:
		return nil, 0, errors.Trace(readErr)
	}
	return nil, 0, io.EOF
}

// readRetrying reads again after an interruption by a signal.
func readRetrying(descriptor int, buffer []byte) (int, error) {
	for {
		n, err := syscall.Read(descriptor, buffer)
		if err != syscall.EINTR {
			return n, err
		}
	}
}
