package admission

import (
	"math"
	"time"

	"github.com/slipwick/slipwick/peer/peerpb"
)

// sendReport reports the loads of this router's backend servers of the pool to the hub of its group.
func (c *Coordinator) sendReport(pool string, load *poolLoad) {
	load.nextReport.cancel()
	t := c.topology[pool]
	if t == nil || t.hub == "" || t.hub == c.Self {
		return
	}
	load.reported, load.reportedAt = c.ownLoad(pool), time.Now()
	message := &peerpb.PoolLoad{
		Pool:    pool,
		Pressed: c.hasQueuePressure(pool),
	}
	for _, o := range c.owned {
		if o.pool == pool {
			message.Engines = append(message.Engines, o.loadReport(load.reportedAt))
		}
	}
	envelope := c.outbox.envelopeFor(t.hub)
	envelope.Loads = append(envelope.Loads, message)
}

// loadReport returns the backend server's load for a report and records it as reported.
func (o *ownedBackend) loadReport(now time.Time) *peerpb.EngineLoad {
	o.reported = len(o.leases)
	return &peerpb.EngineLoad{
		Engine:   o.engine,
		InFlight: uint32(o.reported),
		Sequence: uint64(now.UnixMilli()),
	}
}

// onTotal handles the pool's total from the hub.
func (c *Coordinator) onTotal(message *peerpb.PoolTotal) {
	load := c.poolLoad(message.GetPool())
	load.total, load.totalAt = int(message.GetInFlight()), time.Now()
	load.trend.update(load.total, load.totalAt)
	if message.GetPressed() {
		load.pressedAt = load.totalAt
	}
	c.grantQueuedInPool(message.GetPool())
}

// isSignificant reports whether a load differs enough from the one reported before to be reported.
// The threshold is lower for a decrease: an estimate that is too high lets owners exceed the limit,
// while one that is too low only makes requests wait or try elsewhere.
func (c *Coordinator) isSignificant(current, previous int, pressed bool) bool {
	threshold := c.Policy.RiseChange
	switch {
	case pressed:
		threshold = c.Policy.PressedChange
	case current < previous:
		threshold = c.Policy.FallChange
	}
	return math.Abs(float64(current-previous)) >= max(1, threshold*float64(previous))
}

// minReportInterval returns the minimum interval between two reports of a pool. Falls are reported as soon
// as loads under pressure: the next owner that grants a slot by a total that is too high exceeds the limit.
// The threshold for falls keeps such reports few.
func (c *Coordinator) minReportInterval(pressed, fell bool) time.Duration {
	if pressed || fell {
		return c.Policy.PressedReportInterval
	}
	return c.Policy.MinReportInterval
}

// scheduleReport schedules a report of the pool's load if it changed significantly, for as soon as the
// minimum interval allows. If a report is scheduled for later, it is sent at that time instead.
func (c *Coordinator) scheduleReport(pool string) {
	load := c.poolLoad(pool)
	pressed := c.isPressed(pool, load, time.Now())
	if c.isHub(pool) {
		if isDue, fell := c.shouldBroadcast(pool, load, pressed); isDue {
			load.nextBroadcast.schedule(load.broadcastAt.Add(c.minReportInterval(pressed, fell)), func() {
				c.withLock(func() { c.broadcastLoad(pool, load, false) })
			})
		}
		return
	}
	if current := c.ownLoad(pool); c.isSignificant(current, load.reported, pressed) {
		due := load.reportedAt.Add(c.minReportInterval(pressed, current < load.reported))
		load.nextReport.schedule(due, func() { c.withLock(func() { c.sendReport(pool, load) }) })
	}
}

// shouldBroadcast reports whether the load changed significantly for the hub's group or for the
// other hubs, and whether it fell for one of them.
func (c *Coordinator) shouldBroadcast(pool string, load *poolLoad, pressed bool) (isDue, fell bool) {
	t := c.topology[pool]
	if total := c.knownTotal(pool); len(t.members) > 0 && c.isSignificant(total, load.broadcastTotal, pressed) {
		isDue, fell = true, total < load.broadcastTotal
	}
	if group := c.groupLoad(pool, load); len(t.hubs) > 1 && c.isSignificant(group, load.forwardedLoad, pressed) {
		isDue, fell = true, fell || group < load.forwardedLoad
	}
	return isDue, fell
}

// refreshReport repeats the report or broadcast of an unchanged load before it expires.
func (c *Coordinator) refreshReport(pool string, now time.Time) {
	load := c.poolLoad(pool)
	if c.isHub(pool) {
		if now.Sub(load.fullBroadcastAt) >= c.Policy.RefreshInterval {
			c.broadcastLoad(pool, load, true)
		}
		return
	}
	if now.Sub(load.reportedAt) >= c.Policy.RefreshInterval {
		c.sendReport(pool, load)
	}
}
