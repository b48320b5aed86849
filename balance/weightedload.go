package balance

import (
	"slices"
	"time"
)

// weightLoadsLocked replaces the loads of engines by their weighted loads, where these are higher
// relative to the bound that applies to them: an engine is below bound only if both its number of
// requests and its weighted load are below theirs. An engine that has just rejected a request counts
// as at the bound, unless all have: a full pool must not prefill prompts elsewhere. mean is the mean
// number of requests, bound their bound.
func (b *Balancer) weightLoadsLocked(usable []*server, loads []float64, bound float64, now time.Time) {
	sum := 0.0
	for i, s := range usable {
		sum += loads[i] * s.speed.loadWeight
	}
	weightedBound := b.usableBoundLocked(usable, sum/float64(max(len(usable), 1)), now)
	isFree := func(s *server) bool { return !s.isFull(now) }
	hasFree := slices.ContainsFunc(usable, isFree)
	for i, s := range usable {
		weighted := loads[i] * s.speed.loadWeight / weightedBound * bound
		if weighted > loads[i] {
			loads[i] = weighted
		}
		if hasFree && !isFree(s) {
			loads[i] = max(loads[i], bound)
		}
	}
}
