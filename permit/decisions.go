package permit

import (
	"sync/atomic"

	"github.com/slipwick/slipwick/permit/permitpb"
)

// Decisions counts the decisions on requests.
type Decisions struct {
	// Bypassed requests needed no permit.
	Bypassed atomic.Int64
	// Granted requests got a permit at once, GrantedAfterWait requests after they were queued.
	Granted, GrantedAfterWait atomic.Int64
	// LocalGranted and LocalRefused requests were decided by this router, since the coordinator did
	// not answer.
	LocalGranted, LocalRefused atomic.Int64
	// Unserved requests went on without a permit, since the coordinator knows no usable server that they
	// don't exclude.
	Unserved atomic.Int64
	// Refused requests, by reason.
	RefusedTooLate, RefusedQueueFull, RefusedWorkLimit atomic.Int64
	// Cancelled requests ended before the decision.
	Cancelled atomic.Int64
}

func (d *Decisions) recordRefusal(reason permitpb.Reason) {
	switch reason {
	case permitpb.Reason_REASON_QUEUE_FULL:
		d.RefusedQueueFull.Add(1)
	case permitpb.Reason_REASON_WORK_LIMIT:
		d.RefusedWorkLimit.Add(1)
	default:
		d.RefusedTooLate.Add(1)
	}
}
