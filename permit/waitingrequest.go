package permit

import (
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/permit/permitpb"
)

// waitingRequest is a request that waits for the coordinator. The client's lock guards coordinator
// and sentAt.
type waitingRequest struct {
	request *slipwick.PermitRequest
	id      uint64
	pool    *poolState
	// coordinator is the address that was asked last.
	coordinator string
	// sentAt is when the request was sent; zero if it was sent more than once, or answered.
	sentAt time.Time
	// answers has room for one confirmation and the last answer.
	answers chan *permitpb.Answer
}
