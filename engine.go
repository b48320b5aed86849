package slipwick

import "context"

// Engine is a model backend server. Errors are *Error; their Outcome says
// whether the request can have reached the engine.
type Engine interface {
	// Stream sends the chat turn, once, and gives the answer in progress.
	Stream(ctx context.Context, request ChatRequest) (EventStream, error)
	// Resume goes on with an answer from the event offset.
	Resume(ctx context.Context, request string, offset int) (EventStream, error)
	// Cancel stops an answer; an unknown request is no error.
	Cancel(ctx context.Context, request string) error
	// Load reads the engine's load report, which lags.
	Load(ctx context.Context) (LoadReport, error)
	// CacheEvents reads the cache events after the sequence number.
	CacheEvents(ctx context.Context, after uint64) (CacheEvents, error)
}
