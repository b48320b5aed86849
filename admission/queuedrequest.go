package admission

import (
	"time"

	"github.com/slipwick/slipwick/peer/peerpb"
)

// queuedRequest is a request that waits in an owner's queue.
type queuedRequest struct {
	key      leaseKey
	request  *peerpb.SlotRequest
	priority int
	// deadline is when the request is sent elsewhere or, on its last attempt, refused.
	deadline time.Time
	// tag is the virtual finish time, by which requests of one priority are ordered.
	tag float64
}
