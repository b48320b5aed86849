package admission

import (
	"math"
	"time"
)

// total estimates how many slots of the pool are held: this router's own count
// and what others reported. Reports expire, so that the estimate errs low.
func (c *Coordinator) total(pool string) float64 {
	load, own := c.poolLoad(pool), c.ownLoad(pool)
	now := time.Now()
	if c.isHub(pool) {
		return float64(own + c.othersLoad(load, now))
	}
	if now.Sub(load.totalAt) > c.Policy.ReportExpiry {
		return float64(own)
	}
	return float64(max(own, load.total-load.reported+own))
}

func (c *Coordinator) isHub(pool string) bool {
	t := c.topology[pool]
	return t != nil && t.hub == c.Self
}

// ownLoad counts the slots of the pool's engines that this router owns.
func (c *Coordinator) ownLoad(pool string) int {
	sum := 0
	for _, o := range c.owned {
		if o.pool == pool {
			sum += len(o.leases)
		}
	}
	return sum
}

// othersLoad adds up the reports on engines that this router does not own.
func (c *Coordinator) othersLoad(load *poolLoad, now time.Time) int {
	sum := 0
	for engine, l := range load.engines {
		if now.Sub(l.at) > c.Policy.ReportExpiry {
			delete(load.engines, engine)
			continue
		}
		if c.owned[engine] == nil {
			sum += l.inFlight
		}
	}
	return sum
}

// holds tells whether requests wait at engines of the pool that this router
// owns.
func (c *Coordinator) holds(pool string) bool {
	for _, o := range c.owned {
		if o.pool == pool && o.queue.len() > 0 {
			return true
		}
	}
	return false
}

// pressed tells whether requests wait for the pool's limit to rise, here or,
// as was said lately, elsewhere.
func (c *Coordinator) pressed(pool string, load *poolLoad, now time.Time) bool {
	return now.Sub(load.pressedAt) < c.Policy.ReportGap ||
		now.Sub(load.groupPressedAt) < c.Policy.ReportGap || c.holds(pool)
}

// worthReporting tells whether a load differs enough from what was told.
func (c *Coordinator) worthReporting(now, before int, pressed bool) bool {
	change := math.Abs(float64(now - before))
	if pressed {
		return change >= 1
	}
	return change >= max(1, c.Policy.ReportChange*float64(before))
}

func (c *Coordinator) gap(pressed bool) time.Duration {
	if pressed {
		return c.Policy.PressedGap
	}
	return c.Policy.ReportGap
}

// changed has the pool's load reported if it changed enough, as soon as the
// gap between reports allows.
func (c *Coordinator) changed(pool string) {
	load, now := c.poolLoad(pool), time.Now()
	pressed := c.pressed(pool, load, now)
	if c.isHub(pool) {
		if load.passing == nil && c.worthReporting(int(c.total(pool)), load.passedOn, pressed) {
			due := load.passedOnAt.Add(c.gap(pressed))
			load.passing = time.AfterFunc(due.Sub(now), func() { c.locked(func() { c.passOn(pool, load, false) }) })
		}
		return
	}
	if load.reporting == nil && c.worthReporting(c.ownLoad(pool), load.reported, pressed) {
		due := load.reportedAt.Add(c.gap(pressed))
		load.reporting = time.AfterFunc(due.Sub(now), func() { c.locked(func() { c.report(pool, load) }) })
	}
}

// refresh reports without a change, so that reports do not expire.
func (c *Coordinator) refresh(pool string, now time.Time) {
	load := c.poolLoad(pool)
	if c.isHub(pool) {
		if now.Sub(load.passedOnAt) >= c.Policy.RefreshEvery {
			c.passOn(pool, load, true)
		}
		return
	}
	if now.Sub(load.reportedAt) >= c.Policy.RefreshEvery {
		c.report(pool, load)
	}
}

func (c *Coordinator) pumpPool(pool string) {
	for _, o := range c.owned {
		if o.pool == pool {
			c.pump(o)
		}
	}
}
