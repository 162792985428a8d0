package qlconn

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// usable reports, without blocking, whether an idle connection can be reused:
// it must be open, not idle for too long, and hold no unread bytes, since those
// belong to no request.
func (c *conn) usable() bool {
	if time.Since(c.idleSince) >= c.idleTimeout || c.reader.Buffered() > 0 {
		return false
	}
	events, _, ok, err := poll(c.Conn)
	return !ok || err == nil && events == 0
}

// ClosedByPeer reports, without blocking, whether the other end has closed a
// connection and all received bytes were read, or has reset it. It is also true if
// this end has closed the connection. It may be called while another goroutine reads
// from the connection.
func ClosedByPeer(conn net.Conn) bool {
	events, unread, ok, err := poll(conn)
	if !ok {
		return false
	}
	isReset := events&(unix.POLLERR|unix.POLLHUP) != 0
	isClosed := events&unix.POLLRDHUP != 0 && unread == 0
	return err != nil || isReset || isClosed
}

// HasUnreadBytes reports, without blocking, whether a connection holds received
// bytes that were not read yet.
func HasUnreadBytes(conn net.Conn) bool {
	_, unread, ok, err := poll(conn)
	return ok && err == nil && unread > 0
}

// poll returns the pending poll(2) events of a connection and the number of unread bytes. The
// result ok is false if the connection gives no access to its descriptor; err is set if this
// end has closed it.
//
// It does not read, not even with MSG_PEEK: the kernel reports the error of a reset once, and the
// owner of the connection would then read io.EOF, which is the regular end of a response without a
// length.
func poll(conn net.Conn) (events int16, unread uint32, ok bool, err error) {
	withDescriptor, ok := conn.(syscall.Conn)
	if !ok {
		return 0, 0, false, nil
	}
	raw, err := withDescriptor.SyscallConn()
	if err != nil {
		return 0, 0, true, err
	}
	var pollErr error
	err = raw.Control(func(descriptor uintptr) {
		events, unread, pollErr = pollDescriptor(int(descriptor))
	})
	if err == nil {
		err = pollErr
	}
	return events, unread, true, err
}

func pollDescriptor(descriptor int) (events int16, unread uint32, err error) {
	polled := []unix.PollFd{{
		Fd:     int32(descriptor),
		Events: unix.POLLIN | unix.POLLRDHUP,
	}}
	for {
		if _, err = unix.Poll(polled, 0); err != unix.EINTR {
			break
		}
	}
	if err != nil || polled[0].Revents == 0 {
		return 0, 0, err
	}
	unread, err = unix.IoctlGetUint32(descriptor, unix.SIOCINQ)
	return polled[0].Revents, unread, err
}
