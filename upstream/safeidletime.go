package upstream

import (
	"errors"
	"io"
	"syscall"
	"time"

	"github.com/slipwick/slipwick/clock"
)

const (
	// safeIdleTimeTTL is how long a learnt bound on idle times is kept.
	safeIdleTimeTTL = 30 * time.Second
	// safeIdleTimeShare is the share of the idle time of a forgotten connection that becomes the bound.
	safeIdleTimeShare = 0.5
	// minForgottenIdle is the shortest idle time after which a connection counts as forgotten: servers
	// keep connections for longer between two requests.
	minForgottenIdle = 200 * time.Millisecond
	// forgottenTripFactor times the recorded dial time, which is about a round trip, and at least
	// minForgottenTrip, is how soon the reset of a forgotten connection arrives. A server that
	// crashes while it works on a request resets its connections later.
	forgottenTripFactor = 2
	minForgottenTrip    = 2 * time.Millisecond
)

// safeIdleTime is the longest idle time for which connections seem to stay open at backend servers. A
// server, or a device on the way, may forget a connection earlier than the server states, and reset it
// at the next request: a request that must not be repeated is then lost.
type safeIdleTime struct {
	bound time.Duration
	until time.Time
}

// SafeIdleTime returns how long a connection may have been idle that is used for a request which must
// not be repeated; 0 sets no bound. There is none until a connection was found forgotten.
func (c *Client) SafeIdleTime() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if clock.Now().After(c.safeIdleTime.until) {
		return 0
	}
	return c.safeIdleTime.bound
}

// recordClosedExchange takes an exchange that the server closed before its response began, on a
// connection that had been idle for a time, and that took some time itself.
func (c *Client) recordClosedExchange(key string, idle, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if idle < minForgottenIdle || took > max(forgottenTripFactor*c.dialTimes[key], minForgottenTrip) {
		return
	}
	bound, now := time.Duration(safeIdleTimeShare*float64(idle)), clock.Now()
	if now.Before(c.safeIdleTime.until) {
		bound = min(bound, c.safeIdleTime.bound)
	}
	c.safeIdleTime = safeIdleTime{
		bound: bound,
		until: now.Add(safeIdleTimeTTL),
	}
}

// isClosedByPeer reports whether an exchange ended because the peer closed or reset the connection.
func isClosedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
