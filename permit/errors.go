package permit

import (
	"fmt"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/permit/permitpb"
)

// refusal returns the error of a refused request.
func refusal(pool, reason string, after time.Duration) error {
	return &slipwick.Error{
		Kind:       slipwick.KindOverloaded,
		Message:    fmt.Sprintf("the pool %s can't take the request: %s", pool, reason),
		Remedy:     "return after the time in Retry-After, or add backend servers to the pool",
		Outcome:    slipwick.OutcomeNotRun,
		RetryAfter: after,
	}
}

// reasonText returns the text of a coordinator's reason.
func reasonText(reason permitpb.Reason) string {
	switch reason {
	case permitpb.Reason_REASON_QUEUE_FULL:
		return "its queue is full"
	case permitpb.Reason_REASON_WORK_LIMIT:
		return "the workspace is at its limit of work"
	default:
		return "the response would be too late"
	}
}

// cancelled returns the error of a request that ended while it waited.
func cancelled(cause error) error {
	return &slipwick.Error{
		Kind:    slipwick.KindCancelled,
		Message: "the request ended while it waited for a permit",
		Remedy:  "allow the request more time",
		Outcome: slipwick.OutcomeNotRun,
		Cause:   cause,
	}
}
