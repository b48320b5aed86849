package slipwick

import "context"

// Engine is a backend server that runs a model. Errors are *Error; the Outcome tells whether
// the request may have reached the engine.
type Engine interface {
	// Stream sends the chat turn exactly once and returns the response as a stream.
	Stream(ctx context.Context, request ChatRequest) (EventStream, error)
	// Resume continues the response to a request, from the event with the given offset.
	Resume(ctx context.Context, request string, offset int) (EventStream, error)
	// Cancel stops the response to a request; an unknown request ID is not an error.
	Cancel(ctx context.Context, request string) error
	// Load fetches the engine's load report, which may be out of date.
	Load(ctx context.Context) (LoadReport, error)
	// CacheEvents fetches the cache events that follow the sequence number.
	CacheEvents(ctx context.Context, after uint64) (CacheEvents, error)
}
