package permit

import "time"

// heldPermit is a permit that this router holds.
type heldPermit struct {
	pool *poolState
	// coordinator is the address of the coordinator that granted it; empty if this router decided.
	coordinator string
	granted     time.Time
}
