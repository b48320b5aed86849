package cli

import (
	"github.com/pkg/errors"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/jsonfile"
)

// The exit codes; docs/CLI.md lists them.
const (
	ExitOK = 0
	// ExitFailed stands for any failure without an exit code of its own.
	ExitFailed = 1
	// ExitUsage stands for an invalid command line or file.
	ExitUsage = 2
	// ExitConflict stands for a write that lost against a concurrent write of another operator.
	ExitConflict = 3
	// ExitUnavailable stands for a platform or router that did not respond.
	ExitUnavailable = 4
	// ExitDiffers stands for a diff that found differences.
	ExitDiffers = 5
)

// ErrDiffers is returned by a diff that found differences.
var ErrDiffers = errors.New("the files differ from the configuration in force; apply them to put them in force")

// UsageError is an error in the command line, with what to do about it.
type UsageError struct {
	Cause  error
	Remedy string
}

// Error returns the cause and the remedy.
func (u *UsageError) Error() string {
	return u.Cause.Error() + "; " + u.Remedy
}

// Unwrap returns the cause.
func (u *UsageError) Unwrap() error {
	return u.Cause
}

// NewUsageError returns a *UsageError, for which ExitCode returns ExitUsage.
func NewUsageError(cause error, remedy string) error {
	return &UsageError{
		Cause:  cause,
		Remedy: remedy,
	}
}

// ExitCode returns the exit code for an error; ExitOK for nil.
func ExitCode(err error) int {
	var usage *UsageError
	var errs jsonfile.ValidationErrors
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage), errors.As(err, &errs), slipwick.IsKind(err, slipwick.KindInvalidConfiguration):
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
