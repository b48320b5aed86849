package balance

import "time"

// ColdLimit limits the requests to a pool's backend servers while they are cold, that is, can serve
// only few requests for some time, after a start or later.
type ColdLimit struct {
	// MaxPerSecond is how many requests all routers together may send to one server in any
	// second. With 0 there is no limit.
	MaxPerSecond float64
	// NewServerTime is how long a newly listed server counts as cold if its entry does not say.
	NewServerTime time.Duration
}

// Only a few routers of the fleet, the sharers, send to a cold server: those that rank first
// for it among all live routers. Each sends up to an equal fraction of the limit in any second. If
// the limit were split evenly over the fleet, the fraction of a router would be too small for a
// single request.
const (
	// sharedFraction is the fraction of the limit that the sharers use together. As much again is
	// left for a second set of sharers, which can exist when the fleet is partitioned, or when
	// routers that were frozen resume after others have replaced them.
	sharedFraction = 0.5
	// minSharerLimit is the least that one sharer may send in a second if the limit allows it.
	// With a smaller limit, few of a router's requests would fit.
	minSharerLimit = 3
	// coldWindow is the second for which the limit holds, plus the possible difference in
	// network delay between requests.
	coldWindow = 1200 * time.Millisecond
)

// split returns the number of sharers among the live routers, and how many requests each sharer may
// send to a cold server in a second.
func (l *ColdLimit) split(routers int) (sharers, sharerLimit int) {
	shared := int(sharedFraction * l.MaxPerSecond)
	sharers = max(min(shared/minSharerLimit, routers), 1)
	return sharers, shared / sharers
}

// SetColdLimits sets the limits for cold servers by pool name.
func (b *Balancer) SetColdLimits(limits map[string]ColdLimit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.coldLimits = limits
}

// isColdLocked reports whether a server is cold and its pool has a limit for cold servers.
func (b *Balancer) isColdLocked(s *server, now time.Time) bool {
	return now.Before(s.coldUntil) && b.coldLimits[s.Pool].MaxPerSecond > 0
}

// maySendToColdLocked reports whether this router may send to a cold server now. A router whose
// rank changed waits for coldWindow first, because the router that was a sharer before may have
// used its limit within that time.
func (b *Balancer) maySendToColdLocked(s *server, now time.Time) bool {
	limit := b.coldLimits[s.Pool]
	sharers, sharerLimit := limit.split(len(b.ranking.live))
	rank := b.rankLocked(s)
	rankedAt := rank.changedAt
	if b.createdAt.After(rankedAt) {
		rankedAt = b.createdAt
	}
	if b.ranking.live == nil || rank.routersBefore >= sharers || now.Sub(rankedAt) < coldWindow {
		return false
	}
	for len(s.coldSends) > 0 && now.Sub(s.coldSends[0]) >= coldWindow {
		s.coldSends = s.coldSends[1:]
	}
	return len(s.coldSends) < sharerLimit
}

const (
	// busyShare is the mean fraction of slots in use from which on cold engines are used as
	// well. At that load the other engines are slower than a cold one.
	busyShare = 0.3
	// maxColdLoadShare is the fraction of a cold engine's slots that this router uses at most.
	maxColdLoadShare = 0.3
)

// coldOverflowLocked returns a cold engine for a request while the others are busy, or nil. The
// sharers prefer it to the others up to their limit: if it were chosen like any other engine, it
// would get almost no requests, because each sharer has so many others to choose from.
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
