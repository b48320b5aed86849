package slipwick

import "context"

// CacheLister asks engines which parts of prompts they have cached.
type CacheLister interface {
	// CachedParts gives the IDs of the parts that the engine at the address
	// has cached, and what it said of itself, also with an error. It costs the engine
	// time; routers ask seldom.
	CachedParts(ctx context.Context, address string) ([]string, Notice, error)
}
