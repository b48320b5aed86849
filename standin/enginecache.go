package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/slipwick/slipwick"
)

// maxCacheEvents is how many cache events an engine keeps. The response to a caller
// that asks for older ones reports a gap.
const maxCacheEvents = 1024

// cachedTokens returns how many tokens of the request's prompt are cached.
func (e *Engine) cachedTokens(a *activeResponse) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	tokens, _ := e.cache.Get(a.chat)
	return min(tokens, a.promptTokens)
}

// cachePrefix caches prompt and response as the chat's prefix.
func (e *Engine) cachePrefix(a *activeResponse, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.Add(a.chat, a.promptTokens+tokens)
	e.recordEventLocked(a.chat, false)
}

// recordEventLocked records a cache event, unless the profile drops it; e.mu is held.
func (e *Engine) recordEventLocked(chat string, evicted bool) {
	e.lastSequence++
	if e.profile.EventDropInterval > 0 && e.lastSequence%uint64(e.profile.EventDropInterval) == 0 {
		return
	}
	e.events = append(e.events, timedEvent{
		at: time.Now(),
		event: slipwick.CacheEvent{
			Sequence: e.lastSequence,
			Chat:     chat,
			Evicted:  evicted,
		},
	})
	if len(e.events) > maxCacheEvents {
		e.events = e.events[1:]
	}
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	visible := time.Now().Add(-e.profile.ReportDelay)
	e.mu.Lock()
	events := slipwick.CacheEvents{
		Events: []slipwick.CacheEvent{},
	}
	expected := after + 1
	for _, timed := range e.events {
		if timed.event.Sequence <= after || timed.at.After(visible) {
			continue
		}
		events.Gap = events.Gap || timed.event.Sequence != expected
		expected = timed.event.Sequence + 1
		events.Events = append(events.Events, timed.event)
	}
	e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(events)
}
