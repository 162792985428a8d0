package qlconn

import (
	"net"
	"syscall"
	"time"
)

// usable looks at a kept connection without waiting: it must be open, young
// enough, and hold no bytes, since those belong to no request.
func (c *conn) usable() bool {
	if time.Since(c.idleSince) >= c.keepFor || c.reader.Buffered() > 0 {
		return false
	}
	_, ok, err := peek(c.Conn)
	return !ok || err == syscall.EAGAIN
}

// ClosedByPeer reports whether the other end has closed a connection, without
// waiting. It may be asked while another goroutine reads.
func ClosedByPeer(conn net.Conn) bool {
	n, ok, err := peek(conn)
	return ok && n == 0 && err != syscall.EAGAIN
}

// HasUnreadBytes reports whether a connection holds bytes that were not read yet,
// without waiting.
func HasUnreadBytes(conn net.Conn) bool {
	n, ok, err := peek(conn)
	return ok && err == nil && n > 0
}

// peek looks for a byte that was not read yet; ok is false where the
// connection gives no access to its descriptor.
func peek(conn net.Conn) (n int, ok bool, err error) {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return 0, false, nil
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return 0, true, err
	}
	var one [1]byte
	var peekErr error
	err = control.Control(func(fd uintptr) {
		n, _, peekErr = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if err != nil {
		return 0, true, err
	}
	return n, true, peekErr
}
