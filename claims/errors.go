package claims

import (
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/peer/peerpb"
)

// keyUsedError returns the error for a request whose key was claimed before.
func keyUsedError(state peerpb.ClaimState) error {
	failure := &slipwick.Error{
		Kind:    slipwick.KindKeyUsed,
		Message: "a request with this key was sent before, and its outcome is not known",
		Remedy:  "check in the backend server whether it ran; do not send it with a new key before that",
		Outcome: slipwick.OutcomeUnknown,
	}
	switch state {
	case peerpb.ClaimState_CLAIM_COMPLETED:
		failure.Message = "a request with this key was run before, and completed"
		failure.Remedy = "nothing has to be done; its response is not stored"
		failure.Outcome = slipwick.OutcomeCompleted
	case peerpb.ClaimState_CLAIM_FAILED:
		failure.Message = "a request with this key was run before, and failed"
		failure.Remedy = "use a new key to run it again"
		failure.Outcome = slipwick.OutcomeFailed
	default:
	}
	return failure
}

// unavailableError returns the error for a request whose key cannot be claimed now.
func unavailableError(message string) error {
	return &slipwick.Error{
		Kind:    slipwick.KindUnavailable,
		Message: message,
		Remedy:  "retry later with the same key",
		Outcome: slipwick.OutcomeNotRun,
		// Outages last a while, and many callers that retry at the same time make them longer.
		RetryAfter: 5 * time.Second,
	}
}
