package qlintake

import (
	"net"
	"runtime"
	"sync/atomic"
	"syscall"

	"github.com/quetzallane/quetzallane/internal/qlconn"
)

// claim is the side that may decide about a connection at a moment: its reader, while a
// read is under way and until requestPending is set, or CloseIdle.
type claim = int32

const (
	_claimedByNone claim = iota
	_claimedByReader
	_claimedByCloser
	_claimClosed
)

// CloseIdle closes the connection unless it holds a request, and reports whether it did. Any
// goroutine may call it.
func (c *Conn) CloseIdle() bool {
	if c.RequestPending() || !c.claim.CompareAndSwap(_claimedByNone, _claimedByCloser) {
		return false
	}
	if c.RequestPending() || qlconn.HasUnreadBytes(c.TCPConn) {
		c.claim.Store(_claimedByNone)
		return false
	}
	c.intake.config.pause()
	c.claim.Store(_claimClosed)
	_ = c.TCPConn.Close()
	return true
}

// claimingConn claims a connection for its reader during each attempt to read.
type claimingConn struct {
	syscall.RawConn
	claim          *atomic.Int32
	requestPending *atomic.Bool
	pause          func()
}

// Read calls the function until it reports that it is done. It then counts as having read a
// part of a request.
func (c *claimingConn) Read(read func(descriptor uintptr) bool) error {
	closed := false
	err := c.RawConn.Read(func(descriptor uintptr) bool {
		for !c.claim.CompareAndSwap(_claimedByNone, _claimedByReader) {
			if c.claim.Load() == _claimClosed {
				closed = true
				return true
			}
			runtime.Gosched()
		}
		done := read(descriptor)
		if done {
			c.pause()
			c.requestPending.Store(true)
		}
		c.claim.Store(_claimedByNone)
		return done
	})
	if closed {
		return net.ErrClosed
	}
	return err
}
