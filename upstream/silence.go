package upstream

import (
	"context"
	"time"

	"github.com/slipwick/slipwick/clock"
)

// silenceLimit is how long a request waits for its response before it is found out whether its route still leads to
// any backend server, if nothing at all arrives by the route meanwhile.
const silenceLimit = 250 * time.Millisecond

// checkInterval is the least time between two checks of a route.
const checkInterval = time.Second

// silenceWatch applies the timeouts of an exchange, with a check of its route while the response has not begun.
type silenceWatch struct {
	client    *Client
	route     *route
	startedAt time.Time
	timeouts  Timeouts
	// isCheckDue says that the first timeout is that of the check.
	isCheckDue bool
}

// watchSilence returns the watch of an exchange that begins on a connection.
func (c *Client) watchSilence(conn *connection, timeouts Timeouts) *silenceWatch {
	return &silenceWatch{
		client:    c,
		route:     conn.route,
		startedAt: clock.Now(),
		timeouts:  timeouts,
		isCheckDue: c.findsPaths() && timeouts.OnTimeout != nil &&
			timeouts.FirstByte > silenceLimit && timeouts.FirstByte != NoTimeout,
	}
}

// headTimeouts returns the timeouts until the response begins.
func (w *silenceWatch) headTimeouts() Timeouts {
	watched := w.timeouts
	watched.OnTimeout = w.onHeadTimeout
	if w.isCheckDue {
		watched.FirstByte = silenceLimit
	}
	return watched
}

// bodyTimeouts returns the timeouts after that.
func (w *silenceWatch) bodyTimeouts() Timeouts {
	watched := w.timeouts
	watched.OnTimeout = w.onTimeout
	return watched
}

func (w *silenceWatch) onHeadTimeout() time.Duration {
	if !w.isCheckDue {
		return w.onTimeout()
	}
	w.isCheckDue = false
	w.client.checkSilence(w.route, w.startedAt)
	return w.timeouts.FirstByte - silenceLimit
}

func (w *silenceWatch) onTimeout() time.Duration {
	if w.timeouts.OnSilentRoute != nil && w.client.isInDoubt(w.route, w.startedAt) {
		return w.timeouts.OnSilentRoute()
	}
	return w.timeouts.OnTimeout()
}

// isInDoubt reports whether the silence since a time may be that of the route, and not of the backend server.
func (c *Client) isInDoubt(r *route, since time.Time) bool {
	if !r.isDirect() {
		return r.isSilentSince(since)
	}
	// A check that ends in between has set isLost before.
	return r.isChecked.Load() || r.isLost.Load() || c.PathLost() && r.isSilentSince(since)
}

// checkSilence finds out whether a route by which nothing has arrived since a time still leads to the backend
// servers. It doesn't block.
func (c *Client) checkSilence(r *route, since time.Time) {
	if !r.isSilentSince(since) || r.isLost.Load() || !r.beginCheck() {
		return
	}
	go func() {
		defer r.endCheck()
		if r.isDirect() {
			c.checkDirect(r)
			return
		}
		c.checkTunnels(r)
	}()
}

// checkDirect finds out whether this router still reaches a server that sends nothing.
func (c *Client) checkDirect(r *route) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if c.probeServer(ctx, r.key, r.address) == nil || c.verifyPathLost(context.Background()) {
		return
	}
	c.askForServer(r)
}

// checkTunnels finds out whether a router through which tunnels lead responds, and excludes it if not.
func (c *Client) checkTunnels(r *route) {
	targets := c.ProbeTargets(1)
	if len(targets) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	key := targets[0].Incarnation()
	c.open.addUnlimited(key)
	conn, err := c.dialTunnel(ctx, key)
	if err != nil {
		c.open.remove(key)
	} else {
		c.putIdle(key, conn, defaultMaxIdleTime)
		if conn.route == r {
			return
		}
	}
	c.Tunnels.ExcludeRouter(r.router)
	c.CloseUnusableTunnels()
}
