package balance

import (
	"maps"
	"slices"

	"github.com/slipwick/slipwick/clock"
)

// CacheSnapshot is what a router knows of the caches of engines, which it identifies by the
// hash of their incarnation.
type CacheSnapshot struct {
	// Engines are those whose caches the router knows, except for what was cached there within
	// the last moments.
	Engines []uint64
	// CachedParts has all prompt parts that these engines are known to have cached.
	CachedParts []CachedPart
}

// CacheQuery says which caches a router asks another about, by the hash of the engine's
// incarnation: all but the Known ones, or the Wanted ones, whichever list is shorter. Routers
// of a fleet that restarts ask each other many times.
type CacheQuery struct {
	Known  []uint64
	Wanted []uint64
}

// CacheQuery returns what to ask another router about the engines of the pools. ok is false if
// no cache is unknown.
func (b *Balancer) CacheQuery(pools []string) (query CacheQuery, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := clock.Now()
	for _, pool := range pools {
		for _, s := range b.pools[pool] {
			switch {
			case s.cacheKnown:
				query.Known = append(query.Known, s.hash)
			case s.acceptsNew() && !s.notices.isPaused(now):
				query.Wanted = append(query.Wanted, s.hash)
			}
		}
	}
	ok = len(query.Wanted) > 0
	if len(query.Wanted) < len(query.Known) {
		query.Known = nil
	} else {
		query.Wanted = nil
	}
	return query, ok
}

// CacheSnapshot returns what this router knows of the caches that a query asks for.
func (b *Balancer) CacheSnapshot(query *CacheQuery) CacheSnapshot {
	b.mu.Lock()
	defer b.mu.Unlock()
	requested := make(map[uint64]*server)
	if len(query.Wanted) > 0 {
		for _, hash := range query.Wanted {
			if s := b.serversByHash[hash]; s != nil && s.cacheKnown {
				requested[hash] = s
			}
		}
	} else {
		for hash, s := range b.serversByHash {
			if s.cacheKnown {
				requested[hash] = s
			}
		}
		for _, hash := range query.Known {
			delete(requested, hash)
		}
	}
	snapshot := CacheSnapshot{}
	if len(requested) == 0 {
		return snapshot
	}
	snapshot.Engines = slices.Collect(maps.Keys(requested))
	snapshot.CachedParts = b.cacheIndex.locations(requested)
	return snapshot
}

// MergeCacheSnapshot adds what another router knows.
func (b *Balancer) MergeCacheSnapshot(snapshot *CacheSnapshot) {
	b.ReceiveCachedParts(snapshot.CachedParts)
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, hash := range snapshot.Engines {
		if s := b.serversByHash[hash]; s != nil {
			s.cacheKnown = true
		}
	}
}
