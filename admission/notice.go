package admission

import (
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/peer/peerpb"
	"github.com/slipwick/slipwick/placement"
)

// ForwardNotice forwards what a backend server announced in a response to this router to the
// server's owner, since the owner grants its slots to all routers.
func (c *Coordinator) ForwardNotice(backend string, notice slipwick.Notice) {
	if !notice.Leaving && notice.Pause <= 0 {
		return
	}
	c.withLock(func() {
		engine := placement.IDHash(backend)
		owner := c.ownerOf(engine)
		if owner == "" {
			return
		}
		envelope := c.outbox.envelopeFor(owner)
		envelope.Notices = append(envelope.Notices, &peerpb.BackendNotice{
			Engine:  engine,
			Leaving: notice.Leaving,
			RestMs:  uint32(min(notice.Pause, maxPause).Milliseconds()),
		})
	})
}

// maxPause limits the pause, without new requests, that a backend server may ask for. In
// milliseconds it fits the uint32 field rest_ms of the message.
const maxPause = 10 * time.Minute

// onNotice handles an announcement of an owned backend server.
func (c *Coordinator) onNotice(notice *peerpb.BackendNotice) {
	o := c.owned[notice.GetEngine()]
	if o == nil {
		return
	}
	if notice.GetLeaving() {
		o.lastLeavingAt = time.Now()
		c.markLeaving(o)
	}
	if pause := min(time.Duration(notice.GetRestMs())*time.Millisecond, maxPause); pause > 0 {
		c.setPause(o, pause)
	}
}

// setPause stops grants for the duration, even if the backend server is the last usable one of its
// pool, unless a pause that ends later is in force. The backend server is reported as ejected, so
// that all routers take it out of the pool's mean load: otherwise the other backend servers of the
// pool would be limited to a part of the load, and requests would wait for capacity that the paused
// one does not provide.
func (c *Coordinator) setPause(o *ownedBackend, duration time.Duration) {
	until := time.Now().Add(duration)
	if !until.After(o.pausedUntil) {
		return
	}
	o.pausedUntil = until
	if o.health.state == HealthGood {
		o.health.state = HealthEjected
		c.flushQueue(o, peerpb.Decision_DECISION_MOVE_ON)
		c.OnHealth(o.backend.ID, HealthEjected)
	}
	c.restoreAfter(o, duration)
}
