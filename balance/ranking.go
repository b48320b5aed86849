package balance

import (
	"maps"
	"time"

	"github.com/slipwick/slipwick/clock"
	"github.com/slipwick/slipwick/placement"
)

// routerRanking is which routers live, by the hash of their ID, and who came or went
// within the last coldWindow. Cold servers alone are ranked by it, when a request looks at
// one: a fleet that starts learns of its routers one by one, and ranking all servers each
// time would cost the product of both.
type routerRanking struct {
	self uint64
	live map[uint64]bool
	// version counts the changes of live, recent is when each of those came or went.
	version uint64
	recent  map[uint64]time.Time
}

// routerRank is how this router ranks for a server, by a version of the ranking.
type routerRank struct {
	version uint64
	// routersBefore counts the routers that rank routersBefore this one, changedAt is when one of
	// these came or went last, if that was within coldWindow routersBefore it was ranked.
	routersBefore int
	changedAt     time.Time
}

// SetRouters takes the IDs of the routers that live, this one among them or not.
func (b *Balancer) SetRouters(self string, ids []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, now := &b.ranking, clock.Now()
	r.self = placement.IDHash(self)
	if r.recent == nil {
		r.recent = make(map[uint64]time.Time)
	}
	maps.DeleteFunc(r.recent, func(_ uint64, at time.Time) bool { return now.Sub(at) >= coldWindow })
	live := make(map[uint64]bool, len(ids)+1)
	live[r.self] = true
	for _, id := range ids {
		hash := placement.IDHash(id)
		live[hash] = true
		if !r.live[hash] && hash != r.self {
			r.recent[hash] = now
		}
	}
	for hash := range r.live {
		if !live[hash] && hash != r.self {
			r.recent[hash] = now
		}
	}
	r.live = live
	r.version++
}

// rankLocked gives how this router ranks for a server.
func (b *Balancer) rankLocked(s *server) *routerRank {
	r := &b.ranking
	if s.rank.version == r.version {
		return &s.rank
	}
	ranksBefore := func(router uint64) bool { return router != r.self && scoresHigher(s, router, r.self) }
	s.rank = routerRank{
		version:   r.version,
		changedAt: s.rank.changedAt,
	}
	for router := range r.live {
		if ranksBefore(router) {
			s.rank.routersBefore++
		}
	}
	for router, at := range r.recent {
		if at.After(s.rank.changedAt) && ranksBefore(router) {
			s.rank.changedAt = at
		}
	}
	return &s.rank
}

// scoresHigher tells whether one router ranks before another for a server.
func scoresHigher(s *server, router, other uint64) bool {
	return placement.Score(s.hash, router) > placement.Score(s.hash, other)
}
