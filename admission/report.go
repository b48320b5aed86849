package admission

import (
	"time"

	"github.com/slipwick/slipwick/peer/peerpb"
)

// report tells the hub the load of this router's engines.
func (c *Coordinator) report(pool string, load *poolLoad) {
	load.reporting = nil
	t := c.topology[pool]
	if t == nil || t.hub == "" || t.hub == c.Self {
		return
	}
	load.reported, load.reportedAt = c.ownLoad(pool), time.Now()
	message := &peerpb.PoolLoad{
		Pool:    pool,
		Pressed: c.holds(pool),
	}
	for _, o := range c.owned {
		if o.pool == pool {
			message.Engines = append(message.Engines, o.load(load.reportedAt))
		}
	}
	envelope := c.outbox.to(t.hub)
	envelope.Loads = append(envelope.Loads, message)
}

// load is the engine's load as reports have it.
func (o *owned) load(now time.Time) *peerpb.EngineLoad {
	o.reported = len(o.leases)
	return &peerpb.EngineLoad{
		Engine:   o.engine,
		InFlight: uint32(o.reported),
		Sequence: uint64(now.UnixMilli()),
	}
}

// onTotal takes the pool's total from the hub.
func (c *Coordinator) onTotal(message *peerpb.PoolTotal) {
	load := c.poolLoad(message.GetPool())
	load.total, load.totalAt = int(message.GetInFlight()), time.Now()
	load.trend.note(load.total, load.totalAt)
	if message.GetPressed() {
		load.pressedAt = load.totalAt
	}
	c.pumpPool(message.GetPool())
}
