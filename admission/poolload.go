package admission

import "time"

// engineLoad is one engine's load as others report it.
type engineLoad struct {
	inFlight int
	sequence uint64
	at       time.Time
	// direct says that a member of this hub's group reported it, and
	// forwarded that the other hubs were told.
	direct, forwarded bool
}

// poolLoad is what a router knows of one pool's load.
type poolLoad struct {
	// As an owner: what this router reported of its own engines, and what
	// its hub said of the whole pool.
	reported   int
	reportedAt time.Time
	reporting  *time.Timer
	total      int
	totalAt    time.Time

	// As a hub: all engines' loads, and the total that the group was told.
	engines    map[uint64]*engineLoad
	passedOn   int
	passedOnAt time.Time
	// refreshedAt is when the other hubs were told all, changed or not.
	refreshedAt time.Time
	passing     *time.Timer
	// forwarded is the load of the group that the other hubs were told.
	forwarded int

	// trend is that of the total.
	trend trend

	// pressedAt is when others last said that requests wait for the limit
	// to rise; groupPressedAt is the same of this hub's own group.
	pressedAt, groupPressedAt time.Time
}

func (c *Coordinator) poolLoad(pool string) *poolLoad {
	load := c.pools[pool]
	if load == nil {
		load = &poolLoad{
			engines: make(map[uint64]*engineLoad),
		}
		c.pools[pool] = load
	}
	return load
}
