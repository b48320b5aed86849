package slipwick

import "context"

// Store is the platform's object API. Every call counts against the platform's
// rate limits; a Watch counts as one call however long it blocks. Errors are *Error of
// KindNotFound, KindConflict or KindUnavailable. After KindUnavailable from
// Create or Update the write may have taken effect; read the object to find out.
type Store interface {
	// Get returns one object.
	Get(ctx context.Context, key string) (Object, error)
	// Create writes a new object; KindConflict if it exists.
	Create(ctx context.Context, key string, value []byte) (Version, error)
	// Update replaces an object; KindConflict if its version is no longer the given one.
	Update(ctx context.Context, key string, value []byte, version Version) (Version, error)
	// Watch blocks until the object has a version newer than after and returns it. If the
	// platform's own wait ends first, the Object has Version after and no Value.
	Watch(ctx context.Context, key string, after Version) (Object, error)
	// List returns the objects whose keys start with prefix, ordered by key.
	List(ctx context.Context, prefix string) ([]Object, error)
}
