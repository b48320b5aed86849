package claims

import (
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/peer/peerpb"
)

// taken is the ending of a request whose key was claimed before.
func taken(state peerpb.ClaimState) error {
	failure := &slipwick.Error{
		Kind:    slipwick.KindKeyUsed,
		Message: "a request with this key was sent before, and how it ended is not known",
		Remedy:  "find out in the backend server; do not send it with a new key before",
		Outcome: slipwick.OutcomeUnknown,
	}
	switch state {
	case peerpb.ClaimState_CLAIM_COMPLETED:
		failure.Message = "a request with this key was run before, and completed"
		failure.Remedy = "nothing is left to do; its answer is not kept"
		failure.Outcome = slipwick.OutcomeCompleted
	case peerpb.ClaimState_CLAIM_FAILED:
		failure.Message = "a request with this key was run before, and failed"
		failure.Remedy = "use a new key to run it again"
		failure.Outcome = slipwick.OutcomeFailed
	default:
	}
	return failure
}

// unavailable is the ending of a request whose key can't be claimed now.
func unavailable(message string) error {
	return &slipwick.Error{
		Kind:    slipwick.KindUnavailable,
		Message: message,
		Remedy:  "send it again later with the same key",
		Outcome: slipwick.OutcomeNotRun,
		// Outages last; many callers coming back at once do not help.
		RetryAfter: 5 * time.Second,
	}
}
