package admission

import (
	"time"

	"github.com/slipwick/slipwick/peer/peerpb"
	"github.com/slipwick/slipwick/placement"
)

// SetView puts a newer view in force: engines that are no longer owned are
// handed over, and what was asked or is held is told to the new owners.
func (c *Coordinator) SetView(view *placement.View) {
	c.locked(func() {
		before := c.view
		c.view = view
		c.topology = make(map[string]*topology, len(view.Pools))
		for name, pool := range view.Pools {
			c.topology[name] = newTopology(c.Self, pool, view)
		}
		c.dropOwned()
		c.takeOwned(before)
		c.renewSlots(func(s *slot) bool {
			return before != nil && before.Owner(s.engine) != view.Owner(s.engine)
		})
		c.askAgain()
		for pool := range view.Pools {
			c.refresh(pool, time.Now().Add(c.Policy.RefreshEvery))
			c.pumpPool(pool)
		}
	})
}

// dropOwned hands over what this router no longer owns.
func (c *Coordinator) dropOwned() {
	for engine, o := range c.owned {
		owner := c.view.Owner(engine)
		if owner == c.Self {
			place, _ := c.view.Place(engine)
			o.backend, o.pool = *place.Backend(), place.Pool.Name
			continue
		}
		delete(c.owned, engine)
		// Within its own window this router does not know all slots, and
		// must not end the next owner's; holders renew there.
		if owner != "" && !time.Now().Before(o.windowEnd) {
			c.handOver(o, owner)
		}
		c.clearQueue(o, peerpb.Decision_DECISION_NOT_OWNER)
	}
}

// takeOwned begins to own what the view gives to this router.
func (c *Coordinator) takeOwned(before *placement.View) {
	for _, pool := range c.view.Pools {
		for i := range pool.Backends {
			engine := hashOf(&pool.Backends[i])
			if c.owned[engine] == nil && c.view.Owner(engine) == c.Self {
				c.takeOver(engine, before)
			}
		}
	}
}

func (c *Coordinator) takeOver(engine uint64, before *placement.View) {
	place, _ := c.view.Place(engine)
	o := newOwned(engine, place)
	c.owned[engine] = o
	if before == nil || before.Owner(engine) != "" {
		o.windowEnd = time.Now().Add(c.Policy.TakeoverWindow)
		time.AfterFunc(c.Policy.TakeoverWindow, func() { c.locked(func() { c.pump(o) }) })
	}
	if early := c.handovers[engine]; early != nil {
		delete(c.handovers, engine)
		c.onHandover(early.message)
	}
}

// askAgain brings the asks in progress to the engines' present owners.
func (c *Coordinator) askAgain() {
	asks := make([]*ask, 0, len(c.asks))
	for _, a := range c.asks {
		asks = append(asks, a)
	}
	for _, a := range asks {
		place, ok := c.view.Place(a.engine())
		switch {
		case !ok || !place.MayGetWork():
			c.giveBack(a)
			c.moveOn(a)
		case c.view.Owner(a.engine()) != a.owner:
			a.tries--
			c.send(a, a.position, a.try)
		}
	}
}
