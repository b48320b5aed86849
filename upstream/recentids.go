package upstream

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// rememberedIDs is how many requests a connection remembers. A response that is sent once more arrives where the one
// to the next request is due, so that the last few matter.
const rememberedIDs = 32

// recentIDs are hashes of the IDs of the last requests of a connection, the oldest first.
type recentIDs struct {
	hashes []uint64
}

// add remembers an ID in place of the oldest one. A request without an ID is not remembered.
func (r *recentIDs) add(id string) {
	if id == "" {
		return
	}
	if len(r.hashes) == rememberedIDs {
		r.hashes = slices.Delete(r.hashes, 0, 1)
	}
	r.hashes = append(r.hashes, xxhash.Sum64String(id))
}

// contains reports whether the ID is remembered. Rarely it does so for an ID with the same hash.
func (r *recentIDs) contains(id string) bool {
	return id != "" && slices.Contains(r.hashes, xxhash.Sum64String(id))
}
