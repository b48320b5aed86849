package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/slipwick/slipwick"
)

// keptEvents is how many cache events an engine keeps; older ones are a gap.
const keptEvents = 1024

// lookUp gives how many tokens of the answer's prompt are cached.
func (e *Engine) lookUp(a *answer) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	tokens, _ := e.cache.Get(a.chat)
	return min(tokens, a.promptTokens)
}

// store keeps prompt and answer as the chat's prefix.
func (e *Engine) store(a *answer, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.Add(a.chat, a.promptTokens+tokens)
	e.recordLocked(a.chat, false)
}

func (e *Engine) recordLocked(chat string, evicted bool) {
	e.last++
	if e.profile.EventGap > 0 && e.last%uint64(e.profile.EventGap) == 0 {
		return
	}
	e.events = append(e.events, timedEvent{
		at: time.Now(),
		event: slipwick.CacheEvent{
			Sequence: e.last,
			Chat:     chat,
			Evicted:  evicted,
		},
	})
	if len(e.events) > keptEvents {
		e.events = e.events[1:]
	}
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	visible := time.Now().Add(-e.profile.ReportLag)
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
