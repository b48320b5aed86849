package balance

import (
	"slices"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxCachedParts bounds the prompt parts whose engines a router remembers. A part takes
	// about 200 bytes.
	maxCachedParts = 1 << 14
	// maxHoldersPerPart bounds the engines that are remembered for a part.
	maxHoldersPerPart = 4
)

// cacheIndex records which engines have each prompt part cached, the latest first. It
// identifies engines by the hash of their incarnation, because one whose entry expires and
// reappears has kept its cache.
type cacheIndex struct {
	holdersByPart *lru.LRU[uint64, []uint64]
}

func newCacheIndex() *cacheIndex {
	// NewLRU fails only for a size that is not positive.
	holders, _ := lru.NewLRU[uint64, []uint64](maxCachedParts, nil)
	return &cacheIndex{
		holdersByPart: holders,
	}
}

// addLocal records that an engine prefilled a part for this router. isNew says that this was
// not known.
func (c *cacheIndex) addLocal(part, engine uint64) (isNew bool) {
	known, _ := c.holdersByPart.Get(part)
	if len(known) > 0 && known[0] == engine {
		return false
	}
	latest := append(make([]uint64, 0, maxHoldersPerPart), engine)
	for _, other := range known {
		if other != engine && len(latest) < maxHoldersPerPart {
			latest = append(latest, other)
		}
	}
	c.holdersByPart.Add(part, latest)
	return !slices.Contains(known, engine)
}

// addReported records that an engine prefilled a part for another router.
func (c *cacheIndex) addReported(part, engine uint64) {
	known, _ := c.holdersByPart.Get(part)
	if slices.Contains(known, engine) {
		return
	}
	if len(known) == maxHoldersPerPart {
		known = known[:maxHoldersPerPart-1]
	}
	c.holdersByPart.Add(part, append(slices.Clone(known), engine))
}

// holds reports whether an engine is known to have a part cached.
func (c *cacheIndex) holds(part uint64, s *server) bool {
	known, _ := c.holdersByPart.Peek(part)
	return slices.Contains(known, s.hash)
}

// findHolder returns the engine with the longest cached prefix beyond that of the chosen one, or nil.
// It considers only engines that can be fetched from, for which fetchSource returns the server. known
// is false if neither the chosen engine nor any of these is known to have any of the parts cached.
func (c *cacheIndex) findHolder(
	parts []uint64, chosen *server, fetchSource func(engine uint64) *server,
) (s *server, known bool) {
	for _, part := range slices.Backward(parts) {
		holders, _ := c.holdersByPart.Get(part)
		if slices.Contains(holders, chosen.hash) {
			return nil, true
		}
		for _, holder := range holders {
			if s := fetchSource(holder); s != nil {
				return s, true
			}
		}
	}
	return nil, false
}

// locations returns every part with each of the given engines that have it cached.
func (c *cacheIndex) locations(engines map[uint64]*server) []CachedPart {
	var cached []CachedPart
	for _, part := range c.holdersByPart.Keys() {
		holders, _ := c.holdersByPart.Peek(part)
		for _, engine := range holders {
			if engines[engine] != nil {
				cached = append(cached, CachedPart{
					Part:   part,
					Server: engine,
				})
			}
		}
	}
	return cached
}
