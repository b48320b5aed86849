package slipwick

import (
	"context"
	"time"
)

// FeedEntry is one object of a Feed, decoded.
type FeedEntry[T any] struct {
	Name string
	// Gone says that the object was removed; Value is then its last state.
	Gone  bool
	Value T
}

// FeedBatch is what one read of a Feed gave.
type FeedBatch[T any] struct {
	Entries []FeedEntry[T]
	// Revision is the store's at the time; the next watch goes on from it.
	Revision uint64
}

// Feed is a kind of object in a store that remembers recent changes. Errors
// are *Error: KindHistoryLost when the store has forgotten the changes since
// the revision, KindUnavailable when there was no usable answer.
type Feed[T any] interface {
	// List gives all objects.
	List(ctx context.Context) (FeedBatch[T], error)
	// Watch waits for changes after the revision; none may have come when
	// the wait ends.
	Watch(ctx context.Context, after uint64, wait time.Duration) (FeedBatch[T], error)
}
