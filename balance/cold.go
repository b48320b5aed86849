package balance

import "time"

// ColdLimit bounds what a pool's backend servers get while they are cold.
type ColdLimit struct {
	// Most is how many requests one may get in any second, of all routers; 0 sets
	// no bound.
	Most float64
	// New is how long one that is listed anew counts as cold, where entries do not
	// tell it.
	New time.Duration
}

// A cold server is used by a few routers of the fleet, its sharers: those that rank
// first for it among all that live. Each sends up to its part of the limit in any
// second, and the other routers nothing. An even split over the fleet would leave each a
// part too small for one request.
const (
	// coldShare of the limit is what the sharers use together. As much again is
	// there for a second set of them, as routers on both sides of a split, or the
	// ones that were frozen and those that took their place, count themselves.
	sharedPart = 0.5
	// leastPart is what one sharer may send in a second at least, if the limit
	// allows it: less would make a part that few of a router's requests fit.
	minSharerLimit = 3
	// coldWindow is the second that the limit holds for, and what sends may differ
	// by in their time on the way.
	coldWindow = 1200 * time.Millisecond
)

// coldShares is how a limit is shared out in a fleet.
func (l *ColdLimit) split(routers int) (sharers, part int) {
	shared := int(sharedPart * l.Most)
	sharers = max(min(shared/minSharerLimit, routers), 1)
	return sharers, shared / sharers
}

// SetColdLimits takes the limits of pools, by name.
func (b *Balancer) SetColdLimits(limits map[string]ColdLimit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.coldLimits = limits
}

// isColdLocked tells whether a server is cold, and its pool has a limit for such.
func (b *Balancer) isColdLocked(s *server, now time.Time) bool {
	return now.Before(s.coldUntil) && b.coldLimits[s.Pool].Most > 0
}

// mayGetColdLocked tells whether this router may send to a cold server now. One whose
// rank changed waits for a window: the router that was a sharer before it may have
// used its part within it.
func (b *Balancer) maySendToColdLocked(s *server, now time.Time) bool {
	limit := b.coldLimits[s.Pool]
	sharers, part := limit.split(len(b.ranking.live))
	rank := b.rankLocked(s)
	rankedAt := rank.changedAt
	if b.began.After(rankedAt) {
		rankedAt = b.began
	}
	if b.ranking.live == nil || rank.routersBefore >= sharers || now.Sub(rankedAt) < coldWindow {
		return false
	}
	for len(s.coldSends) > 0 && now.Sub(s.coldSends[0]) >= coldWindow {
		s.coldSends = s.coldSends[1:]
	}
	return len(s.coldSends) < part
}

const (
	// pressedShare of the slots taken, in the mean, is from when on cold engines are
	// used beside the others: these are slower by then than a cold one.
	busyShare = 0.3
	// reliefShare of a cold engine's slots is what this router uses at most.
	maxColdLoadShare = 0.3
)

// reliefLocked gives a cold engine for a request while the others are pressed. Its
// sharers fill it first, up to their part: chosen like any other it would get next to
// nothing, as each of them has so many others to choose from.
func (b *Balancer) coldOverflowLocked(mean float64) *server {
	var overflow *server
	for _, s := range b.scratch.cold {
		slots := float64(s.EffectiveSlots())
		if mean >= busyShare*slots && float64(s.inFlight) < maxColdLoadShare*slots &&
			(overflow == nil || s.inFlight < overflow.inFlight) {
			overflow = s
		}
	}
	return overflow
}
