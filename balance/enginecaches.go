package balance

import (
	"slices"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/clock"
	"github.com/slipwick/slipwick/placement"
)

// maxLikelyRank is how many engines, in the rank order of a prompt part, count as places where
// its prompt may have been sent while engines with a better rank were busy.
const maxLikelyRank = 12

// isLikelyPlacementLocked reports whether a part was probably cached on the engine because of
// its rank. Most of what engines have cached are the ends of prompts that nobody will request
// again. These are wherever the prompt was sent, at any rank. In a large pool the rank filters
// out most of them, which limits what starting routers fetch and send each other to the parts
// that requests share.
func (b *Balancer) isLikelyPlacementLocked(part uint64, s *server) bool {
	own, higherRanked := placement.Score(part, s.hash), 0
	for _, other := range b.pools[s.Pool] {
		if placement.Score(part, other.hash) > own {
			higherRanked++
			if higherRanked == maxLikelyRank {
				return false
			}
		}
	}
	return true
}

// RecordCachedParts takes the parts that an engine lists as cached, and records those that were
// probably placed there.
func (b *Balancer) RecordCachedParts(id string, parts []uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.servers[id]
	if s == nil {
		return
	}
	for _, part := range parts {
		if b.isLikelyPlacementLocked(part, s) {
			b.cacheIndex.addReported(part, s.hash)
		}
	}
	s.cacheKnown = true
}

// HasCachedPrompt reports whether a listed engine of the pool is known to have all shared parts
// of the prompt cached.
func (b *Balancer) HasCachedPrompt(request *Request) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(request.Prompt) == 0 {
		return false
	}
	holders, _ := b.cacheIndex.holdersByPart.Peek(request.Prompt[len(request.Prompt)-1].Key)
	return slices.ContainsFunc(holders, func(hash uint64) bool {
		s := b.serversByHash[hash]
		return s != nil && s.Pool == request.Pool && !s.isLeaving()
	})
}

// EnginesWithUnknownCaches returns the engines of a pool whose caches this router does not
// know. It leaves out engines that accept no new requests or asked for a pause, because listing
// a cache costs an engine work as well.
func (b *Balancer) EnginesWithUnknownCaches(pool string) []slipwick.Backend {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := clock.Now()
	var engines []slipwick.Backend
	for _, s := range b.pools[pool] {
		if s.acceptsNew() && !s.notices.isPaused(now) && !s.cacheKnown {
			engines = append(engines, s.Backend)
		}
	}
	return engines
}

// MarkCachesKnown notes that no engine has anything cached that this router does not know, as
// when the whole fleet starts for the first time.
func (b *Balancer) MarkCachesKnown() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.startedEmpty = true
	for _, s := range b.servers {
		s.cacheKnown = true
	}
}

// CachedPartCount returns the number of prompt parts that are known to be cached on some
// engine.
func (b *Balancer) CachedPartCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cacheIndex.holdersByPart.Len()
}
