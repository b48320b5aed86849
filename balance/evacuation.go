package balance

import (
	"github.com/slipwick/slipwick/clock"
)

// SetEvacuated takes the data centres whose backend servers are to get nothing new.
// What runs there goes on, and other engines fetch prompts from there. At the end of
// an evacuation the homes of prompts are elsewhere, where they were asked for
// meanwhile: nothing moves back but by need, so that no crowd meets engines that have
// become cold before their entries tell it. To count them as cold until these had the
// time to would leave them nearly idle for that long.
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

// takesNew tells whether the server may get new requests at all, from any router.
func (s *server) acceptsNew() bool {
	return !s.isLeaving() && !s.evacuated
}

// Expects tells whether the lease's backend server is listed and not about to leave, so
// that its end is none that was planned.
func (b *Balancer) Expects(lease *Lease) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := lease.server
	return b.servers[s.ID] == s && !s.isLeaving()
}

// StillTakes tells whether the lease's backend server may still get the request,
// which was not sent at once: not if it leaves, is evacuated, asked for rest or became
// cold meanwhile.
func (b *Balancer) StillTakes(lease *Lease) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, now := lease.server, clock.Now()
	return b.servers[s.ID] == s && s.acceptsNew() && !s.notices.isResting(now) && (lease.isCold || !b.isColdLocked(s, now))
}
