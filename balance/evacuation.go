package balance

import (
	"github.com/slipwick/slipwick/clock"
)

// SetEvacuated sets the data centres whose backend servers get no new requests. Running
// requests go on, and other engines still fetch prompts from there. When an evacuation ends,
// prompts are cached elsewhere, where they were needed meanwhile, and move back only as load
// requires: this way no burst of requests meets engines that have become cold before their
// entries say so. Counting them as cold until the entries could have been updated would leave
// them nearly idle for that long.
func (b *Balancer) SetEvacuated(dataCentres []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.evacuated = make(map[string]bool, len(dataCentres))
	for _, name := range dataCentres {
		b.evacuated[name] = true
	}
	for _, s := range b.servers {
		s.evacuated = b.evacuated[s.DataCentre]
	}
}

// acceptsNew reports whether any router may send new requests to the server.
func (s *server) acceptsNew() bool {
	return !s.isLeaving() && !s.evacuated
}

// IsStaying reports whether the lease's backend server is listed and not leaving, so that an
// end of its process would be unplanned.
func (b *Balancer) IsStaying(lease *Lease) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := lease.server
	return b.servers[s.ID] == s && !s.isLeaving()
}

// StillAccepts reports whether the lease's backend server may still get the request, when it
// was not sent at once. It may not if meanwhile it is leaving, evacuated, asked for a pause or
// became cold.
func (b *Balancer) StillAccepts(lease *Lease) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, now := lease.server, clock.Now()
	return b.servers[s.ID] == s && s.acceptsNew() && !s.notices.isPaused(now) && (lease.isCold || !b.isColdLocked(s, now))
}
