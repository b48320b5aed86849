package slipwick

import "context"

// CacheLister lists the parts of prompts (see balance.Part) that engines have cached.
type CacheLister interface {
	// CachedParts returns the IDs of the parts that the engine at address (host:port) has
	// cached. The Notice is valid even if the error is not nil. The call is expensive for
	// the engine, so routers must make it rarely.
	CachedParts(ctx context.Context, address string) ([]string, Notice, error)
}
