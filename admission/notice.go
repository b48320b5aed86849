package admission

import (
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/peer/peerpb"
	"github.com/slipwick/slipwick/placement"
)

// Noticed takes what a backend server said of itself in an answer to this router. Its
// owner, which grants its slots to all routers, is told.
func (c *Coordinator) Noticed(backend string, notice slipwick.Notice) {
	if !notice.Leaving && notice.Rest <= 0 {
		return
	}
	c.locked(func() {
		engine := placement.IDHash(backend)
		owner := c.ownerOf(engine)
		if owner == "" {
			return
		}
		envelope := c.outbox.to(owner)
		envelope.Notices = append(envelope.Notices, &peerpb.BackendNotice{
			Engine:  engine,
			Leaving: notice.Leaving,
			RestMs:  uint32(min(notice.Rest, maxRest).Milliseconds()),
		})
	})
}

// maxRest bounds the rest that an owner takes for true; it fits the message.
const maxRest = 10 * time.Minute

// onNotice takes what an owned engine said.
func (c *Coordinator) onNotice(notice *peerpb.BackendNotice) {
	o := c.owned[notice.GetEngine()]
	if o == nil {
		return
	}
	if notice.GetLeaving() {
		o.saidLeaving = time.Now()
		c.leaving(o)
	}
	if rest := min(time.Duration(notice.GetRestMs())*time.Millisecond, maxRest); rest > 0 {
		c.rest(o, rest)
	}
}

// rest keeps an engine without requests for a while, as the last one left too. All routers
// count it as out: else the others of its pool would be held to a part of its load, and
// requests wait for what it does not carry.
func (c *Coordinator) rest(o *owned, length time.Duration) {
	until := time.Now().Add(length)
	if !until.After(o.restUntil) {
		return
	}
	o.restUntil = until
	if o.health.state == HealthGood {
		o.health.state = HealthEjected
		c.clearQueue(o, peerpb.Decision_DECISION_MOVE_ON)
		c.OnHealth(o.backend.ID, HealthEjected)
	}
	c.restoreAfter(o, length)
}
