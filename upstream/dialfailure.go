package upstream

import (
	"errors"
	"net"
	"syscall"
)

// DialFailure is how an attempt to open a connection failed.
type DialFailure int

// The failures.
const (
	// DialTimedOut says that nothing answered in time.
	DialTimedOut DialFailure = iota
	// DialRefused says that the backend server's box refused the connection.
	DialRefused
	// DialFailedOtherwise stands for all other failures, such as a missing route.
	DialFailedOtherwise
	dialFailures
)

// DialFailures returns all failures.
func DialFailures() []DialFailure {
	return []DialFailure{DialTimedOut, DialRefused, DialFailedOtherwise}
}

// String returns the name used in metrics.
func (d DialFailure) String() string {
	switch d {
	case DialTimedOut:
		return "timed-out"
	case DialRefused:
		return "refused"
	default:
		return "other"
	}
}

// dialFailureOf classifies the error of a dial.
func dialFailureOf(err error) DialFailure {
	var netErr net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return DialRefused
	case errors.As(err, &netErr) && netErr.Timeout():
		return DialTimedOut
	default:
		return DialFailedOtherwise
	}
}
