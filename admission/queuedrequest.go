package admission

import "github.com/slipwick/slipwick/peer/peerpb"

// queuedRequest is a request that waits in an owner's queue.
type queuedRequest struct {
	key      leaseKey
	request  *peerpb.SlotRequest
	priority int
	// tag is the virtual finish time, by which requests of one priority are ordered.
	tag float64
}
