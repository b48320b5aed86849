package slipwick

import "context"

// Store is the platform's object API. Every call counts against the
// platform's rates; a waiting Watch counts as one call. Errors are *Error of
// KindNotFound, KindConflict or KindUnavailable; after KindUnavailable from
// Create or Update the write may have taken effect and has to be read back.
type Store interface {
	// Get reads one object.
	Get(ctx context.Context, key string) (Object, error)
	// Create writes an object that must not exist yet.
	Create(ctx context.Context, key string, value []byte) (Version, error)
	// Update replaces an object that must still have the version.
	Update(ctx context.Context, key string, value []byte, version Version) (Version, error)
	// Watch waits until the object is newer than after and gives it. It
	// gives the last known object when the platform's own wait ends first.
	Watch(ctx context.Context, key string, after Version) (Object, error)
	// List gives the objects whose keys start with prefix, in key order.
	List(ctx context.Context, prefix string) ([]Object, error)
}
