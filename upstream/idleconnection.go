package upstream

import (
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/clock"
)

var _ slipwick.ConnectionSource = (*Client)(nil)

// HasIdleConnection reports whether the most recently used idle connection of the key may be used for a
// request with this MaxIdleTime. The server may have closed it.
func (c *Client) HasIdleConnection(key string, maxIdleTime time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.idle[key]
	if len(idle) == 0 {
		return false
	}
	now, conn := clock.Now(), idle[len(idle)-1]
	return now.Before(conn.idleUntil) && (maxIdleTime <= 0 || now.Sub(conn.idleSince) <= maxIdleTime)
}
