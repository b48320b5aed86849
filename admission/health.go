package admission

import (
	"time"

	"github.com/slipwick/slipwick"
)

// Health is what an owner found out about an engine.
type Health int

// The states of health.
const (
	HealthGood Health = iota
	// HealthEjected is out for its errors for a while.
	HealthEjected
	// HealthLeaving said that it takes no new work.
	HealthLeaving
)

// minReturn is the share of the limit with which an engine returns.
const minReturn = 0.1

// health gathers evidence on one engine.
type health struct {
	state Health
	// bad counts requests in a row that speak against the engine.
	bad int
	// ejections counts those without a lasting return in between.
	ejections int
	// until ends an ejection; returned is when the last one ended.
	until, returned time.Time
	slowReturn      time.Duration
}

// observe counts evidence; true says that the engine should be ejected.
func (h *health) observe(evidence slipwick.Evidence, after int, now time.Time) bool {
	switch {
	case evidence == slipwick.EvidenceGood:
		h.bad = 0
		if h.ejections > 0 && now.Sub(h.returned) > h.slowReturn {
			h.ejections = 0
		}
	case evidence.Bad():
		h.bad++
	}
	return h.state == HealthGood && h.bad >= after
}

// eject takes the engine out and gives for how long.
func (h *health) eject(policy *Policy, now time.Time) time.Duration {
	length := policy.EjectFor
	for range h.ejections {
		length = min(2*length, policy.EjectMax)
	}
	h.state, h.bad = HealthEjected, 0
	h.ejections++
	h.until = now.Add(length)
	return length
}

// restore lets an ejected engine return slowly.
func (h *health) restore(slowReturn time.Duration, now time.Time) {
	h.state, h.returned, h.slowReturn = HealthGood, now, slowReturn
}

// scale lowers the bound while the engine returns.
func (h *health) scale(bound int, now time.Time) int {
	if h.returned.IsZero() || h.slowReturn == 0 {
		return bound
	}
	progress := float64(now.Sub(h.returned)) / float64(h.slowReturn)
	if progress >= 1 {
		return bound
	}
	return max(1, int(float64(bound)*max(minReturn, progress)))
}
