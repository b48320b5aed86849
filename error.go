package slipwick

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Error is the typed error of this module. Message says what went wrong and
// Remedy what the reader can do about it.
type Error struct {
	Kind    Kind
	Message string
	Remedy  string
	// Outcome is what is known of the request; empty outside requests.
	Outcome Outcome
	// RetryAfter tells the caller when to come back; zero says nothing.
	RetryAfter time.Duration
	// Cause is the error below, if any.
	Cause error
}

// Error gives message, remedy and cause on one line.
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

// Unwrap gives the cause.
func (e *Error) Unwrap() error {
	return e.Cause
}

// AsError finds the *Error in err's chain; ok is false if there is none.
func AsError(err error) (typed *Error, ok bool) {
	ok = errors.As(err, &typed)
	return typed, ok
}

// IsKind tells whether err's chain holds an *Error of the kind.
func IsKind(err error, kind Kind) bool {
	typed, ok := AsError(err)
	return ok && typed.Kind == kind
}
