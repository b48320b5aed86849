package admission

import "time"

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
