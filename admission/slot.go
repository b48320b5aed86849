package admission

import (
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/peer/peerpb"
)

// slot is this router's record of a slot that it holds; the owner's record of it is a lease.
type slot struct {
	engine    uint64
	workspace string
	// since is when the slot was granted.
	since time.Time
	// local is true if this router granted itself the slot without the owner.
	local bool
}

// renewDue renews, every RenewInterval, the slots that have been held for at least that long.
func (c *Coordinator) renewDue(now time.Time) {
	if now.Sub(c.renewedAt) < c.Policy.RenewInterval {
		return
	}
	c.renewedAt = now
	c.renewSlots(func(s *slot) bool { return now.Sub(s.since) >= c.Policy.RenewInterval })
}

// renewSlots renews the slots that match, at the owners of their backend servers.
func (c *Coordinator) renewSlots(match func(*slot) bool) {
	renewals := make(map[uint64]*peerpb.SlotRenewal)
	for id, s := range c.slots {
		if !match(s) {
			continue
		}
		renewal := renewals[s.engine]
		if renewal == nil {
			renewal = &peerpb.SlotRenewal{
				Engine: s.engine,
			}
			renewals[s.engine] = renewal
		}
		renewal.Slots = append(renewal.Slots, &peerpb.Slot{
			Id:        id,
			Workspace: s.workspace,
		})
	}
	for engine, renewal := range renewals {
		envelope := c.outbox.envelopeFor(c.ownerOf(engine))
		envelope.Renewals = append(envelope.Renewals, renewal)
	}
}

// Release returns a slot to the owner of its backend server, with the evidence of how the request
// went. It does nothing if the slot is not held, for example because it was released before.
func (c *Coordinator) Release(grant slipwick.Grant, evidence slipwick.Evidence) {
	c.withLock(func() {
		held := c.slots[grant.ID]
		if held == nil {
			return
		}
		delete(c.slots, grant.ID)
		c.sendRelease(c.ownerOf(held.engine), held.engine, grant.ID, evidence)
	})
}

// sendRelease reports to the owner that a slot is free again, or that a queued request no longer
// waits.
func (c *Coordinator) sendRelease(owner string, engine, id uint64, evidence slipwick.Evidence) {
	envelope := c.outbox.envelopeFor(owner)
	envelope.Releases = append(envelope.Releases, &peerpb.SlotRelease{
		Engine:   engine,
		Id:       id,
		Evidence: uint32(evidence),
	})
}
