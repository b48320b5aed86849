package slipwick

import (
	"context"
	"time"
)

// ReturnSource knows the requests that any router refused for lack of capacity, by a hash of their content.
type ReturnSource interface {
	// NoteRefusal notes that a request was refused and its caller told to return after a time.
	NoteRefusal(key uint64, retryAfter time.Duration)
	// TakeReturn reports whether a request was refused before and its caller returns as told, and forgets the
	// refusal then. It waits for the answer for a bounded time, and reports false without one.
	TakeReturn(ctx context.Context, key uint64, wait time.Duration) bool
	// Forget forgets a refusal whose caller was recognised otherwise.
	Forget(key uint64)
}
