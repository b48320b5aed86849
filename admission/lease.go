package admission

import "time"

// leaseKey names a slot in the fleet.
type leaseKey struct {
	router string
	id     uint64
}

// lease is one slot that an owner granted or learned of.
type lease struct {
	workspace string
	expires   time.Time
	// ours says that this owner granted it in its takeover window.
	ours bool
}
