package retry

import (
	"time"

	"github.com/slipwick/slipwick/clock"
)

// A Past counts tenths of a window, two windows of requests and one of retries, so that a router that starts learns
// what the fleet has counted in one datagram for a dozen pools.
const (
	pastSlots    = windowSlots / 10
	pastRequests = 2 * windowSlots / pastSlots
	pastRetries  = windowSlots / pastSlots
)

// relearnAge is the age of a router at which all others have reported to it.
const relearnAge = 3 * time.Second

// Past is what the fleet has counted for a pool, in tenths of a window, the latest first.
type Past struct {
	// Pool is the hash of the pool's name.
	Pool     uint32
	Requests [pastRequests]int
	Retries  [pastRetries]int
}

// Pasts returns what the fleet has counted for the pools of which this router knows it whole.
func (b *Budget) Pasts() []Past {
	b.mu.Lock()
	defer b.mu.Unlock()
	var pasts []Past
	for pool := range b.pools {
		w := b.windowOfLocked(pool)
		if !b.remembersLocked(w) {
			continue
		}
		past := Past{
			Pool: pool,
		}
		last := w.slot
		for i := range past.Requests {
			past.Requests[i] = b.fleetRequestsLocked(w, last-pastSlots+1, last)
			if i < len(past.Retries) {
				past.Retries[i] = b.fleetRetriesLocked(w, last-pastSlots+1, last)
			}
			last -= pastSlots
		}
		pasts = append(pasts, past)
	}
	return pasts
}

// NeedsPasts reports whether this router has to learn what the fleet counted before its start. It learns twice: at
// once, and after relearnAge what other routers reported to each other until they reported to this one.
func (b *Budget) NeedsPasts() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pools == nil {
		return b.Restarted
	}
	age := clock.Since(b.began)
	if !b.Restarted || age >= b.Window {
		return false
	}
	for _, w := range b.pools {
		if !w.hasLearned || age >= relearnAge && w.learnedAge < relearnAge {
			return true
		}
	}
	return false
}

// Learn takes what another router knows of the fleet, in place of what this one has counted until now. It does nothing
// once this router has counted for a whole window. Requests count evenly over their tenth of a window, retries as made
// at its end.
func (b *Budget) Learn(past *Past) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowOfLocked(past.Pool)
	age := clock.Since(b.began)
	if !b.Restarted || age >= b.Window || w.hasLearned && (age < relearnAge || w.learnedAge >= relearnAge) {
		return
	}
	w.hasLearned, w.learnedAge = true, age
	w.fleetRequests.clear()
	w.fleetRetries.clear()
	last := w.slot
	for i := range past.Requests {
		first := last - pastSlots + 1
		requests, retries := past.Requests[i], 0
		if i < len(past.Retries) {
			retries = past.Retries[i]
		}
		if !b.fleet.HasOwn {
			requests -= w.requests.sum(first, last)
			retries -= w.retries.sum(first, last)
		}
		w.fleetRequests.spread(first, last, max(requests, 0))
		w.fleetRetries.add(last, max(retries, 0))
		last = first - 1
	}
}
