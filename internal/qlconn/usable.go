package qlconn

import (
	"syscall"
	"time"
)

// usable looks at a kept connection without waiting: it must be open, young
// enough, and hold no bytes, since those belong to no request.
func (c *conn) usable() bool {
	if time.Since(c.idleSince) >= c.keepFor || c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peekErr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = peekErr == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}
