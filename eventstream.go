package slipwick

import "context"

// EventStream is an answer in progress. It belongs to one goroutine.
type EventStream interface {
	// Next gives the following event. It returns io.EOF after the end
	// marker and an *Error when the connection breaks before it.
	Next(ctx context.Context) (StreamEvent, error)
	// Close lets go of the connection; it does not cancel the answer.
	Close() error
}
