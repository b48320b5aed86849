package gatewayd

import (
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// idleListener limits how long connections may be idle between requests, and closes those that
// are not to be served. The limit may change while the server runs; http.Server.IdleTimeout is fixed at
// its start.
type idleListener struct {
	net.Listener
	// limit returns the current limit; 0 sets none.
	limit func() time.Duration
	// accepted counts accepted connections.
	accepted *atomic.Int64
	// allow reports whether to serve a connection; others are closed unread.
	allow func() bool
}

// Accept returns the next connection that is to be served, with the limit applied.
func (l *idleListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	for err == nil && !l.allow() {
		_ = conn.Close()
		conn, err = l.Listener.Accept()
	}
	if err != nil {
		return nil, err
	}
	l.accepted.Add(1)
	return &idleConn{
		Conn:  conn,
		limit: l.limit,
	}, nil
}

// idleConn is a connection of an idleListener.
type idleConn struct {
	net.Conn
	limit  func() time.Duration
	active atomic.Bool
}

// SetReadDeadline sets the read deadline. While the connection is idle, the idle limit
// replaces a zero deadline.
func (c *idleConn) SetReadDeadline(at time.Time) error {
	if at.IsZero() && !c.active.Load() {
		if limit := c.limit(); limit > 0 {
			at = time.Now().Add(limit)
		}
	}
	return c.Conn.SetReadDeadline(at)
}

// SetLinger sets what closing the connection does to data that was not sent; see net.TCPConn.SetLinger.
func (c *idleConn) SetLinger(seconds int) error {
	conn, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return errors.New("not a TCP connection")
	}
	return conn.SetLinger(seconds)
}

// trackConnState tracks whether a connection is idle; it is a http.Server.ConnState hook.
func trackConnState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*idleConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.active.Store(true)
		// If this fails, so does the next use of the connection, which reports the error.
		_ = c.Conn.SetReadDeadline(time.Time{})
	case http.StateIdle:
		c.active.Store(false)
	}
}
