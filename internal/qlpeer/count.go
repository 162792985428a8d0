package qlpeer

import (
	"net"
	"sync/atomic"
)

// Counters count the traffic of all connections: bytes of payload and framing,
// messages queued and messages dropped.
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

// Accept wraps each connection so that its bytes are counted.
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

// Read reads from the connection and counts the bytes.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counters.BytesReceived.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counters.BytesSent.Add(int64(n))
	return n, err
}
