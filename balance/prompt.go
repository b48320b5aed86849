package balance

import (
	"slices"
	"time"

	"github.com/slipwick/slipwick/placement"
)

// chooseByPromptLocked chooses an engine that has the prompt cached and is below the load
// bound. Without one, it chooses the engine below the bound with the least prefill work, and if
// all are above it, the least loaded.
func (b *Balancer) chooseByPromptLocked(request *Request, pool, usable []*server, now time.Time, decay float64) *Lease {
	parts := request.partKeys()
	prompt := parts[len(parts)-1]
	loads, mean := b.expectedLoadsLocked(usable, now, decay)
	bound := b.usableBoundLocked(usable, mean, now)
	if b.speedAware {
		b.weightLoadsLocked(usable, loads, bound, now)
	}
	// Few engines have the prompt cached, so that the other ones aren't ranked unless none of these may get it.
	holder, overshoot := b.bestHolderLocked(prompt, usable, loads, bound, b.promisedBoundLocked(usable, mean, now))
	chosen := b.chooseSpreadLocked(prompt, overshoot, usable, loads, bound, mean, now)
	if chosen == nil {
		chosen = holder
	}
	switch {
	case chosen != nil:
	case slices.ContainsFunc(loads, func(load float64) bool { return load < bound }):
		chosen = b.leastPrefillLocked(prompt, usable, loads, bound, now)
	default:
		chosen = usable[chooseByWaterFilling(loads, b.unreportedRequestsLocked(usable, decay), b.Random())]
	}
	if overflow := b.coldOverflowLocked(mean); overflow != nil {
		chosen = overflow
	}
	lease := newLease(chosen)
	lease.hasPrompt = true
	lease.pendingPrefill = request.UniqueTokens
	isCached := b.cacheIndex.holds(prompt, chosen)
	if !isCached {
		lease.pendingPrefill = request.tokens()
	}
	lease.tokensToPrefill = lease.pendingPrefill
	source := b.fetchSourceLocked(request, parts, pool, chosen, now)
	if source != nil {
		lease.FetchFrom = source.Address
	}
	if isCached || source != nil && b.cacheIndex.holds(prompt, source) {
		b.awaitPrefillLocked(request, prompt, lease, now)
	} else {
		b.startPrefillLocked(prompt, lease, now)
	}
	b.recordPlacementLocked(parts, chosen)
	return lease
}

// leastPrefillLocked returns the engine below the load bound with the least prefill work,
// after a lead by rank: an engine may have rankLeadTime more work than the next one in the prompt's
// rank order and still get the prompt. Routers learn late of each other's prefills, and without
// the lead they would choose the same engine for all prompts.
func (b *Balancer) leastPrefillLocked(
	prompt uint64, usable []*server, loads []float64, bound float64, now time.Time,
) *server {
	below := b.scratch.below[:0]
	for i, s := range usable {
		if loads[i] < bound {
			below = append(below, s)
		}
	}
	b.scratch.below = below
	below = b.preferHolderDataCentresLocked(prompt, below, now)
	scores := b.scratch.scores[:0]
	for _, s := range below {
		scores = append(scores, placement.Score(prompt, s.hash))
	}
	b.scratch.scores = scores
	rankLead := b.timingsLocked(usable[0].Pool).prefill.TokensWithin(rankLeadTime)
	var best *server
	bestCost := 0
	// A lower rank is considered only while its lead could still make it the cheapest.
	for rank := 0; rank < len(below) && (best == nil || rank*rankLead < bestCost); rank++ {
		i := indexOfMax(scores)
		s := below[i]
		scores[i] = 0
		if cost := rank*rankLead + max(s.prefillTokens+s.remotePrefillTokens, 0); best == nil || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return best
}

// indexOfMax returns the index of the highest score.
func indexOfMax(scores []uint64) int {
	best := 0
	for i, score := range scores {
		if score > scores[best] {
			best = i
		}
	}
	return best
}

// preferHolderDataCentresLocked returns the engines that are in the same data centre as a
// reachable engine that has the prompt cached, because they fetch it in half the time. Without
// any it returns all engines. It reorders the slice.
func (b *Balancer) preferHolderDataCentresLocked(prompt uint64, engines []*server, now time.Time) []*server {
	known, _ := b.cacheIndex.holdersByPart.Peek(prompt)
	var holderDataCentres []string
	for _, hash := range known {
		if holder := b.serversByHash[hash]; holder != nil && b.canFetchFromLocked(holder, now) &&
			!slices.Contains(holderDataCentres, holder.DataCentre) {
			holderDataCentres = append(holderDataCentres, holder.DataCentre)
		}
	}
	if len(holderDataCentres) == 0 {
		return engines
	}
	matches := 0
	for i, e := range engines {
		if slices.Contains(holderDataCentres, e.DataCentre) {
			engines[matches], engines[i] = engines[i], engines[matches]
			matches++
		}
	}
	if matches == 0 {
		return engines
	}
	return engines[:matches]
}

// recordPlacementLocked records, in the cache index and for the next update, that an engine will have
// the parts of a prompt cached because a request with that prompt goes there.
func (b *Balancer) recordPlacementLocked(parts []uint64, s *server) {
	for _, part := range parts {
		if b.cacheIndex.addLocal(part, s.hash) && len(b.pendingCachedParts) < maxPendingItems {
			b.pendingCachedParts = append(b.pendingCachedParts, CachedPart{
				Part:   part,
				Server: s.hash,
			})
		}
	}
}

// fetchSourceLocked returns the engine from which the chosen one should fetch the prompt or its
// first parts, or nil. The first choice is an engine that is known to have the whole prompt cached.
// The second is the likely holder, unless that is the chosen engine or its cache is known. The third
// is an engine that is known to have the first parts cached.
func (b *Balancer) fetchSourceLocked(
	request *Request, parts []uint64, pool []*server, chosen *server, now time.Time,
) *server {
	fetchSource := func(engine uint64) *server {
		if s := b.serversByHash[engine]; s != nil && request.allows(s) && b.canFetchFromLocked(s, now) {
			return s
		}
		return nil
	}
	prompt := parts[len(parts)-1]
	if holder, known := b.cacheIndex.findHolder(parts[len(parts)-1:], chosen, fetchSource); known {
		return holder
	}
	if likely := b.likelyHolderLocked(request, prompt, pool, chosen, now); likely != chosen &&
		likely != nil && !likely.cacheKnown {
		return likely
	}
	holder, _ := b.cacheIndex.findHolder(parts[:len(parts)-1], chosen, fetchSource)
	return holder
}

// likelyHolderLocked returns the best ranked engine for a prompt among the chosen one and those
// that were not listed after it, or nil. The chosen one counts only if it has been listed for
// cacheWarmupTime.
func (b *Balancer) likelyHolderLocked(
	request *Request, prompt uint64, pool []*server, chosen *server, now time.Time,
) *server {
	var likely *server
	var likelyScore uint64
	for _, s := range pool {
		// Most engines rank lower than the best one so far, so that this check comes first.
		score := placement.Score(prompt, s.hash)
		if likely != nil && score <= likelyScore {
			continue
		}
		if b.isUnavailableLocked(s, now) || !request.allows(s) || s != chosen && s.listedAt.After(chosen.listedAt) {
			continue
		}
		if s == chosen && now.Sub(s.listedAt) < cacheWarmupTime {
			continue
		}
		likely, likelyScore = s, score
	}
	return likely
}

// cacheWarmupTime is how long an engine has to be listed before the prompts that rank it first
// count as cached there.
const cacheWarmupTime = 20 * time.Second
