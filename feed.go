package slipwick

import (
	"context"
	"time"
)

// FeedEntry is the state of one object of a Feed.
type FeedEntry struct {
	Name string `json:"name"`
	// Removed is true if the object was removed; Value is empty then.
	Removed bool `json:"gone,omitempty"`
	// Value has the encoding in which the store keeps it.
	Value []byte `json:"value,omitempty"`
}

// FeedBatch is the result of one List or Watch of a Feed.
type FeedBatch struct {
	Entries []FeedEntry `json:"entries"`
	// IsSnapshot is true if the entries are all objects of the feed, not just the changes.
	IsSnapshot bool `json:"whole,omitempty"`
	// IsCompacted is true if the entries are the difference from the requested position;
	// changes that a later change undid may be missing.
	IsCompacted bool `json:"skipping,omitempty"`
	// Timeline and Revision are the store's position as of this batch, from which the next
	// Watch continues.
	Timeline uint64 `json:"timeline,omitempty"`
	Revision uint64 `json:"revision"`
	// Age is the time since the store was last known to be in this state.
	Age time.Duration `json:"age,omitempty"`
	// StableFor is how long the store has responded without an outage or a restore from a
	// backup, as far as the routers that relayed the batch know; 0 if one has just ended or if
	// unknown.
	StableFor time.Duration `json:"steady,omitempty"`
	// Hops is the number of routers that relayed the batch; 0 if it comes from the store.
	Hops int `json:"hops,omitempty"`
}

// Feed is the set of objects of one kind in a store that keeps a history of recent changes, read from
// the store itself or from another router's copy, or in a file. Errors are *Error: KindHistoryLost
// when the changes since the position are no longer available, KindNotCurrent when the copy is stale,
// KindInvalidConfiguration when the file can't be read or is invalid, and KindUnavailable when there
// was no usable response.
type Feed interface {
	// List returns all objects.
	List(ctx context.Context) (FeedBatch, error)
	// Watch blocks until there are changes after the position, for at most wait; the batch
	// has no entries if there were none.
	Watch(ctx context.Context, after Position, wait time.Duration) (FeedBatch, error)
}

// Position returns the store's position as of the batch.
func (b *FeedBatch) Position() Position {
	return Position{
		Timeline: b.Timeline,
		Revision: b.Revision,
	}
}
