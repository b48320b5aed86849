package balance

import (
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

// Covered gives the engines, by the hash of their ID, whose caches this router
// knows.
func (b *Balancer) Covered() []uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	var covered []uint64
	for hash, s := range b.hashes {
		if s.covered {
			covered = append(covered, hash)
		}
	}
	return covered
}

// Knowledge gives what this router knows of the caches of engines, for one that
// knows those of some already.
func (b *Balancer) Knowledge(known []uint64) Knowledge {
	b.mu.Lock()
	defer b.mu.Unlock()
	lacking := make(map[uint64]*server)
	k := Knowledge{}
	for hash, s := range b.hashes {
		if s.covered && !slices.Contains(known, hash) {
			lacking[hash] = s
			k.Covered = append(k.Covered, hash)
		}
	}
	k.Reads = b.homes.all(lacking)
	return k
}

// Learn takes what another router knows.
func (b *Balancer) Learn(k *Knowledge) {
	b.HearReads(k.Reads)
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, hash := range k.Covered {
		if s := b.hashes[hash]; s != nil {
			s.covered = true
		}
	}
}

// likelyRanks is how many engines, by a part's rank, a prompt may have been placed
// at while those before were busy.
const likelyRanks = 12

// isLikelyLocked tells whether a part was probably placed at the engine for its
// rank. Most of what engines keep are the ends of prompts that nobody will ask for
// again: these lie where the prompt was sent, at any rank. Of a large pool few of
// them are taken for parts that requests share, and what routers that start learn
// and tell each other is as much as there is to know.
func (b *Balancer) isLikelyLocked(part uint64, s *server) bool {
	own, before := placement.Score(part, s.hash), 0
	for _, other := range b.pools[s.Pool] {
		if placement.Score(part, other.hash) > own {
			before++
			if before == likelyRanks {
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
		if b.isLikelyLocked(part, s) {
			b.homes.heard(part, s.hash)
		}
	}
	s.covered = true
}

// HasHome tells whether a listed engine is known to keep the whole shared part
// of the prompt.
func (b *Balancer) HasHome(ask *Ask) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(ask.Prompt) == 0 {
		return false
	}
	prompt := ask.Prompt[len(ask.Prompt)-1].Key
	for _, s := range b.pools[ask.Pool] {
		if !s.isLeaving() && b.homes.has(prompt, s) {
			return true
		}
	}
	return false
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
		if s.takesNew() && !s.said.isResting(now) && !s.covered {
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
		s.covered = true
	}
}

// KnownParts counts the parts that are known to be kept somewhere.
func (b *Balancer) KnownParts() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.homes.holders.Len()
}
