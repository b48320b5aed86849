package httpclient

import (
	"net"
	"sync/atomic"
)

// countedConn counts a connection's bytes.
type countedConn struct {
	net.Conn

	sent, received *atomic.Int64
}

// Counted gives a connection that counts its bytes.
func Counted(connection net.Conn, sent, received *atomic.Int64) net.Conn {
	return &countedConn{
		Conn:     connection,
		sent:     sent,
		received: received,
	}
}

// Read counts what it reads.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(int64(n))
	return n, err
}

// Write counts what it writes.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(int64(n))
	return n, err
}
