package balance

import (
	"slices"
	"time"

	"github.com/slipwick/slipwick/placement"
)

// byPromptLocked takes an engine that has the prompt cached and is not loaded
// above the bound; without one, the engine below the bound that has the least to
// read; and when all are above it, the least loaded.
func (b *Balancer) chooseByPromptLocked(request *Ask, pool, usable []*server, now time.Time, decay float64) *Lease {
	parts := request.keys()
	prompt := parts[len(parts)-1]
	each, mean := b.expectedLoadsLocked(usable, now, decay)
	bound := b.usableBoundLocked(usable, mean, now)
	holders, _ := b.cacheIndex.holders.Peek(prompt)
	best := candidate{}
	for i, s := range usable {
		if each[i] >= bound {
			continue
		}
		c := candidate{
			server:  s,
			has:     slices.Contains(holders, s.hash),
			isLocal: s.DataCentre == b.DataCentre,
			score:   placement.Score(prompt, s.hash),
		}
		if c.isBetterThan(&best) {
			best = c
		}
	}
	chosen := best.server
	switch {
	case chosen == nil:
		chosen = usable[chooseByWaterFilling(each, b.unreportedRequestsLocked(usable, decay), b.Draw())]
	case !best.has:
		chosen = b.leastPrefillLocked(prompt, usable, each, bound, now)
	}
	if overflow := b.coldOverflowLocked(mean); overflow != nil {
		chosen = overflow
	}
	lease := newLease(chosen)
	lease.hasPrompt = true
	lease.pendingPrefill = request.Own
	has := b.cacheIndex.holds(prompt, chosen)
	if !has {
		lease.pendingPrefill = request.tokens()
	}
	lease.promptTokensToPrefill = lease.pendingPrefill
	holder := b.fetchSourceLocked(request, parts, pool, chosen, now)
	if holder != nil {
		lease.FetchFrom = holder.Address
	}
	if has || holder != nil && b.cacheIndex.holds(prompt, holder) {
		b.awaitPrefillLocked(request, prompt, lease, now)
	} else {
		b.startPrefillLocked(prompt, lease, now)
	}
	b.recordCachedPartsLocked(parts, chosen)
	return lease
}

// leastReadingLocked gives the engine, below the bound, that has the least to
// read before it, with a lead by the prompt's ranks: by so much an engine may be
// behind the next and still get a prompt that it does not have. It keeps routers,
// which know of each other's readings late, from choosing the same engine for
// all prompts.
func (b *Balancer) leastPrefillLocked(
	prompt uint64, usable []*server, each []float64, bound float64, now time.Time,
) *server {
	below := b.scratch.below[:0]
	for i, s := range usable {
		if each[i] < bound {
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
	rankLead := b.paceLocked(usable[0].Pool).prefill.Tokens(rankLeadTime)
	var best *server
	bestCost := 0
	// The ranks are gone through only as far as one may cost less.
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

// indexOfMax gives the index of the highest score.
func indexOfMax(scores []uint64) int {
	best := 0
	for i, score := range scores {
		if score > scores[best] {
			best = i
		}
	}
	return best
}

// nearHoldersLocked moves those of the engines to the front, and gives them, that
// are in the data centre of one that has the prompt and can be reached: they fetch
// it in half of the time. Without any it gives all.
func (b *Balancer) preferHolderDataCentresLocked(prompt uint64, engines []*server, now time.Time) []*server {
	known, _ := b.cacheIndex.holders.Peek(prompt)
	var holds []string
	for _, hash := range known {
		if holder := b.hashes[hash]; holder != nil && b.canFetchFromLocked(holder, now) {
			holds = append(holds, holder.DataCentre)
		}
	}
	near := 0
	for i, e := range engines {
		if slices.Contains(holds, e.DataCentre) {
			engines[near], engines[i] = engines[i], engines[near]
			near++
		}
	}
	if near == 0 {
		return engines
	}
	return engines[:near]
}

// candidate is an engine that a prompt could go to.
type candidate struct {
	server *server
	// has says that it is known to have the prompt cached.
	has bool
	// isLocal says that it is in the router's data centre; among several that
	// have the prompt, isLocal ones save bytes between data centres.
	isLocal bool
	score   uint64
}

func (c *candidate) isBetterThan(other *candidate) bool {
	if other.server == nil || c.has != other.has {
		return other.server == nil || c.has
	}
	if c.has && c.isLocal != other.isLocal {
		return c.isLocal
	}
	return c.score > other.score
}

// ranLocked notes, and later tells the other routers, where parts are kept.
func (b *Balancer) recordCachedPartsLocked(parts []uint64, s *server) {
	for _, part := range parts {
		if b.cacheIndex.addLocal(part, s.hash) && len(b.pendingReads) < maxPendingReads {
			b.pendingReads = append(b.pendingReads, Read{
				Part:   part,
				Server: s.hash,
			})
		}
	}
}

// holderLocked gives the engine that most probably has the prompt cached, or
// its first parts, if it is not the chosen one: one that is known to keep the
// prompt; the best ranked of those that were listed before the chosen one, if
// its cache is not known; one that is known to keep the first parts.
func (b *Balancer) fetchSourceLocked(request *Ask, parts []uint64, pool []*server, chosen *server, now time.Time) *server {
	usable := func(engine uint64) *server {
		if s := b.hashes[engine]; s != nil && request.allows(s) && b.canFetchFromLocked(s, now) {
			return s
		}
		return nil
	}
	prompt := parts[len(parts)-1]
	if holder, known := b.cacheIndex.findHolder(parts[len(parts)-1:], chosen, usable); known {
		return holder
	}
	if likely := b.likelyHolderLocked(request, prompt, pool, chosen, now); likely != chosen && likely != nil && !likely.cacheKnown {
		return likely
	}
	holder, _ := b.cacheIndex.findHolder(parts[:len(parts)-1], chosen, usable)
	return holder
}

// likelyHomeLocked gives the best ranked engine for a prompt of those that were listed
// before the chosen one, or the chosen one if it is that.
func (b *Balancer) likelyHolderLocked(request *Ask, prompt uint64, pool []*server, chosen *server, now time.Time) *server {
	var likely *server
	var likelyScore uint64
	for _, s := range pool {
		if b.isUnavailableLocked(s, now) || !request.allows(s) || s != chosen && s.listedAt.After(chosen.listedAt) {
			continue
		}
		if s == chosen && now.Sub(s.listedAt) < cacheWarmupTime {
			continue
		}
		if score := placement.Score(prompt, s.hash); likely == nil || score > likelyScore {
			likely, likelyScore = s, score
		}
	}
	return likely
}

// settledAfter is how long an engine has to be listed for its prompts to count
// as cached there.
const cacheWarmupTime = 20 * time.Second
