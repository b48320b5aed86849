package upstream

import (
	"context"
	"errors"
	"fmt"
	"syscall"

	"github.com/slipwick/slipwick"
)

// connectError returns the error of a connection that could not be opened: nothing was sent.
func connectError(address string, cause error) error {
	if slipwick.IsKind(cause, slipwick.KindNoPath) {
		return cause
	}
	return &slipwick.Error{
		Kind:    slipwick.KindBackendUnreachable,
		Message: "cannot connect to backend server " + address,
		Remedy:  "check that it runs and is reachable",
		Outcome: slipwick.OutcomeNotRun,
		Cause:   cause,
	}
}

// withheldError returns the error of an exchange that Request.BeforeWrite ended: nothing was sent.
func withheldError(address string, cause error) error {
	return &slipwick.Error{
		Kind:    slipwick.KindCancelled,
		Message: "the request was not sent to backend server " + address,
		Remedy:  "send it to another backend server, or again",
		Outcome: slipwick.OutcomeNotRun,
		Cause:   cause,
	}
}

// errRouteLost is a cause of the errors of exchanges that ended because of their route to the backend server.
var errRouteLost = errors.New("the route to the backend server was lost")

// errServerPathLost is the cause of the errors of connections to a server that neither this router nor those that it
// asked reach.
var errServerPathLost = errors.New("no network path to this backend server, though to others")

// noPathError returns the error of a connection for which this router has no path to the backend servers.
func noPathError(address string) error {
	return &slipwick.Error{
		Kind:    slipwick.KindNoPath,
		Message: "this router has no network path to backend server " + address + ", nor to others",
		Remedy:  "check the network between this router and the backend servers",
		Outcome: slipwick.OutcomeNotRun,
	}
}

// exchangeError returns the error of an exchange that failed after at least a part of the request
// was sent. If the connection was lost, it finds out whether this router still reaches any backend server.
func (c *Client) exchangeError(ctx context.Context, address string, r *route, cause error) error {
	if isClosedByPeer(cause) || errors.Is(cause, syscall.ETIMEDOUT) {
		if !r.isDirect() || r.isLost.Load() || ctx.Err() == nil && c.verifyPathLost(ctx) {
			cause = fmt.Errorf("%w: %w", errRouteLost, cause)
		}
	}
	return newExchangeError(ctx, address, cause)
}

func newExchangeError(ctx context.Context, address string, cause error) error {
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

// IsRouteLost reports whether err comes from an exchange that ended because of its route, which says nothing
// about the backend server.
func IsRouteLost(err error) bool {
	return errors.Is(err, errRouteLost)
}

// IsConnectionRefused reports whether err comes from a connection that the backend server's box
// refused: nothing listens at the address.
func IsConnectionRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}
