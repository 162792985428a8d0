package qlpeer

import (
	"net"
	"sync/atomic"
)

// Counters count what went over all connections, payload and framing.
type Counters struct {
	BytesSent     atomic.Int64
	BytesReceived atomic.Int64
	Messages      atomic.Int64
	Dropped       atomic.Int64
}

type countedListener struct {
	net.Listener
	counters *Counters
}

// Accept wraps each connection so that its bytes count.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{
		Conn:     conn,
		counters: l.counters,
	}, nil
}

type countedConn struct {
	net.Conn
	counters *Counters
}

// Read counts what was read.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counters.BytesReceived.Add(int64(n))
	return n, err
}

// Write counts what was written.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counters.BytesSent.Add(int64(n))
	return n, err
}
