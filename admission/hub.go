package admission

import (
	"slices"
	"time"

	"github.com/slipwick/slipwick/peer/peerpb"
)

// onLoad takes a report of a member or of another hub.
func (c *Coordinator) onLoad(from string, message *peerpb.PoolLoad) {
	pool := message.GetPool()
	load, t, now := c.poolLoad(pool), c.topology[pool], time.Now()
	direct := t == nil || !slices.Contains(t.hubs, from)
	for _, e := range message.GetEngines() {
		known := load.engines[e.GetEngine()]
		if known != nil && known.sequence > e.GetSequence() && now.Sub(known.at) < c.Policy.ReportExpiry {
			continue
		}
		load.engines[e.GetEngine()] = &engineLoad{
			inFlight: int(e.GetInFlight()),
			sequence: e.GetSequence(),
			at:       now,
			direct:   direct,
		}
	}
	switch {
	case message.GetPressed() && direct:
		load.groupPressedAt = now
	case message.GetPressed():
		load.pressedAt = now
	}
	c.changed(pool)
	c.pumpPool(pool)
}

// passOn tells the group the pool's total, and the other hubs what is new of
// this group, or all of it.
func (c *Coordinator) passOn(pool string, load *poolLoad, all bool) {
	load.passing = nil
	if !c.isHub(pool) {
		return
	}
	t, now := c.topology[pool], time.Now()
	load.passedOn, load.passedOnAt = c.known(pool), now
	load.trend.note(load.passedOn, now)
	if all {
		load.refreshedAt = now
	}
	for _, member := range t.members {
		envelope := c.outbox.to(member)
		envelope.Totals = append(envelope.Totals, &peerpb.PoolTotal{
			Pool:     pool,
			InFlight: uint32(load.passedOn),
			Pressed:  c.pressed(pool, load, now),
		})
	}
	group := c.groupLoad(pool, load)
	if len(t.hubs) < 2 || (!all && !c.worthReporting(group, load.forwarded, c.pressed(pool, load, now))) {
		return
	}
	load.forwarded = group
	message := &peerpb.PoolLoad{
		Pool:    pool,
		Engines: c.groupLoads(pool, load, now, all),
		Pressed: c.holds(pool) || now.Sub(load.groupPressedAt) < c.Policy.ReportGap || c.falling(load),
	}
	if len(message.GetEngines()) == 0 {
		return
	}
	for _, hub := range t.hubs {
		if hub != c.Self {
			envelope := c.outbox.to(hub)
			envelope.Loads = append(envelope.Loads, message)
		}
	}
}

// groupLoad counts the slots of the group's engines.
func (c *Coordinator) groupLoad(pool string, load *poolLoad) int {
	sum := c.ownLoad(pool)
	for engine, l := range load.engines {
		if l.direct && c.owned[engine] == nil {
			sum += l.inFlight
		}
	}
	return sum
}

// groupLoads lists the loads of the group's engines that the other hubs were
// not told, or all of them.
func (c *Coordinator) groupLoads(pool string, load *poolLoad, now time.Time, all bool) []*peerpb.EngineLoad {
	var loads []*peerpb.EngineLoad
	for _, o := range c.owned {
		if o.pool == pool && (all || o.reported != len(o.leases)) {
			loads = append(loads, o.load(now))
		}
	}
	for engine, l := range load.engines {
		if !l.direct || c.owned[engine] != nil || (l.forwarded && !all) {
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
