package slipwick

import (
	"context"
	"time"
)

// FeedEntry is one object of a Feed.
type FeedEntry struct {
	Name string `json:"name"`
	// Gone says that the object was removed; it has no value then.
	Gone bool `json:"gone,omitempty"`
	// Value is encoded as its store has it.
	Value []byte `json:"value,omitempty"`
}

// FeedBatch is what one read of a Feed gave.
type FeedBatch struct {
	Entries []FeedEntry `json:"entries"`
	// Whole says that the entries are all there are, and not changes.
	Whole bool `json:"whole,omitempty"`
	// Skipping says that the entries are what differs from the position asked about, and
	// that something may have changed in between and back.
	Skipping bool `json:"skipping,omitempty"`
	// Timeline and Revision are the store's position at the time; the next watch goes
	// on from it.
	Timeline uint64 `json:"timeline,omitempty"`
	Revision uint64 `json:"revision"`
	// Age is how long ago the store is known to have been in this state.
	Age time.Duration `json:"age,omitempty"`
	// Steady is for how long the store has been known, to the routers on the way, to answer
	// without a silence or a return from a copy; 0 if that has just begun, or can't be told.
	Steady time.Duration `json:"steady,omitempty"`
	// Hops counts the routers between the store and this answer; the store's own
	// has none.
	Hops int `json:"hops,omitempty"`
}

// Feed is a kind of object in a store that remembers recent changes. Errors
// are *Error: KindHistoryLost when the changes since the revision are
// forgotten, KindUnavailable when there was no usable answer.
type Feed interface {
	// List gives all objects.
	List(ctx context.Context) (FeedBatch, error)
	// Watch waits for changes after the position; none may have come when
	// the wait ends.
	Watch(ctx context.Context, after Position, wait time.Duration) (FeedBatch, error)
}

// Position is the store's at the time of the batch.
func (b *FeedBatch) Position() Position {
	return Position{
		Timeline: b.Timeline,
		Revision: b.Revision,
	}
}
