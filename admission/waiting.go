package admission

import (
	"time"

	"github.com/slipwick/slipwick/peer/peerpb"
)

// waiting is one held request.
type waiting struct {
	key      leaseKey
	request  *peerpb.SlotRequest
	priority int
	// until is when the request moves on, or is refused on its last try.
	until time.Time
	// tag orders the requests of one priority fairly.
	tag float64
}
