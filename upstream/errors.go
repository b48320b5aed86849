package upstream

import (
	"context"
	"errors"
	"syscall"

	"github.com/slipwick/slipwick"
)

// unreachable is a connection that did not come up: nothing was sent.
func unreachable(address string, cause error) error {
	return &slipwick.Error{
		Kind:    slipwick.KindBackendUnreachable,
		Message: "no connection to backend server " + address,
		Remedy:  "check that it runs and that the network reaches it",
		Outcome: slipwick.OutcomeNotRun,
		Cause:   cause,
	}
}

// broken is an exchange that failed after the request, or a part, was sent.
func broken(ctx context.Context, address string, cause error) error {
	if errors.Is(cause, errGivenUp) {
		return givenUp(address)
	}
	err := &slipwick.Error{
		Kind:    slipwick.KindBackendError,
		Message: "the exchange with backend server " + address + " broke",
		Remedy:  "look at that backend server; the request may have run",
		Outcome: slipwick.OutcomeUnknown,
		Cause:   cause,
	}
	switch ctx.Err() {
	case context.Canceled:
		err.Kind = slipwick.KindCancelled
	case context.DeadlineExceeded:
		err.Kind = slipwick.KindTimeout
	}
	return err
}

// IsRefused tells whether the error is of a connection that the backend server's
// box refused: nothing listens there.
func IsRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}
