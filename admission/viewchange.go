package admission

import (
	"time"

	"github.com/slipwick/slipwick/peer/peerpb"
	"github.com/slipwick/slipwick/placement"
)

// SetView replaces the view. Backend servers that this router no longer owns are handed over to
// their new owners. The slots that this router holds are renewed at the new owners of their backend
// servers, and open attempts are sent to them again.
func (c *Coordinator) SetView(view *placement.View) {
	c.withLock(func() {
		previous := c.view
		c.view = view
		c.topology = make(map[string]*topology, len(view.Pools))
		for name, pool := range view.Pools {
			c.topology[name] = newTopology(c.Self, pool, view)
		}
		c.handOverBackends()
		c.takeOverBackends(previous)
		c.renewSlots(func(s *slot) bool {
			return previous != nil && previous.Owner(s.engine) != view.Owner(s.engine)
		})
		c.resendAttempts()
		for pool := range view.Pools {
			// A time in the future makes the report due now.
			c.refreshReport(pool, time.Now().Add(c.Policy.RefreshInterval))
			c.grantQueuedInPool(pool)
		}
	})
}

// handOverBackends hands over the backend servers that this router no longer owns and updates the
// others from the view.
func (c *Coordinator) handOverBackends() {
	for engine, o := range c.owned {
		owner := c.view.Owner(engine)
		if owner == c.Self {
			location, _ := c.view.Locate(engine)
			o.backend, o.pool = *location.Backend(), location.Pool.Name
			continue
		}
		delete(c.owned, engine)
		// Within its own takeover window this router may not know all leases yet, and a handover
		// would end the new owner's window too early. The holders of the slots renew them at the
		// new owner instead.
		if owner != "" && !time.Now().Before(o.windowEnd) {
			c.handOver(o, owner)
		}
		c.flushQueue(o, peerpb.Decision_DECISION_NOT_OWNER)
	}
}

// takeOverBackends takes over the backend servers that the view assigns to this router.
func (c *Coordinator) takeOverBackends(previous *placement.View) {
	for _, pool := range c.view.Pools {
		for i := range pool.Backends {
			engine := hashOf(&pool.Backends[i])
			if c.owned[engine] == nil && c.view.Owner(engine) == c.Self {
				c.takeOver(engine, previous)
			}
		}
	}
}

// takeOver makes this router the owner of a backend server. If another router may have owned it
// before, a takeover window begins, in which fewer slots are granted; a handover ends it.
func (c *Coordinator) takeOver(engine uint64, previous *placement.View) {
	location, _ := c.view.Locate(engine)
	o := newOwnedBackend(engine, location)
	c.owned[engine] = o
	if previous == nil || previous.Owner(engine) != "" {
		o.windowEnd = time.Now().Add(c.Policy.TakeoverWindow)
		time.AfterFunc(c.Policy.TakeoverWindow, func() { c.withLock(func() { c.grantQueued(o) }) })
	}
	if early := c.earlyHandovers[engine]; early != nil {
		delete(c.earlyHandovers, engine)
		c.onHandover(early.message)
	}
}

// resendAttempts sends the open attempts whose owner changed to the new owners. Attempts at backend
// servers that are no longer usable go to the next choice.
func (c *Coordinator) resendAttempts() {
	open := make([]*acquisition, 0, len(c.acquisitions))
	for _, a := range c.acquisitions {
		open = append(open, a)
	}
	for _, a := range open {
		location, ok := c.view.Locate(a.engine())
		switch {
		case !ok || !location.IsUsable():
			c.releaseAttempt(a)
			c.tryNext(a)
		case c.view.Owner(a.engine()) != a.owner:
			a.attempts--
			c.sendAttempt(a, a.position, a.kind)
		}
	}
}
