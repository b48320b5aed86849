package admission

import (
	"time"

	"github.com/slipwick/slipwick/peer/peerpb"
)

// slot is one slot that this router holds.
type slot struct {
	engine    uint64
	workspace string
	since     time.Time
	// local says that no owner granted it.
	local bool
}

// renew renews, at the engines' owners, the slots that are due.
func (c *Coordinator) renew(now time.Time) {
	if now.Sub(c.renewedAt) < c.Policy.RenewEvery {
		return
	}
	c.renewedAt = now
	c.renewSlots(func(s *slot) bool { return now.Sub(s.since) >= c.Policy.RenewEvery })
}

// renewSlots tells owners of the slots chosen that this router holds.
func (c *Coordinator) renewSlots(chosen func(*slot) bool) {
	renewals := make(map[uint64]*peerpb.SlotRenewal)
	for id, s := range c.slots {
		if !chosen(s) {
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
		envelope := c.outbox.to(c.ownerOf(engine))
		envelope.Renewals = append(envelope.Renewals, renewal)
	}
}

// onRenewal counts the slots that a router says it holds.
func (c *Coordinator) onRenewal(from string, renewal *peerpb.SlotRenewal) {
	o := c.owned[renewal.GetEngine()]
	if o == nil {
		return
	}
	expires := time.Now().Add(c.Policy.LeaseTime)
	for _, s := range renewal.GetSlots() {
		o.add(leaseKey{
			router: from,
			id:     s.GetId(),
		}, s.GetWorkspace(), expires, false)
	}
	c.changed(o.pool)
}

// RouterGone shortens the leases of a router that died: its connections broke,
// and engines cancel what nobody reads.
func (c *Coordinator) RouterGone(router string) {
	c.locked(func() {
		expires := time.Now().Add(c.Policy.OrphanTime)
		for _, o := range c.owned {
			for key, l := range o.leases {
				if key.router == router && l.expires.After(expires) {
					l.expires = expires
					o.leases[key] = l
				}
			}
			for i := o.queue.len() - 1; i >= 0; i-- {
				if o.queue.held[i].key.router == router {
					o.queue.take(i, false)
				}
			}
		}
	})
}
