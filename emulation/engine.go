package emulation

import (
	"sync"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"
)

// Engine is an emulated engine. It holds a bounded LRU cache of chats' prefixes.
type Engine struct {
	ID string

	mu    sync.Mutex
	cache *lru.LRU[uint64, struct{}]
}

func newEngine(id string, chats int) *Engine {
	e := &Engine{
		ID: id,
	}
	e.cache, _ = lru.NewLRU[uint64, struct{}](max(chats, 1), nil)
	return e
}

// serve caches the chat's prefix and reports whether it was cached before.
func (e *Engine) serve(chat uint64) (cached bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, cached = e.cache.Get(chat)
	e.cache.Add(chat, struct{}{})
	return cached
}
