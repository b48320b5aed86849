package admission

import (
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/peer/peerpb"
	"github.com/slipwick/slipwick/placement"
)

// RecordProbeResult records the evidence from probing a backend server. It does nothing unless this
// router owns the backend server.
func (c *Coordinator) RecordProbeResult(backend string, evidence slipwick.Evidence) {
	c.withLock(func() {
		if o := c.owned[placement.IDHash(backend)]; o != nil {
			c.recordEvidence(o, evidence)
		}
	})
}

// recordEvidence records evidence on an owned backend server and ejects it or marks it as leaving
// if required.
func (c *Coordinator) recordEvidence(o *ownedBackend, evidence slipwick.Evidence) {
	if evidence == slipwick.EvidenceLeaving {
		c.markLeaving(o)
		return
	}
	if o.health.recordEvidence(evidence, c.Policy.EjectAfter, time.Now()) && c.canEject(o) {
		c.eject(o)
	}
}

// markLeaving stops grants at the backend server until ClearLeaving is called for it.
func (c *Coordinator) markLeaving(o *ownedBackend) {
	if o.health.state == HealthLeaving {
		return
	}
	o.health.state = HealthLeaving
	c.flushQueue(o, peerpb.Decision_DECISION_MOVE_ON)
	c.OnHealth(o.backend.ID, HealthLeaving)
}

// canEject reports whether the pool can do without the backend server: at least one other must stay
// usable, and at most half of the pool, rounded up, may be unusable.
func (c *Coordinator) canEject(o *ownedBackend) bool {
	location, ok := c.view.Locate(o.engine)
	if !ok {
		return false
	}
	others := len(location.Pool.Usable)
	if location.IsUsable() {
		others--
	}
	return others >= 1 && 2*others >= len(location.Pool.Backends)-1
}

// eject stops grants at the backend server for a time that grows with each ejection.
func (c *Coordinator) eject(o *ownedBackend) {
	duration := o.health.eject(&c.Policy, time.Now())
	c.flushQueue(o, peerpb.Decision_DECISION_MOVE_ON)
	c.OnHealth(o.backend.ID, HealthEjected)
	c.restoreAfter(o, duration)
}

// restoreAfter restores the backend server after the given time, unless an ejection or a pause that
// ends later is in force by then.
func (c *Coordinator) restoreAfter(o *ownedBackend, duration time.Duration) {
	time.AfterFunc(duration, func() {
		c.withLock(func() {
			now := time.Now()
			if c.owned[o.engine] != o || o.health.state != HealthEjected ||
				now.Before(o.health.ejectedUntil) || now.Before(o.pausedUntil) {
				return
			}
			o.health.restore(c.Policy.RampUpTime, now)
			c.OnHealth(o.backend.ID, HealthGood)
		})
	})
}

// backendReportLag is the time for which a leaving announcement in a response takes precedence over
// the backend server's own load reports: routers read those every second, and they may be older than
// the response.
const backendReportLag = 3 * time.Second

// ClearLeaving is called when a backend server's own load report says that it is not, or no longer,
// leaving. An owned one is restored, once no ejection or pause is in force, unless it announced in a
// response shortly before that it leaves.
func (c *Coordinator) ClearLeaving(backend string) {
	c.withLock(func() {
		o := c.owned[placement.IDHash(backend)]
		if o == nil || o.health.state != HealthLeaving || time.Since(o.lastLeavingAt) < backendReportLag {
			return
		}
		now := time.Now()
		until := o.health.ejectedUntil
		if o.pausedUntil.After(until) {
			until = o.pausedUntil
		}
		if now.Before(until) {
			o.health.state = HealthEjected
			c.OnHealth(o.backend.ID, HealthEjected)
			c.restoreAfter(o, until.Sub(now))
			return
		}
		o.health.restore(c.Policy.RampUpTime, now)
		c.OnHealth(o.backend.ID, HealthGood)
	})
}
