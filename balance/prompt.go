package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/slipwick/slipwick/placement"
)

// byPromptLocked takes an engine that has the prompt cached and is not loaded
// above the bound; without one, the engine below the bound that has the least to
// read; and when all are above it, the least loaded.
func (b *Balancer) byPromptLocked(ask *Ask, pool, usable []*server, now time.Time) *Lease {
	parts := ask.keys()
	prompt := parts[len(parts)-1]
	each, mean := b.expectedLocked(usable, now)
	bound := b.loadBound(mean)
	best := candidate{}
	for i, s := range usable {
		if each[i] >= bound {
			continue
		}
		c := candidate{
			server: s,
			has:    b.homes.has(prompt, s),
			near:   s.DataCentre == b.DataCentre,
			score:  placement.Score(prompt, s.hash),
		}
		if c.betterThan(&best) {
			best = c
		}
	}
	chosen := best.server
	switch {
	case chosen == nil:
		chosen = usable[spread(each, b.unheardLocked(usable, now))]
	case !best.has:
		chosen = b.leastReadingLocked(prompt, usable, each, bound, now)
	}
	lease := leaseOf(chosen)
	lease.hasPrompt = true
	lease.reading = ask.Own
	has := b.homes.has(prompt, chosen)
	if !has {
		lease.reading = ask.tokens()
	}
	lease.toRead = lease.reading
	holder := b.holderLocked(parts, pool, chosen, now)
	if holder != nil {
		lease.FetchFrom = holder.Address
	}
	if has || holder != nil && b.homes.has(prompt, holder) {
		b.awaitReadingLocked(prompt, ask.tokens(), lease, now)
	} else {
		b.beginReadingLocked(prompt, lease, now)
	}
	b.ranLocked(parts, chosen)
	return lease
}

// leastReadingLocked gives the engine, below the bound, that has the least to
// read before it, with a lead by the prompt's ranks: by so much an engine may be
// behind the next and still get a prompt that it does not have. It keeps routers,
// which know of each other's readings late, from choosing the same engine for
// all prompts.
func (b *Balancer) leastReadingLocked(
	prompt uint64, usable []*server, each []float64, bound float64, now time.Time,
) *server {
	var below []*server
	for i, s := range usable {
		if each[i] < bound {
			below = append(below, s)
		}
	}
	if near := b.nearHoldersLocked(prompt, below, now); len(near) > 0 {
		below = near
	}
	slices.SortFunc(below, func(x, y *server) int {
		return cmp.Compare(placement.Score(prompt, y.hash), placement.Score(prompt, x.hash))
	})
	var best *server
	bestCost := 0
	rankLead := b.paceLocked(usable[0].Pool).reading.Tokens(rankLeadTime)
	for rank, s := range below {
		cost := rank*rankLead + s.reading + b.readingToldLocked(s)
		if best == nil || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return best
}

// nearHoldersLocked gives those of the engines that are in the data centre of one
// that has the prompt and can be reached: they fetch it in half of the time.
func (b *Balancer) nearHoldersLocked(prompt uint64, engines []*server, now time.Time) []*server {
	known, _ := b.homes.holders.Peek(prompt)
	holds := make(map[string]bool, len(known))
	for _, hash := range known {
		if holder := b.hashes[hash]; holder != nil && b.isReachableLocked(holder, now) {
			holds[holder.DataCentre] = true
		}
	}
	var near []*server
	for _, e := range engines {
		if holds[e.DataCentre] {
			near = append(near, e)
		}
	}
	return near
}

// candidate is an engine that a prompt could go to.
type candidate struct {
	server *server
	// has says that it is known to have the prompt cached.
	has bool
	// near says that it is in the router's data centre; among several that
	// have the prompt, near ones save bytes between data centres.
	near  bool
	score uint64
}

func (c *candidate) betterThan(other *candidate) bool {
	if other.server == nil || c.has != other.has {
		return other.server == nil || c.has
	}
	if c.has && c.near != other.near {
		return c.near
	}
	return c.score > other.score
}

// ranLocked notes, and later tells the other routers, where parts are kept.
func (b *Balancer) ranLocked(parts []uint64, s *server) {
	for _, part := range parts {
		if b.homes.ran(part, s.hash) && len(b.reads) < maxReads {
			b.reads = append(b.reads, Read{
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
func (b *Balancer) holderLocked(parts []uint64, pool []*server, chosen *server, now time.Time) *server {
	usable := func(engine uint64) *server {
		if s := b.hashes[engine]; s != nil && b.isReachableLocked(s, now) {
			return s
		}
		return nil
	}
	prompt := parts[len(parts)-1]
	if holder, known := b.homes.holder(parts[len(parts)-1:], chosen, usable); known {
		return holder
	}
	var home *server
	for _, s := range pool {
		if b.isOutLocked(s, now) || s != chosen && s.since.After(chosen.since) {
			continue
		}
		if s == chosen && now.Sub(s.since) < settledAfter {
			continue
		}
		if home == nil || placement.Score(prompt, s.hash) > placement.Score(prompt, home.hash) {
			home = s
		}
	}
	if home != nil && home != chosen && !home.covered {
		return home
	}
	holder, _ := b.homes.holder(parts[:len(parts)-1], chosen, usable)
	return holder
}

// settledAfter is how long an engine has to be listed for its prompts to count
// as cached there.
const settledAfter = 20 * time.Second
