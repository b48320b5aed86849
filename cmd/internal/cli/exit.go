package cli

import (
	"github.com/pkg/errors"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/jsonfile"
)

// The exit codes; docs/CLI.md lists them.
const (
	ExitOK = 0
	// ExitFailed is any failure without a code of its own.
	ExitFailed = 1
	// ExitUsage is a wrong command line or a file with mistakes.
	ExitUsage = 2
	// ExitConflict is a write that another operator won.
	ExitConflict = 3
	// ExitUnavailable is a platform or router that gave no answer.
	ExitUnavailable = 4
	// ExitDiffers is a diff that found differences.
	ExitDiffers = 5
)

// ErrDiffers ends a diff that found differences.
var ErrDiffers = errors.New("the files differ from the configuration in force; apply them to put them in force")

// UsageError is a wrong command line.
type UsageError struct {
	Cause  error
	Remedy string
}

// Error gives the cause and the remedy.
func (u *UsageError) Error() string {
	return u.Cause.Error() + "; " + u.Remedy
}

// Unwrap gives the cause.
func (u *UsageError) Unwrap() error {
	return u.Cause
}

// Usage marks an error as a wrong command line.
func Usage(cause error, remedy string) error {
	return &UsageError{
		Cause:  cause,
		Remedy: remedy,
	}
}

// ExitCode gives the exit code for an error.
func ExitCode(err error) int {
	var usage *UsageError
	var mistakes jsonfile.Mistakes
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage), errors.As(err, &mistakes), slipwick.IsKind(err, slipwick.KindInvalidConfiguration):
		return ExitUsage
	case slipwick.IsKind(err, slipwick.KindConflict):
		return ExitConflict
	case slipwick.IsKind(err, slipwick.KindUnavailable):
		return ExitUnavailable
	case errors.Is(err, ErrDiffers):
		return ExitDiffers
	default:
		return ExitFailed
	}
}
