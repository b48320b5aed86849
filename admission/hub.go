package admission

import (
	"slices"
	"time"

	"github.com/slipwick/slipwick/peer/peerpb"
)

// onLoad handles a load report from a member of this hub's group or from another hub.
func (c *Coordinator) onLoad(from string, message *peerpb.PoolLoad) {
	pool := message.GetPool()
	load, t, now := c.poolLoad(pool), c.topology[pool], time.Now()
	direct := t == nil || !slices.Contains(t.hubs, from)
	for _, e := range message.GetEngines() {
		known := load.engines[e.GetEngine()]
		if known != nil && known.sequence > e.GetSequence() && now.Sub(known.receivedAt) < c.Policy.ReportExpiry {
			continue
		}
		load.engines[e.GetEngine()] = &engineLoad{
			inFlight:   int(e.GetInFlight()),
			sequence:   e.GetSequence(),
			receivedAt: now,
			direct:     direct,
		}
	}
	switch {
	case message.GetPressed() && direct:
		load.groupPressedAt = now
	case message.GetPressed():
		load.pressedAt = now
	}
	c.scheduleReport(pool)
	c.grantQueuedInPool(pool)
}

// broadcastLoad sends the pool's total to the members of the group, and the loads of the group's
// backend servers to the other hubs: those that changed or, if full, all of them.
func (c *Coordinator) broadcastLoad(pool string, load *poolLoad, full bool) {
	load.nextBroadcast.cancel()
	if !c.isHub(pool) {
		return
	}
	t, now := c.topology[pool], time.Now()
	load.broadcastTotal, load.broadcastAt = c.knownTotal(pool), now
	load.trend.update(load.broadcastTotal, now)
	if full {
		load.fullBroadcastAt = now
	}
	for _, member := range t.members {
		envelope := c.outbox.envelopeFor(member)
		envelope.Totals = append(envelope.Totals, &peerpb.PoolTotal{
			Pool:     pool,
			InFlight: uint32(load.broadcastTotal),
			Pressed:  c.isPressed(pool, load, now),
		})
	}
	group := c.groupLoad(pool, load)
	if len(t.hubs) < 2 || (!full && !c.isSignificant(group, load.forwardedLoad, c.isPressed(pool, load, now))) {
		return
	}
	load.forwardedLoad = group
	message := &peerpb.PoolLoad{
		Pool:    pool,
		Engines: c.groupReports(pool, load, now, full),
		Pressed: c.hasQueuePressure(pool) || now.Sub(load.groupPressedAt) < c.Policy.MinReportInterval ||
			c.isFallingFast(load),
	}
	if len(message.GetEngines()) == 0 {
		return
	}
	for _, hub := range t.hubs {
		if hub != c.Self {
			envelope := c.outbox.envelopeFor(hub)
			envelope.Loads = append(envelope.Loads, message)
		}
	}
}

// groupLoad returns the number of slots held of the group's backend servers.
func (c *Coordinator) groupLoad(pool string, load *poolLoad) int {
	sum := c.ownLoad(pool)
	for engine, l := range load.engines {
		if l.direct && c.owned[engine] == nil {
			sum += l.inFlight
		}
	}
	return sum
}

// groupReports returns the loads of the group's backend servers that changed since they were last
// sent to the other hubs or, if full, all of them.
func (c *Coordinator) groupReports(pool string, load *poolLoad, now time.Time, full bool) []*peerpb.EngineLoad {
	var loads []*peerpb.EngineLoad
	for _, o := range c.owned {
		if o.pool == pool && (full || o.reported != len(o.leases)) {
			loads = append(loads, o.loadReport(now))
		}
	}
	for engine, l := range load.engines {
		if !l.direct || c.owned[engine] != nil || (l.forwarded && !full) {
			continue
		}
		l.forwarded = true
		loads = append(loads, &peerpb.EngineLoad{
			Engine:   engine,
			InFlight: uint32(l.inFlight),
			Sequence: l.sequence,
		})
	}
	return loads
}
