package balance

import (
	"slices"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// homesKept bounds the parts of prompts whose engines a router remembers;
	// an entry takes about 200 bytes.
	homesKept = 1 << 14
	// holdersKept is how many engines are remembered for a part.
	holdersKept = 4
)

// homes remembers which engines ran each part of a prompt, the latest first.
type homes struct {
	holders *lru.LRU[uint64, []*server]
}

func newHomes() *homes {
	// The size is positive, the only thing that NewLRU refuses.
	holders, _ := lru.NewLRU[uint64, []*server](homesKept, nil)
	return &homes{
		holders: holders,
	}
}

// ran notes that an engine read a part; isNew says that it was not known to.
func (h *homes) ran(part uint64, s *server) (isNew bool) {
	known, _ := h.holders.Get(part)
	if len(known) > 0 && known[0] == s {
		return false
	}
	latest := append(make([]*server, 0, holdersKept), s)
	for _, other := range known {
		if other != s && len(latest) < holdersKept {
			latest = append(latest, other)
		}
	}
	h.holders.Add(part, latest)
	return !slices.Contains(known, s)
}

// heard notes that an engine read a part for another router.
func (h *homes) heard(part uint64, s *server) {
	known, _ := h.holders.Get(part)
	if slices.Contains(known, s) {
		return
	}
	if len(known) == holdersKept {
		known = known[:holdersKept-1]
	}
	h.holders.Add(part, append(slices.Clone(known), s))
}

// has tells whether an engine is known to have a part.
func (h *homes) has(part uint64, s *server) bool {
	known, _ := h.holders.Peek(part)
	return slices.Contains(known, s)
}

// holder finds the engine that has the most of a prompt's parts beyond what the
// chosen one has; known is false if none of the parts is known to be anywhere.
func (h *homes) holder(parts []uint64, chosen *server, usable func(*server) bool) (s *server, known bool) {
	for _, part := range slices.Backward(parts) {
		holders, _ := h.holders.Get(part)
		if slices.Contains(holders, chosen) {
			return nil, true
		}
		for _, holder := range holders {
			if usable(holder) {
				return holder, true
			}
		}
	}
	return nil, false
}

// all gives every part and the engines that keep it.
func (h *homes) all(usable func(*server) bool) []Read {
	var reads []Read
	for _, part := range h.holders.Keys() {
		holders, _ := h.holders.Peek(part)
		for _, s := range holders {
			if usable(s) {
				reads = append(reads, Read{
					Part:   part,
					Server: s.hash,
				})
			}
		}
	}
	return reads
}
