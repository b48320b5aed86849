package balance

import lru "github.com/hashicorp/golang-lru/v2/simplelru"

// homesKept bounds the prompts whose latest engine a router remembers; an
// entry takes about 100 bytes.
const homesKept = 1 << 15

// homes remembers at which engine each prompt ran last.
type homes struct {
	last *lru.LRU[uint64, string]
}

func newHomes() *homes {
	// The size is positive, the only thing that NewLRU refuses.
	last, _ := lru.NewLRU[uint64, string](homesKept, nil)
	return &homes{
		last: last,
	}
}

func (h *homes) set(prompt uint64, id string) {
	h.last.Add(prompt, id)
}

func (h *homes) get(prompt uint64) (id string, ok bool) {
	return h.last.Get(prompt)
}
