package slipwick

import "strconv"

// Backend is one backend server as the configuration declares it.
type Backend struct {
	// ID is unique in the fleet.
	ID string `json:"id" validate:"required,max=100"`
	// Address is host:port of its HTTP interface.
	Address    string `json:"address" validate:"required,hostname_port"`
	DataCentre string `json:"data_centre" validate:"required"`
	Region     string `json:"region"`
	// Weight is its capacity relative to the pool's others; 0 stands for 1.
	Weight uint32 `json:"weight" validate:"max=1000"`
	// Slots is the most requests in flight; 0 stands for DefaultSlots.
	Slots int `json:"slots" validate:"min=0,max=100000"`
	// ChecksKeys says that it refuses a request key it has seen before.
	ChecksKeys bool `json:"checks_keys"`
	// Born is when this life of it began, in Unix milliseconds, as it says itself; 0
	// if it does not. One that ended may be back under its ID.
	Born int64 `json:"-"`
}

// Life names one life of the backend server, from its start to its end.
func (b Backend) Life() string {
	if b.Born == 0 {
		return b.ID
	}
	const base = 10
	return b.ID + "@" + strconv.FormatInt(b.Born, base)
}

// DefaultSlots bounds requests in flight at a backend server that sets none.
const DefaultSlots = 64

// EffectiveWeight is Weight with its default applied.
func (b Backend) EffectiveWeight() uint32 {
	if b.Weight == 0 {
		return 1
	}
	return b.Weight
}

// EffectiveSlots is Slots with its default applied.
func (b Backend) EffectiveSlots() int {
	if b.Slots == 0 {
		return DefaultSlots
	}
	return b.Slots
}
