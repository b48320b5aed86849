package slipwick

import "context"

// EventStream is a response in progress. It is not safe for concurrent use.
type EventStream interface {
	// Next blocks until the next event arrives or ctx ends. It returns io.EOF after the end
	// marker and an *Error when the connection breaks before it.
	Next(ctx context.Context) (StreamEvent, error)
	// Close closes the connection; it does not cancel the response.
	Close() error
}
