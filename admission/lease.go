package admission

import (
	"time"

	"github.com/slipwick/slipwick/peer/peerpb"
)

// leaseKey identifies a slot in the fleet: the router that holds it and the router's request ID.
type leaseKey struct {
	router string
	id     uint64
}

// lease is an owner's record of a slot that is held: granted by the owner itself, or learned from a
// handover or renewal.
type lease struct {
	workspace string
	expires   time.Time
	// inWindow is true if this owner granted the slot in its takeover window.
	inWindow bool
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

// expireLeases removes the leases that were not renewed in time.
func (c *Coordinator) expireLeases(o *ownedBackend, now time.Time) {
	for key, l := range o.leases {
		if now.After(l.expires) {
			o.removeLease(key)
			c.scheduleReport(o.pool)
		}
	}
	c.grantQueued(o)
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
