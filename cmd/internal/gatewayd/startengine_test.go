package gatewayd

import (
	"sync"
	"time"
)

const (
	// An engine prefills prefilledPerMS tokens of one prompt at a time, and then runs steps of stepTime
	// for up to engineSlots requests.
	prefilledPerMS = 61.8
	stepTime       = 3090 * time.Microsecond
	engineSlots    = 32
)

// startEngine is an engine of a startingFleet.
type startEngine struct {
	// slots has a value for each request in flight.
	slots chan struct{}

	mu sync.Mutex
	// busyUntil is the end of the prompts that it got so far, cached are the IDs of the shared parts in
	// its cache.
	busyUntil time.Time
	cached    map[string]bool
}

func newStartEngine() *startEngine {
	return &startEngine{
		slots:  make(chan struct{}, engineSlots),
		cached: make(map[string]bool),
	}
}

// parts returns the cached parts.
func (e *startEngine) parts() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	parts := make([]string, 0, len(e.cached))
	for part := range e.cached {
		parts = append(parts, part)
	}
	return parts
}

// prefill returns the time to the first token of a prompt with one shared part, and whether that part
// had to be prefilled.
func (e *startEngine) prefill(part string, sharedTokens, uniqueTokens int) (wait time.Duration, isMiss bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now, tokens := time.Now(), uniqueTokens
	if isMiss = !e.cached[part]; isMiss {
		tokens += sharedTokens
		e.cached[part] = true
	}
	if e.busyUntil.Before(now) {
		e.busyUntil = now
	}
	e.busyUntil = e.busyUntil.Add(time.Duration(float64(tokens) / prefilledPerMS * float64(time.Millisecond)))
	return e.busyUntil.Sub(now) + stepTime, isMiss
}
