package slipwick

// CapacitySource knows the backend servers of pools and the requests in flight there.
type CapacitySource interface {
	// PoolCapacity returns the capacity of a pool; it has no servers if the pool is unknown.
	PoolCapacity(pool string) PoolCapacity
}

// PoolCapacity is the capacity of a pool as one router knows it.
type PoolCapacity struct {
	Servers []ServerCapacity
	// Unavailable has the servers that this router has ejected or that don't respond to it, if others are
	// left. Slots and InFlight leave them out.
	Unavailable []ServerCapacity
	// Complete says that the counts of all routers are known and recent. Otherwise InFlight is an
	// estimate.
	Complete bool
}

// ServerCapacity is the capacity of one backend server that may get new requests.
type ServerCapacity struct {
	ID         string
	DataCentre string
	// Slots is how many requests the server works on at once.
	Slots int
	// InFlight counts the requests of all routers there, those that wait in the server's queue
	// included. It is up to a few hundred milliseconds old for those of other routers.
	InFlight float64
	// Own counts this router's requests there.
	Own int
}

// Slots returns the slots of all servers.
func (c *PoolCapacity) Slots() int {
	slots := 0
	for i := range c.Servers {
		slots += c.Servers[i].Slots
	}
	return slots
}

// InFlight returns the requests in flight at all servers.
func (c *PoolCapacity) InFlight() float64 {
	inFlight := 0.0
	for i := range c.Servers {
		inFlight += c.Servers[i].InFlight
	}
	return inFlight
}
