package upstream

import (
	"context"
	"errors"
	"syscall"

	"github.com/slipwick/slipwick"
)

// connectError returns the error of a connection that could not be opened: nothing was sent.
func connectError(address string, cause error) error {
	return &slipwick.Error{
		Kind:    slipwick.KindBackendUnreachable,
		Message: "cannot connect to backend server " + address,
		Remedy:  "check that it runs and is reachable",
		Outcome: slipwick.OutcomeNotRun,
		Cause:   cause,
	}
}

// exchangeError returns the error of an exchange that failed after at least a part of the request
// was sent.
func exchangeError(ctx context.Context, address string, cause error) error {
	if errors.Is(cause, errResponseTimeout) {
		return responseTimeoutError(address)
	}
	err := &slipwick.Error{
		Kind:    slipwick.KindBackendError,
		Message: "exchange with backend server " + address + " broke off",
		Remedy:  "check that backend server; the request may have run",
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

// IsConnectionRefused reports whether err comes from a connection that the backend server's box
// refused: nothing listens at the address.
func IsConnectionRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}
