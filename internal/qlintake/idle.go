package qlintake

import (
	"net"
	"runtime"
	"sync/atomic"
	"syscall"

	"github.com/quetzallane/quetzallane/internal/qlconn"
)

// claim is the side that may decide about a connection at a moment: its reader, while a
// read is under way and until _requestHere is set, or CloseIdle.
type claim = int32

const (
	_claimedByNone claim = iota
	_claimedByReader
	_claimedByCloser
	_claimClosed
)

// requestState holds where requests of a connection are at a moment. It is one word: a
// request that moves from one place to the other, in either direction, is seen in one of
// them by any goroutine.
type requestState struct {
	bits atomic.Uint32
}

const (
	// _requestHere is set while a request that was read is being refused or has not
	// reached the server yet, and while the server handles it.
	_requestHere uint32 = 1 << iota
	// _requestElsewhere is set while another router handles a request.
	_requestElsewhere
)

func (s *requestState) set(place uint32) {
	s.bits.Or(place)
}

func (s *requestState) clear(place uint32) {
	s.bits.And(^place)
}

func (s *requestState) pending() bool {
	return s.bits.Load() != 0
}

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
	claim    *atomic.Int32
	requests *requestState
	pause    func()
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
			c.requests.set(_requestHere)
		}
		c.claim.Store(_claimedByNone)
		return done
	})
	if closed {
		return net.ErrClosed
	}
	return err
}
