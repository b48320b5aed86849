package balance

import (
	"maps"
	"slices"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/clock"
	"github.com/slipwick/slipwick/placement"
)

// Knowledge is what a router knows of the caches of engines, by the hash of
// their ID.
type Knowledge struct {
	// Covered are the engines whose caches it knows, but for what was read
	// there within the last moments.
	Covered []uint64
	// Reads are all parts that are known to be kept, of any engine.
	Reads []Read
}

// Question is which caches a router asks another about, by the hash of the engine: all but
// those that it knows, or those that it wants to know, whichever are fewer. Routers of a
// fleet that restarts ask each other many times.
type Question struct {
	Known  []uint64
	Wanted []uint64
}

// Question gives what to ask another router about the engines of the pools; ok is false if
// nothing is missing.
func (b *Balancer) Question(pools []string) (q Question, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := clock.Now()
	for _, pool := range pools {
		for _, s := range b.pools[pool] {
			switch {
			case s.cacheKnown:
				q.Known = append(q.Known, s.hash)
			case s.acceptsNew() && !s.notices.isResting(now):
				q.Wanted = append(q.Wanted, s.hash)
			}
		}
	}
	ok = len(q.Wanted) > 0
	if len(q.Wanted) < len(q.Known) {
		q.Known = nil
	} else {
		q.Wanted = nil
	}
	return q, ok
}

// Knowledge gives what this router knows of the caches of engines that another asks about.
func (b *Balancer) Knowledge(q *Question) Knowledge {
	b.mu.Lock()
	defer b.mu.Unlock()
	requested := make(map[uint64]*server)
	if len(q.Wanted) > 0 {
		for _, hash := range q.Wanted {
			if s := b.hashes[hash]; s != nil && s.cacheKnown {
				requested[hash] = s
			}
		}
	} else {
		for hash, s := range b.hashes {
			if s.cacheKnown {
				requested[hash] = s
			}
		}
		for _, hash := range q.Known {
			delete(requested, hash)
		}
	}
	k := Knowledge{}
	if len(requested) == 0 {
		return k
	}
	k.Covered = slices.Collect(maps.Keys(requested))
	k.Reads = b.cacheIndex.locations(requested)
	return k
}

// Learn takes what another router knows.
func (b *Balancer) Learn(k *Knowledge) {
	b.HearReads(k.Reads)
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, hash := range k.Covered {
		if s := b.hashes[hash]; s != nil {
			s.cacheKnown = true
		}
	}
}

// likelyRanks is how many engines, by a part's rank, a prompt may have been placed
// at while those before were busy.
const maxLikelyRank = 12

// isLikelyLocked tells whether a part was probably placed at the engine for its
// rank. Most of what engines keep are the ends of prompts that nobody will ask for
// again: these lie where the prompt was sent, at any rank. Of a large pool few of
// them are taken for parts that requests share, and what routers that start learn
// and tell each other is as much as there is to know.
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

// Keeps takes the parts that an engine says it keeps, those that were probably
// placed there.
func (b *Balancer) Keeps(id string, parts []uint64) {
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

// HasHome tells whether a listed engine is known to keep the whole shared part
// of the prompt.
func (b *Balancer) HasHome(request *Ask) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(request.Prompt) == 0 {
		return false
	}
	holders, _ := b.cacheIndex.holders.Peek(request.Prompt[len(request.Prompt)-1].Key)
	return slices.ContainsFunc(holders, func(hash uint64) bool {
		s := b.hashes[hash]
		return s != nil && s.Pool == request.Pool && !s.isLeaving()
	})
}

// Uncovered gives the engines of a pool whose caches this router does not
// know, without those that get nothing new, or want nothing for now: to tell a cache is
// work as well.
func (b *Balancer) Uncovered(pool string) []slipwick.Backend {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := clock.Now()
	var engines []slipwick.Backend
	for _, s := range b.pools[pool] {
		if s.acceptsNew() && !s.notices.isResting(now) && !s.cacheKnown {
			engines = append(engines, s.Backend)
		}
	}
	return engines
}

// CoverAll notes that no engine keeps anything yet that this router does not
// know: the whole fleet starts for the first time.
func (b *Balancer) CoverAll() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.empty = true
	for _, s := range b.servers {
		s.cacheKnown = true
	}
}

// KnownParts counts the parts that are known to be kept somewhere.
func (b *Balancer) KnownParts() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cacheIndex.holders.Len()
}
