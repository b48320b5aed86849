package balance

import (
	"slices"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// homesKept bounds the parts of prompts whose engines a router remembers;
	// an entry takes about 200 bytes.
	maxCachedParts = 1 << 14
	// holdersKept is how many engines are remembered for a part.
	maxHoldersPerPart = 4
)

// cacheIndex remembers which engines ran each part of a prompt, the latest first.
// Engines stand by the hash of their ID: one whose entry lapses and comes back
// has kept its cache.
type cacheIndex struct {
	holders *lru.LRU[uint64, []uint64]
}

func newCacheIndex() *cacheIndex {
	// The size is positive, the only thing that NewLRU refuses.
	holders, _ := lru.NewLRU[uint64, []uint64](maxCachedParts, nil)
	return &cacheIndex{
		holders: holders,
	}
}

// addLocal notes that an engine read a part; isNew says that it was not known to.
func (h *cacheIndex) addLocal(part, engine uint64) (isNew bool) {
	known, _ := h.holders.Get(part)
	if len(known) > 0 && known[0] == engine {
		return false
	}
	latest := append(make([]uint64, 0, maxHoldersPerPart), engine)
	for _, other := range known {
		if other != engine && len(latest) < maxHoldersPerPart {
			latest = append(latest, other)
		}
	}
	h.holders.Add(part, latest)
	return !slices.Contains(known, engine)
}

// addReported notes that an engine read a part for another router.
func (h *cacheIndex) addReported(part, engine uint64) {
	known, _ := h.holders.Get(part)
	if slices.Contains(known, engine) {
		return
	}
	if len(known) == maxHoldersPerPart {
		known = known[:maxHoldersPerPart-1]
	}
	h.holders.Add(part, append(slices.Clone(known), engine))
}

// holds tells whether an engine is known to have a part.
func (h *cacheIndex) holds(part uint64, s *server) bool {
	known, _ := h.holders.Peek(part)
	return slices.Contains(known, s.hash)
}

// findHolder finds the engine that has the most of a prompt's parts beyond what the
// chosen one has; known is false if none of the parts is known to be anywhere.
func (h *cacheIndex) findHolder(
	parts []uint64, chosen *server, usable func(engine uint64) *server,
) (s *server, known bool) {
	for _, part := range slices.Backward(parts) {
		holders, _ := h.holders.Get(part)
		if slices.Contains(holders, chosen.hash) {
			return nil, true
		}
		for _, holder := range holders {
			if s := usable(holder); s != nil {
				return s, true
			}
		}
	}
	return nil, false
}

// locations gives every part and the engines that keep it, of those that are listed.
func (h *cacheIndex) locations(listed map[uint64]*server) []Read {
	var reads []Read
	for _, part := range h.holders.Keys() {
		holders, _ := h.holders.Peek(part)
		for _, engine := range holders {
			if listed[engine] != nil {
				reads = append(reads, Read{
					Part:   part,
					Server: engine,
				})
			}
		}
	}
	return reads
}
