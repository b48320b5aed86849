package gatewayd

import (
	"sync"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/clock"
)

// poolClass says which permit source serves a pool. It is safe for concurrent use.
type poolClass struct {
	mu sync.Mutex
	// small says that the pool has few slots, empty that it has none. Both were last checked at
	// checkedAt. known says that a check has found slots. differsSince is since when the slots have
	// called for the other class; zero if they don't.
	small, empty, known bool
	checkedAt           time.Time
	differsSince        time.Time
}

const (
	// slotsPerRouter is the number of slots for each live router below which a pool is small: a share
	// of fewer slots can't be rounded.
	slotsPerRouter = 4
	// classCheckInterval is how often the class of a pool is checked. The check goes through all
	// servers of the pool, and their counts change with the updates, five times a second.
	classCheckInterval = 200 * time.Millisecond
	// classHold is for how long the slots must call for another class before it changes: neither
	// source knows the requests of the other, and the number of usable servers changes for a moment
	// with each ejection.
	classHold = 2 * time.Second
)

// get returns the class, which it checks if the last check is too old.
func (c *poolClass) get(read func() (slots, routers int)) (small, empty bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Now()
	if c.checkedAt.IsZero() || now.Sub(c.checkedAt) >= classCheckInterval {
		slots, routers := read()
		c.update(now, slots, routers)
	}
	return c.small, c.empty
}

func (c *poolClass) update(now time.Time, slots, routers int) {
	c.checkedAt = now
	c.empty = slots == 0
	if c.empty {
		// The class of a pool without usable servers stays until these are back.
		c.differsSince = time.Time{}
		return
	}
	small := slots < slotsPerRouter*max(routers, 1)
	switch {
	case !c.known:
		c.small, c.known = small, true
	case small == c.small:
		c.differsSince = time.Time{}
	case c.differsSince.IsZero():
		c.differsSince = now
	case now.Sub(c.differsSince) >= classHold:
		c.small, c.differsSince = small, time.Time{}
	}
}

// poolSlots returns the slots of a pool's usable servers.
func poolSlots(source slipwick.CapacitySource, pool string) int {
	capacity := source.PoolCapacity(pool)
	return capacity.Slots()
}
