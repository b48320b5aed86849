package balance

import (
	"maps"
	"time"

	"github.com/slipwick/slipwick/clock"
	"github.com/slipwick/slipwick/placement"
)

// routerRanking has the live routers by the hash of their ID, and those that joined or left
// within the last coldWindow. Routers are ranked only for cold servers, and for each only when a
// request considers it: the routers of a starting fleet learn of each other one by one, and a
// ranking for all servers each time would cost servers times routers.
type routerRanking struct {
	self uint64
	live map[uint64]bool
	// version counts the changes of live, recent is when each router joined or left.
	version uint64
	recent  map[uint64]time.Time
}

// routerRank is the rank of this router for a server, at a version of the ranking.
type routerRank struct {
	version uint64
	// routersBefore counts the routers that rank before this one. changedAt is when one of
	// these last joined or left, if that was within coldWindow before the ranking.
	routersBefore int
	changedAt     time.Time
}

// SetRouters sets the IDs of the live routers. ids may include self.
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

// rankLocked returns the rank of this router for a server.
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

// scoresHigher reports whether one router ranks before another for a server.
func scoresHigher(s *server, router, other uint64) bool {
	return placement.Score(s.hash, router) > placement.Score(s.hash, other)
}
