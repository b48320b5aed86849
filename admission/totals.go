package admission

import (
	"math"
	"time"
)

// total estimates how many slots of the pool are held, for the limit. What is
// known is some tenths of a second old; a falling total has fallen on since.
func (c *Coordinator) total(pool string) float64 {
	load := c.poolLoad(pool)
	return float64(c.known(pool)) * (1 - load.trend.fall(c.Policy.ReportLag))
}

// falling tells whether the pool's load falls fast: then reports are due as
// soon as when requests wait, as too high an estimate breaks the limit.
func (c *Coordinator) falling(load *poolLoad) bool {
	return load.trend.fall(time.Second) > c.Policy.FastFall
}

// known is how many slots of the pool are held: this router's own count and
// what others reported. Reports expire, so that it errs low.
func (c *Coordinator) known(pool string) int {
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

func (c *Coordinator) isHub(pool string) bool {
	t := c.topology[pool]
	return t != nil && t.hub == c.Self
}

// ownLoad counts the slots of the pool's usable engines that this router owns.
func (c *Coordinator) ownLoad(pool string) int {
	sum := 0
	for engine, o := range c.owned {
		if o.pool == pool && c.counts(engine) {
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
		if c.owned[engine] == nil && c.counts(engine) {
			sum += l.inFlight
		}
	}
	return sum
}

// counts tells whether an engine's load is part of the pool's mean: that of
// engines without new work is not.
func (c *Coordinator) counts(engine uint64) bool {
	place, ok := c.view.Place(engine)
	return ok && place.MayGetWork()
}

// holds tells whether requests wait, at engines of the pool that this router
// owns, in such number that the pool's load must be rising: a few wait at any
// time for a slot to be released.
func (c *Coordinator) holds(pool string) bool {
	held := 0
	for _, o := range c.owned {
		if o.pool == pool {
			held += o.queue.len()
		}
	}
	return float64(held) > 1+c.Policy.HeldShare*float64(c.ownLoad(pool))
}

// pressed tells whether requests wait for the pool's limit to rise, here or,
// as was said lately, elsewhere.
func (c *Coordinator) pressed(pool string, load *poolLoad, now time.Time) bool {
	recent := c.Policy.ReportGap
	return now.Sub(load.pressedAt) < recent || now.Sub(load.groupPressedAt) < recent ||
		c.falling(load) || c.holds(pool)
}

// worthReporting tells whether a load differs enough from what was told. A
// fall counts sooner than a rise: too high an estimate breaks the limit, too
// low a one only makes requests wait or move.
func (c *Coordinator) worthReporting(now, before int, pressed bool) bool {
	share := c.Policy.RiseChange
	switch {
	case pressed:
		share = c.Policy.PressedChange
	case now < before:
		share = c.Policy.FallChange
	}
	return math.Abs(float64(now-before)) >= max(1, share*float64(before))
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
		if load.passing == nil && c.worthPassing(pool, load, pressed) {
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

// worthPassing tells whether a hub has news for its group or the other hubs.
func (c *Coordinator) worthPassing(pool string, load *poolLoad, pressed bool) bool {
	t := c.topology[pool]
	if len(t.members) > 0 && c.worthReporting(c.known(pool), load.passedOn, pressed) {
		return true
	}
	return len(t.hubs) > 1 && c.worthReporting(c.groupLoad(pool, load), load.forwarded, pressed)
}

// refresh reports without a change, so that reports do not expire.
func (c *Coordinator) refresh(pool string, now time.Time) {
	load := c.poolLoad(pool)
	if c.isHub(pool) {
		if now.Sub(load.refreshedAt) >= c.Policy.RefreshEvery {
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

// Total gives the router's estimate of how many slots of the pool are held. It
// is exact for the engines that the router owns.
func (c *Coordinator) Total(pool string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.view == nil {
		return 0
	}
	return c.known(pool)
}
