package gateway

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/slipwick/slipwick/clock"
	"github.com/slipwick/slipwick/quarantine"
)

// refusedKeys remembers the requests that were refused for lack of capacity, to recognise callers
// that return as told. The zero value is ready for use, and safe for concurrent use.
type refusedKeys struct {
	mu sync.Mutex
	// dueAt has when the caller of each refused request may return.
	dueAt *lru.LRU[quarantine.Key, time.Time]
}

const (
	// maxRefusedKeys bounds the remembered requests, of 150 bytes each: some seconds of refusals at
	// one router. The oldest are forgotten first.
	maxRefusedKeys = 8192
	// earlyReturn is how much earlier than told a caller may return: the value in the response is
	// rounded, and timers of callers are not exact.
	earlyReturn = 5 * time.Millisecond
	// returnWindow is how long after the told time a caller still counts as returning.
	returnWindow = 10 * time.Second
)

// add notes that a request was refused and its caller told to return after a time.
func (r *refusedKeys) add(key quarantine.Key, retryAfter time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.dueAt == nil {
		// The error is for sizes below 1.
		r.dueAt, _ = lru.NewLRU[quarantine.Key, time.Time](maxRefusedKeys, nil)
	}
	r.dueAt.Add(key, clock.Now().Add(retryAfter))
}

// takeReturning reports whether the request was refused before and its caller returns as told. It
// forgets the refusal then. A caller that returns earlier gets no precedence for it.
func (r *refusedKeys) takeReturning(key quarantine.Key) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.dueAt == nil || r.dueAt.Len() == 0 {
		return false
	}
	due, known := r.dueAt.Peek(key)
	if !known {
		return false
	}
	late := clock.Since(due)
	if late < -earlyReturn {
		return false
	}
	r.dueAt.Remove(key)
	return late <= returnWindow
}
