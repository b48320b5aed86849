package gateway

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// sharedParts gives the keys of the parts of a prompt that other requests
// share: all but the last, which is the request's own unless it is the only
// one.
func sharedParts(prompt string) []uint64 {
	if prompt == "" {
		return nil
	}
	parts := strings.Split(prompt, ",")
	keys := make([]uint64, 0, len(parts))
	for _, part := range parts[:max(len(parts)-1, 1)] {
		id, _, _ := strings.Cut(strings.TrimSpace(part), ":")
		keys = append(keys, PartKey(id))
	}
	return keys
}

// PartKey gives the key of a part of a prompt by its ID.
func PartKey(id string) uint64 {
	return xxhash.Sum64String(id)
}
