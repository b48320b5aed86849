package admission

import (
	"time"
)

// estimateTotal estimates how many slots of the pool are held, for the limit. The known total is
// some tenths of a second old, so a falling total is extrapolated by ReportLag.
func (c *Coordinator) estimateTotal(pool string) float64 {
	load := c.poolLoad(pool)
	return float64(c.knownTotal(pool)) * (1 - load.trend.expectedFall(c.Policy.ReportLag))
}

// isFallingFast reports whether the pool's load falls fast. Reports are then sent as often as when
// requests wait, since an estimate that is too high lets owners exceed the limit.
func (c *Coordinator) isFallingFast(load *poolLoad) bool {
	return load.trend.expectedFall(time.Second) > c.Policy.FastFallRate
}

// knownTotal returns how many slots of the pool are held, by this router's own count and the
// reports of others. Expired reports do not count, so that the result is rather too low than too
// high.
func (c *Coordinator) knownTotal(pool string) int {
	load, own := c.poolLoad(pool), c.ownLoad(pool)
	now := time.Now()
	others := 0
	switch {
	case c.isHub(pool):
		others = c.othersLoad(load, now)
	case now.Sub(load.totalAt) <= c.Policy.ReportExpiry:
		others = max(0, load.total-load.reported)
	}
	return own + others
}

// isHub reports whether this router is a hub of the pool.
func (c *Coordinator) isHub(pool string) bool {
	t := c.topology[pool]
	return t != nil && t.hub == c.Self
}

// ownLoad returns the number of slots held of the usable backend servers of the pool that this
// router owns.
func (c *Coordinator) ownLoad(pool string) int {
	sum := 0
	for engine, o := range c.owned {
		if o.pool == pool && c.countsTowardLoad(engine) {
			sum += len(o.leases)
		}
	}
	return sum
}

// othersLoad returns the number of slots held of the usable backend servers that this router does
// not own, according to valid reports. It deletes expired reports.
func (c *Coordinator) othersLoad(load *poolLoad, now time.Time) int {
	sum := 0
	for engine, l := range load.engines {
		if now.Sub(l.receivedAt) > c.Policy.ReportExpiry {
			delete(load.engines, engine)
			continue
		}
		if c.owned[engine] == nil && c.countsTowardLoad(engine) {
			sum += l.inFlight
		}
	}
	return sum
}

// countsTowardLoad reports whether a backend server's load is part of the pool's mean load. It is
// not if the backend server gets no new requests.
func (c *Coordinator) countsTowardLoad(engine uint64) bool {
	location, ok := c.view.Locate(engine)
	return ok && location.IsUsable()
}

// hasQueuePressure reports whether so many requests are queued at this router's backend servers of
// the pool that the pool's load must be rising. A few queued requests are no sign of that: some wait
// for a slot to be released at any time.
func (c *Coordinator) hasQueuePressure(pool string) bool {
	queued := 0
	for _, o := range c.owned {
		if o.pool == pool {
			queued += o.queue.len()
		}
	}
	return float64(queued) > 1+c.Policy.QueuePressureRatio*float64(c.ownLoad(pool))
}

// isPressed reports whether the pool is under pressure: its load falls fast, or requests wait for
// the limit to rise at this router's backend servers or, as reported recently, elsewhere.
func (c *Coordinator) isPressed(pool string, load *poolLoad, now time.Time) bool {
	recent := c.Policy.MinReportInterval
	return now.Sub(load.pressedAt) < recent || now.Sub(load.groupPressedAt) < recent ||
		c.isFallingFast(load) || c.hasQueuePressure(pool)
}

// Total returns this router's estimate of how many slots of the pool are held. The count is exact
// for the backend servers that the router owns.
func (c *Coordinator) Total(pool string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.view == nil {
		return 0
	}
	return c.knownTotal(pool)
}
