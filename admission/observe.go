package admission

import (
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/peer/peerpb"
	"github.com/slipwick/slipwick/placement"
)

// Observe takes evidence on an owned engine from probing it.
func (c *Coordinator) Observe(backend string, evidence slipwick.Evidence) {
	c.locked(func() {
		if o := c.owned[placement.IDHash(backend)]; o != nil {
			c.observe(o, evidence)
		}
	})
}

// observe counts evidence on an engine and acts on it.
func (c *Coordinator) observe(o *owned, evidence slipwick.Evidence) {
	if evidence == slipwick.EvidenceLeaving {
		c.leaving(o)
		return
	}
	if o.health.observe(evidence, c.Policy.EjectAfter, time.Now()) && c.maySpare(o) {
		c.eject(o)
	}
}

// leaving stops the engine's grants for good.
func (c *Coordinator) leaving(o *owned) {
	if o.health.state == HealthLeaving {
		return
	}
	o.health.state = HealthLeaving
	c.clearQueue(o, peerpb.Decision_DECISION_MOVE_ON)
	c.OnHealth(o.backend.ID, HealthLeaving)
}

// maySpare tells whether the pool can do without the engine: one other has to
// be left, and no more than half of the pool may be out.
func (c *Coordinator) maySpare(o *owned) bool {
	place, ok := c.view.Place(o.engine)
	if !ok {
		return false
	}
	others := len(place.Pool.Usable)
	if place.MayGetWork() {
		others--
	}
	return others >= 1 && 2*others >= len(place.Pool.Backends)-1
}

func (c *Coordinator) eject(o *owned) {
	length := o.health.eject(&c.Policy, time.Now())
	c.clearQueue(o, peerpb.Decision_DECISION_MOVE_ON)
	c.OnHealth(o.backend.ID, HealthEjected)
	c.restoreAfter(o, length)
}

// restoreAfter lets an engine that is out return, if it may by then: one may be ejected
// and rest for different times.
func (c *Coordinator) restoreAfter(o *owned, length time.Duration) {
	time.AfterFunc(length, func() {
		c.locked(func() {
			now := time.Now()
			if c.owned[o.engine] != o || o.health.state != HealthEjected ||
				now.Before(o.health.until) || now.Before(o.restUntil) {
				return
			}
			o.health.restore(c.Policy.SlowReturn, now)
			c.OnHealth(o.backend.ID, HealthGood)
		})
	})
}

// reportsLag is for how long an engine's answers that say that it leaves go before its
// load reports, which are read every second and may be from before.
const reportsLag = 3 * time.Second

// Stays takes an owned engine's word that it is not, or no longer, leaving.
func (c *Coordinator) Stays(backend string) {
	c.locked(func() {
		o := c.owned[placement.IDHash(backend)]
		if o == nil || o.health.state != HealthLeaving || time.Since(o.saidLeaving) < reportsLag {
			return
		}
		o.health.restore(c.Policy.SlowReturn, time.Now())
		c.OnHealth(o.backend.ID, HealthGood)
	})
}
