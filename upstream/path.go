package upstream

import (
	"context"
	"sync"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/clock"
)

const (
	// probeTimeout bounds a connection that is opened to find out whether there is a path. It is longer than
	// minDialTimeout, as a router without processor time takes long to open one.
	probeTimeout = 250 * time.Millisecond
	// probedServers is how many backend servers have to be out of reach before the path to all counts as lost,
	// or all if fewer are listed: some may be down themselves.
	probedServers = 3
	// probeStagger is the time between the probes of a check. Usually the first one succeeds earlier.
	probeStagger = 40 * time.Millisecond
	// verifiedTime is for how long an opened connection proves that there is a path.
	verifiedTime = 100 * time.Millisecond
)

// path is what this router knows of its own network paths to the backend servers. The path to one server says
// nothing about the others: all count as lost if none of some servers can be reached.
type path struct {
	mu sync.Mutex
	// isLost says that all connections have to go through another router, hangs that those which were open when
	// the path was lost carry no data either.
	isLost, hangs bool
	// openedAt is when a connection was last opened by this router itself.
	openedAt time.Time
	// check is the check in progress, nil if there is none.
	check *pathCheck
	// isRestoring says that it is being found out whether lost paths are restored.
	isRestoring bool
}

// pathCheck is one check whether there is a path to any server.
type pathCheck struct {
	done   chan struct{}
	isLost bool
}

// PathLost reports whether this router reaches no backend server itself.
func (c *Client) PathLost() bool {
	c.path.mu.Lock()
	defer c.path.mu.Unlock()
	return c.path.isLost
}

// recordOpened notes that a connection was opened from this router itself.
func (p *path) recordOpened() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openedAt = clock.Now()
}

// findsPaths reports whether this router can find out about its paths and has an alternative to them.
func (c *Client) findsPaths() bool {
	return c.Tunnels != nil && c.ProbeTargets != nil && c.Tunnels.HasRouters()
}

// verifyPathLost reports whether this router reaches no backend server. It opens connections to some, unless one
// was opened a moment ago, and blocks until the result is known or ctx ends.
func (c *Client) verifyPathLost(ctx context.Context) bool {
	if !c.findsPaths() {
		return false
	}
	p := &c.path
	p.mu.Lock()
	switch {
	case p.isLost:
		p.mu.Unlock()
		return true
	case clock.Since(p.openedAt) < verifiedTime:
		p.mu.Unlock()
		return false
	}
	check := p.check
	if check == nil {
		check = &pathCheck{
			done: make(chan struct{}),
		}
		p.check = check
		go c.runCheck(check)
	}
	p.mu.Unlock()
	select {
	case <-check.done:
		return check.isLost
	case <-ctx.Done():
		return false
	}
}

// runCheck runs a check and applies its result. Without listed servers no path counts as lost.
func (c *Client) runCheck(check *pathCheck) {
	targets := c.ProbeTargets(probedServers)
	reached, timedOut := c.probe(context.Background(), targets)
	p := &c.path
	p.mu.Lock()
	p.check, check.isLost = nil, !reached && len(targets) > 0
	if check.isLost {
		p.isLost, p.hangs = true, timedOut
	}
	p.mu.Unlock()
	if check.isLost {
		c.onPathLost(timedOut)
	}
	close(check.done)
}

// onPathLost applies the loss of the paths to all servers.
func (c *Client) onPathLost(hangs bool) {
	if hangs {
		closeAll(c.takeIdle(func(conn *connection) bool { return conn.route.isDirect() }))
	}
	if c.OnPathChange != nil {
		c.OnPathChange(true)
	}
	c.startRestoring()
}

// probe opens a connection to one of the servers, trying one after the other, and keeps it for later exchanges.
// timedOut says that some server didn't respond, as opposed to refusing the connection.
func (c *Client) probe(ctx context.Context, targets []slipwick.Backend) (reached, timedOut bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan error, len(targets))
	next := time.NewTimer(0)
	defer next.Stop()
	for started, ended := 0, 0; ended < len(targets); {
		select {
		case <-next.C:
			if started == len(targets) {
				continue
			}
			target := targets[started]
			started++
			next.Reset(probeStagger)
			go func() { results <- c.probeServer(ctx, target.Incarnation(), target.Address) }()
		case err := <-results:
			if err == nil {
				return true, false
			}
			timedOut = timedOut || dialFailureOf(err) == DialTimedOut
			ended++
			next.Reset(0)
		}
	}
	return false, timedOut
}

// probeServer opens a connection to a backend server and keeps it for later exchanges.
func (c *Client) probeServer(ctx context.Context, key, address string) error {
	c.open.addUnlimited(key)
	conn, err := c.dialDirect(ctx, key, address, probeTimeout)
	if err != nil {
		c.open.remove(key)
		return err
	}
	c.putIdle(key, conn, defaultMaxIdleTime)
	return nil
}

// takeIdle removes the idle connections that a function chooses, and returns them.
func (c *Client) takeIdle(choose func(*connection) bool) []*connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	var taken []*connection
	for key, idle := range c.idle {
		kept := idle[:0]
		for _, conn := range idle {
			if choose(conn) {
				taken = append(taken, conn)
			} else {
				kept = append(kept, conn)
			}
		}
		c.idle[key] = kept
	}
	return taken
}

// mayKeep reports whether a connection to a server may be used for further exchanges: connections of a route that
// is not in use any more may not.
func (c *Client) mayKeep(key string, conn *connection) bool {
	c.path.mu.Lock()
	isLost, hangs := c.path.isLost, c.path.hangs
	c.path.mu.Unlock()
	if conn.route.isDirect() {
		return (!isLost || !hangs) && !conn.route.isLost.Load()
	}
	return (isLost || c.isServerLost(key)) && c.Tunnels.IsUsable(conn.route.router)
}

// CloseUnusableTunnels closes the idle connections through routers that may not be used any more.
func (c *Client) CloseUnusableTunnels() {
	closeAll(c.takeIdle(func(conn *connection) bool {
		return !conn.route.isDirect() && !c.Tunnels.IsUsable(conn.route.router)
	}))
}
