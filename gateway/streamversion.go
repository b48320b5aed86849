package gateway

import "github.com/slipwick/slipwick/balance"

// beginEvents is called before events of a send are forwarded. The first events of a stream bind it to their
// server's version of the software, as servers of other versions cannot continue it and don't check that.
func (c *call) beginEvents(lease *balance.Lease) {
	if !c.eventsBegun {
		c.bindToVersion(lease)
	}
	c.noteOrigin()
}

// bindToVersion binds the request to the version of the server whose events are about to be forwarded.
func (c *call) bindToVersion(lease *balance.Lease) {
	c.eventsBegun = true
	c.selection.Version, c.selection.HasVersion = lease.Version, true
	origin := c.origin
	if c.progress.headWritten {
		origin = OriginForwarded
	}
	if c.progress.headWritten || c.progress.isTakenUp {
		c.gateway.Observer.StreamContinued(&ContinuedStream{
			RequestID:      c.id,
			Resumes:        c.resumes,
			Pool:           c.pool,
			Backend:        lease.Backend.ID,
			Version:        lease.Version,
			Origin:         origin,
			IsSameResponse: c.progress.headWritten,
		})
	}
}

// takeNextLease returns the lease that was acquired during the last send, or nil. One that was acquired before the
// stream had a version is given back if it is of another one.
func (c *call) takeNextLease() *balance.Lease {
	if c.nextLease != nil && c.selection.HasVersion && c.nextLease.Version != c.selection.Version {
		c.abandonNextLease()
	}
	lease := c.nextLease
	c.nextLease = nil
	return lease
}
