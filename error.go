package slipwick

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Error is the error type of this module. Message says what went wrong and Remedy what the
// reader can do about it.
type Error struct {
	Kind    Kind
	Message string
	Remedy  string
	// Outcome says how the request ended; empty if the error does not concern a request.
	Outcome Outcome
	// RetryAfter is how long the caller should wait before a retry; zero if unspecified.
	RetryAfter time.Duration
	// Cause is the wrapped error, if any.
	Cause error
}

// Error returns message, cause and remedy on one line.
func (e *Error) Error() string {
	text := e.Message
	if e.Cause != nil {
		text = fmt.Sprintf("%s: %v", text, e.Cause)
	}
	if e.Remedy == "" {
		return text
	}
	return fmt.Sprintf("%s (%s)", text, e.Remedy)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Cause
}

// AsError returns the first *Error in err's chain; ok is false if there is none.
func AsError(err error) (typed *Error, ok bool) {
	ok = errors.As(err, &typed)
	return typed, ok
}

// IsKind reports whether the first *Error in err's chain has the given kind.
func IsKind(err error, kind Kind) bool {
	typed, ok := AsError(err)
	return ok && typed.Kind == kind
}
