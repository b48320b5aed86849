package permit

import (
	"github.com/slipwick/slipwick/clock"
)

// PoolStatus is the state of a pool's permits for operators.
type PoolStatus struct {
	Pool string
	// Coordinator is the ID of the router that coordinates the pool, as this router sees it.
	Coordinator string
	// Silent says that the coordinator didn't answer: this router decides within its part.
	Silent        bool
	UnderPressure bool
	// Held and Queued count this router's permits and its requests in the coordinator's queue.
	Held, Queued int
	// Slots, Leases, Waiting and Workspaces are known to the coordinator only.
	Slots, Leases, Waiting int
	Workspaces             map[string]WorkspaceStatus
}

// WorkspaceStatus is the state of one workspace at a pool.
type WorkspaceStatus struct {
	Leases, Waiting int
}

// PoolStatus returns what the client knows of a pool.
func (c *Client) PoolStatus(pool string) PoolStatus {
	p, now := c.pool(pool), clock.Now()
	r, address := c.fleet().coordinator(pool, now)
	status := PoolStatus{
		Pool:          pool,
		Coordinator:   r.ID,
		UnderPressure: p.isUnderPressure(c.Capacity),
	}
	p.mu.Lock()
	status.Queued = p.queued
	p.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.coordinators[address]; s != nil {
		status.Silent = s.down
	}
	for _, h := range c.held {
		if h.pool == p {
			status.Held++
		}
	}
	return status
}

// fillStatus adds what the coordinator knows.
func (c *Coordinator) fillStatus(status *PoolStatus) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[status.Pool]
	if p == nil {
		return
	}
	status.Workspaces = make(map[string]WorkspaceStatus)
	status.Waiting = p.queue.Len()
	for _, s := range p.servers {
		status.Leases += len(s.leases)
		if s.usable && !s.ejected {
			status.Slots += s.Slots
		}
	}
	for name, w := range p.workspaces {
		if w.leases > 0 {
			status.Workspaces[name] = WorkspaceStatus{
				Leases: w.leases,
			}
		}
	}
	for _, a := range c.askers {
		for _, item := range a.waiting {
			if w := item.Value.(*waiter); w.pool == p {
				of := status.Workspaces[item.Request.Workspace]
				of.Waiting++
				status.Workspaces[item.Request.Workspace] = of
			}
		}
	}
}
