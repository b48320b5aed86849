package upstream

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/slipwick/slipwick"
)

const (
	// restoreInterval is how often a router tries to open a connection itself to servers that it reaches only
	// through others.
	restoreInterval = 200 * time.Millisecond
	// restoredServers is to how many of these servers it tries to open one at a time.
	restoredServers = 3
	// opinionTimeout bounds the time until another router responds whether it reaches a server. It may have to find out
	// about its own paths first.
	opinionTimeout = 500 * time.Millisecond
)

// directRoute returns the route from this router itself to a backend server.
func (c *Client) directRoute(key, address string) *route {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.directRoutes[key]
	if r == nil || r.address != address {
		if c.directRoutes == nil {
			c.directRoutes = make(map[string]*route)
		}
		r = &route{
			key:     key,
			address: address,
		}
		c.directRoutes[key] = r
	}
	return r
}

// isServerLost reports whether this router doesn't reach a backend server itself, though others do.
func (c *Client) isServerLost(key string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.directRoutes[key]
	return r != nil && r.isLost.Load()
}

// dialAfterFailure opens a connection through another router after this one failed to open one itself, if the cause
// is this router's path. If the path to all servers is lost, or the server seems to refuse connections, it waits for
// the result; otherwise the request doesn't wait.
func (c *Client) dialAfterFailure(ctx context.Context, r *route, failure error) (*connection, error) {
	switch {
	case ctx.Err() != nil || !c.findsPaths():
		return nil, failure
	case c.verifyPathLost(ctx):
		return c.dialTunnel(ctx, r.key)
	case !IsConnectionRefused(failure):
		c.checkServer(r)
		return nil, failure
	}
	// Most servers that refuse connections have ended, so that the request waits only briefly for another opinion.
	ctx, cancel := context.WithTimeout(ctx, minDialTimeout)
	defer cancel()
	conn, err := c.dialTunnel(ctx, r.key)
	if err != nil {
		c.recordOpinion(ctx, r, err)
		return nil, failure
	}
	c.recordServerLost(r)
	return conn, nil
}

// checkServer finds out whether another router reaches a server that this one doesn't reach. It doesn't block.
func (c *Client) checkServer(r *route) {
	if r.isLost.Load() || !r.beginCheck() {
		return
	}
	go func() {
		defer r.endCheck()
		c.askForServer(r)
	}()
}

// askForServer opens a connection to a server through another router. If that succeeds, this router's path to the
// server is lost.
func (c *Client) askForServer(r *route) {
	ctx, cancel := context.WithTimeout(context.Background(), opinionTimeout)
	defer cancel()
	c.open.addUnlimited(r.key)
	conn, err := c.dialTunnel(ctx, r.key)
	if err != nil {
		c.open.remove(r.key)
		c.recordOpinion(ctx, r, err)
		return
	}
	c.recordServerLost(r)
	c.putIdle(r.key, conn, defaultMaxIdleTime)
}

// recordOpinion notes why another router opened no connection to a server that this one doesn't reach. Without a
// router that has paths, or in time, nothing is known of the server.
func (c *Client) recordOpinion(ctx context.Context, r *route, err error) {
	if ctx.Err() == nil && !slipwick.IsKind(err, slipwick.KindNoPath) && c.OnServerUnreachable != nil {
		c.OnServerUnreachable(r.key)
	}
}

// recordServerLost notes that this router reaches a server only through others.
func (c *Client) recordServerLost(r *route) {
	if r.isLost.Swap(true) {
		return
	}
	closeAll(c.takeIdle(func(conn *connection) bool { return conn.route == r }))
	if c.OnServerPathLost != nil {
		c.OnServerPathLost(r.key)
	}
	c.startRestoring()
}

// startRestoring lets one goroutine find out when lost paths are restored.
func (c *Client) startRestoring() {
	c.path.mu.Lock()
	defer c.path.mu.Unlock()
	if !c.path.isRestoring {
		c.path.isRestoring = true
		go c.restorePaths()
	}
}

// restorePaths finds out when lost paths are restored, and returns once none is lost or the client is closed.
func (c *Client) restorePaths() {
	for {
		time.Sleep(restoreInterval)
		if c.PathLost() {
			c.restoreAll()
		} else {
			c.restoreServers()
		}
		if c.endsRestoring() {
			return
		}
	}
}

// endsRestoring reports whether no path is lost any more, or the client is closed.
func (c *Client) endsRestoring() bool {
	lost, isClosed := c.lostRoutes()
	c.path.mu.Lock()
	defer c.path.mu.Unlock()
	if isClosed || len(lost) == 0 && !c.path.isLost {
		c.path.isRestoring = false
		return true
	}
	return false
}

// lostRoutes returns the routes to servers that this router reaches only through others, in random order.
func (c *Client) lostRoutes() (lost []*route, isClosed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.directRoutes {
		if r.isLost.Load() {
			lost = append(lost, r)
		}
	}
	rand.Shuffle(len(lost), func(i, j int) { lost[i], lost[j] = lost[j], lost[i] })
	return lost, c.isClosed
}

// restoreAll tries to reach one server, and ends the loss of all paths if that succeeds.
func (c *Client) restoreAll() {
	if reached, _ := c.probe(context.Background(), c.ProbeTargets(1)); !reached {
		return
	}
	c.path.mu.Lock()
	c.path.isLost = false
	c.path.mu.Unlock()
	closeAll(c.takeIdle(func(conn *connection) bool {
		return !conn.route.isDirect()
	}))
	if c.OnPathChange != nil {
		c.OnPathChange(false)
	}
}

// restoreServers tries to reach some of the lost servers. If it reaches one, it tries the others at once.
func (c *Client) restoreServers() {
	for {
		lost, _ := c.lostRoutes()
		lost = lost[:min(len(lost), restoredServers)]
		var restored sync.WaitGroup
		results := make([]bool, len(lost))
		for i, r := range lost {
			restored.Go(func() { results[i] = c.restoreServer(r) })
		}
		restored.Wait()
		isAny := false
		for _, result := range results {
			isAny = isAny || result
		}
		if !isAny {
			return
		}
	}
}

// restoreServer reports whether this router reaches a server itself again.
func (c *Client) restoreServer(r *route) bool {
	c.open.addUnlimited(r.key)
	conn, err := c.dialDirect(context.Background(), r.key, r.address, probeTimeout)
	if err != nil {
		c.open.remove(r.key)
		return false
	}
	r.isLost.Store(false)
	closeAll(c.takeIdle(func(other *connection) bool {
		return !other.route.isDirect() && other.key == r.key
	}))
	c.putIdle(r.key, conn, defaultMaxIdleTime)
	return true
}
