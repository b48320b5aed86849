package admission

import (
	"time"

	"github.com/slipwick/slipwick/peer/peerpb"
)

// sendReport reports the loads of this router's backend servers of the pool to the hub of its group.
func (c *Coordinator) sendReport(pool string, load *poolLoad) {
	load.reportTimer = nil
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
