package balance

import (
	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/clock"
)

var _ slipwick.CapacitySource = (*Balancer)(nil)

// PoolCapacity returns the servers of a pool that may get new requests of any router, with the
// requests in flight there and the slots that they turned out to have. It leaves out cold servers,
// whose limits are not slots, and those that are leaving, evacuated or asked for a pause. Ejected and
// unresponsive servers count only while no other is left, since they get requests then.
func (b *Balancer) PoolCapacity(pool string) slipwick.PoolCapacity {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := clock.Now()
	capacity := slipwick.PoolCapacity{
		Complete: b.hasAllUpdatesLocked(now),
	}
	servers := b.pools[pool]
	loads := b.loadsLocked(servers, now)
	var unavailable []slipwick.ServerCapacity
	for i, s := range servers {
		if !s.acceptsNew() || s.notices.isPaused(now) || b.isColdLocked(s, now) {
			continue
		}
		server := slipwick.ServerCapacity{
			ID:         s.ID,
			DataCentre: s.DataCentre,
			Slots:      s.learned.slots(s.slots()),
			InFlight:   loads[i],
			Own:        s.inFlight,
		}
		if b.isUnavailableLocked(s, now) {
			unavailable = append(unavailable, server)
			continue
		}
		capacity.Servers = append(capacity.Servers, server)
	}
	if len(capacity.Servers) == 0 {
		capacity.Servers = unavailable
		return capacity
	}
	capacity.Unavailable = unavailable
	return capacity
}
