package admission

import (
	"time"

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

// onRenewal adds or extends leases for the slots that a router holds.
func (c *Coordinator) onRenewal(from string, renewal *peerpb.SlotRenewal) {
	o := c.owned[renewal.GetEngine()]
	if o == nil {
		return
	}
	expires := time.Now().Add(c.Policy.LeaseTime)
	for _, s := range renewal.GetSlots() {
		o.addLease(leaseKey{
			router: from,
			id:     s.GetId(),
		}, s.GetWorkspace(), expires, false)
	}
	c.scheduleReport(o.pool)
}

// HandleRouterFailure handles the failure of a router. It drops the router's queued requests and
// shortens its leases to OrphanLeaseTime: the router's connections are broken, and backend servers
// cancel requests whose response nobody reads.
func (c *Coordinator) HandleRouterFailure(router string) {
	c.withLock(func() {
		expires := time.Now().Add(c.Policy.OrphanLeaseTime)
		for _, o := range c.owned {
			for key, l := range o.leases {
				if key.router == router && l.expires.After(expires) {
					l.expires = expires
					o.leases[key] = l
				}
			}
			for i := o.queue.len() - 1; i >= 0; i-- {
				if o.queue.requests[i].key.router == router {
					o.queue.remove(i, false)
				}
			}
		}
	})
}
