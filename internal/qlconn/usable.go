package qlconn

import (
	"net"
	"syscall"
	"time"
)

// usable reports, without blocking, whether an idle connection can be reused:
// it must be open, not idle for too long, and hold no unread bytes, since those
// belong to no request.
func (c *conn) usable() bool {
	if time.Since(c.idleSince) >= c.idleTimeout || c.reader.Buffered() > 0 {
		return false
	}
	_, ok, err := peek(c.Conn)
	return !ok || err == syscall.EAGAIN
}

// ClosedByPeer reports, without blocking, whether the other end has closed a
// connection and all received bytes were read, or has reset it. It is also true if
// this end has closed the connection. It may be called while another goroutine reads
// from the connection.
func ClosedByPeer(conn net.Conn) bool {
	n, ok, err := peek(conn)
	return ok && n <= 0 && err != syscall.EAGAIN && err != syscall.EINTR
}

// HasUnreadBytes reports, without blocking, whether a connection holds received
// bytes that were not read yet.
func HasUnreadBytes(conn net.Conn) bool {
	n, ok, err := peek(conn)
	return ok && err == nil && n > 0
}

// peek reads a byte without consuming it; n is 0 and err is nil if the other
// end has closed the connection, and n is -1 if the read fails. The result ok
// is false if the connection gives no access to its descriptor.
func peek(conn net.Conn) (n int, ok bool, err error) {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return 0, false, nil
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return 0, true, err
	}
	var buffer [1]byte
	var peekErr error
	err = control.Control(func(fd uintptr) {
		n, _, peekErr = syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if err != nil {
		return 0, true, err
	}
	return n, true, peekErr
}
