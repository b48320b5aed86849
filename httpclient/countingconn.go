package httpclient

import (
	"net"
	"sync/atomic"
)

// countingConn is a connection that counts its bytes.
type countingConn struct {
	net.Conn

	sent, received *atomic.Int64
}

// NewCountingConn returns a connection that adds the bytes of connection to sent and received.
func NewCountingConn(connection net.Conn, sent, received *atomic.Int64) net.Conn {
	return &countingConn{
		Conn:     connection,
		sent:     sent,
		received: received,
	}
}

// Read reads from the connection and adds the number of bytes to received.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(int64(n))
	return n, err
}

// Write writes to the connection and adds the number of bytes to sent.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(int64(n))
	return n, err
}
