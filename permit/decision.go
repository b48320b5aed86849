package permit

import (
	"time"

	"github.com/slipwick/slipwick/permit/permitpb"
)

// decision is the end of a request at the coordinator. An ask that arrives late is answered in the same
// way: if it were admitted as a new one, it would take a slot for a request that has ended.
type decision struct {
	at time.Time
	// answer is nil if the permit, or the wait for one, was released: a later ask gets no answer.
	answer *permitpb.Answer
}
