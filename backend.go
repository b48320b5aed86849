package slipwick

import "strconv"

// Backend is a backend server as the configuration, or its own entry in the store, declares it.
type Backend struct {
	// ID is unique in the fleet.
	ID string `json:"id" validate:"required,max=100"`
	// Address is the host:port of its HTTP interface.
	Address    string `json:"address" validate:"required,hostname_port"`
	DataCentre string `json:"data_centre" validate:"required"`
	// Region is the region of the data centre. Routes and workspaces may allow only some regions.
	Region string `json:"region"`
	// Weight is its capacity relative to the other servers of the pool; 0 means 1.
	Weight uint32 `json:"weight" validate:"max=1000"`
	// Slots is the maximum number of requests in flight; 0 means DefaultSlots.
	Slots int `json:"slots" validate:"min=0,max=100000"`
	// ChecksIdempotencyKeys is true if the server rejects idempotency keys that it has seen before.
	ChecksIdempotencyKeys bool `json:"checks_keys"`
	// StartTime is when this incarnation started, in Unix milliseconds, as reported by the
	// server; 0 if it reports none. A server that ended may restart under the same ID.
	StartTime int64 `json:"-"`
}

// Incarnation returns an identifier of one run of the backend server between start and end: the
// ID and, if known, the start time. Without a start time all incarnations share the ID.
func (b Backend) Incarnation() string {
	if b.StartTime == 0 {
		return b.ID
	}
	const base = 10
	return b.ID + "@" + strconv.FormatInt(b.StartTime, base)
}

// DefaultSlots is the maximum number of requests in flight at a backend server that declares none.
const DefaultSlots = 64

// EffectiveWeight returns Weight, or 1 if it is not set.
func (b Backend) EffectiveWeight() uint32 {
	if b.Weight == 0 {
		return 1
	}
	return b.Weight
}

// EffectiveSlots returns Slots, or DefaultSlots if it is not set.
func (b Backend) EffectiveSlots() int {
	if b.Slots == 0 {
		return DefaultSlots
	}
	return b.Slots
}
