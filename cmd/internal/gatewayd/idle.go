package gatewayd

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// idleListener bounds how long connections rest between requests, by a limit
// that may change: net/http's own is fixed at the start.
type idleListener struct {
	net.Listener
	// limit gives the limit now; 0 sets none.
	limit func() time.Duration
	// accepted counts connections.
	accepted *atomic.Int64
}

// Accept gives the next connection.
func (l *idleListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.accepted.Add(1)
	return &idleConn{
		Conn:  conn,
		limit: l.limit,
	}, nil
}

// idleConn is a connection with the changing limit.
type idleConn struct {
	net.Conn
	limit  func() time.Duration
	active atomic.Bool
}

// SetReadDeadline puts the limit in the place of no deadline while the
// connection rests.
func (c *idleConn) SetReadDeadline(at time.Time) error {
	if at.IsZero() && !c.active.Load() {
		if limit := c.limit(); limit > 0 {
			at = time.Now().Add(limit)
		}
	}
	return c.Conn.SetReadDeadline(at)
}

// onState follows whether a connection rests; it is for http.Server.ConnState.
func onState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*idleConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.active.Store(true)
		// A connection that fails here fails at its next use as well.
		_ = c.Conn.SetReadDeadline(time.Time{})
	case http.StateIdle:
		c.active.Store(false)
	}
}
