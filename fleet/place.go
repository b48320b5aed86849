package fleet

import (
	"math"
	"slices"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/placement"
)

const (
	// leastWatchers follow the store in a small fleet: one, and one more in
	// case it is cut off. mostWatchers do in one of any size.
	leastWatchers = 2
	mostWatchers  = 3
	// routersPerRelay bounds the routers that follow one, so that a large
	// configuration, compressed, reaches all of them over a link of 10 Mbit/s
	// within half a second.
	routersPerRelay = 32
	// nearRelays is how many routers a router follows by turns, farRelays how
	// many if none is in its own data centre.
	nearRelays = 3
	farRelays  = 3
	// reserveFactor times the watchers, by rank, are asked when those that a
	// router follows have no current copy; lastTurns doublings of the watchers
	// take their place when nobody has.
	reserveFactor = 2
	lastTurns     = 3
)

// Place is a router's place in the tree through which the store's changes reach
// the fleet: a few routers follow the store, others these, and the rest, in a
// large fleet, the others. All routers of a region that know the same of it see
// the same tree.
type Place struct {
	// Watches says that it follows the store itself.
	Watches bool
	// Relays are the IDs of the routers that it follows by turns, Reserves those
	// that it asks when none of them has a current copy.
	Relays, Reserves []string
	// Turn tells how soon it takes the store's watchers' place when no router
	// that it asks has a current copy: a lower one is sooner. It does not at all
	// if it is negative.
	Turn int
}

// PlaceOf gives the place of a router among those that live, itself among them
// or not.
func PlaceOf(self slipwick.Router, routers []slipwick.Router) Place {
	key, near := placement.IDHash("watch"), inRegion(self, routers)
	size, rank := len(near), len(near)
	if slices.ContainsFunc(near, func(r slipwick.Router) bool { return r.ID == self.ID }) {
		rank = placement.RouterRank(key, near, self.ID)
	} else {
		size++
	}
	watchers := (size + routersPerRelay - 1) / routersPerRelay
	watchers = min(max(watchers, leastWatchers), mostWatchers, size)
	first, end := levelAbove(rank, watchers, size)
	ranked := placement.TopRouters(key, near, max(end, reserveFactor*watchers))
	if len(ranked) < size && len(ranked) == len(near) {
		ranked = append(ranked, self)
	}
	p := Place{
		Watches:  rank < watchers,
		Turn:     turnOf(rank, watchers),
		Reserves: idsWithout(byScore(self.ID, ranked[:min(len(ranked), reserveFactor*watchers)]), self.ID),
	}
	if p.Watches {
		p.Relays = idsWithout(ranked[:watchers], self.ID)
		return p
	}
	p.Relays = chooseRelays(self, ranked[first:end])
	return p
}

// byScore gives routers in the order in which one with the ID prefers them.
func byScore(id string, routers []slipwick.Router) []slipwick.Router {
	return placement.TopRouters(placement.IDHash(id), routers, len(routers))
}

// levelAbove gives the ranks that a router may follow: the levels below the
// watchers are as few as links carry, and as wide as has all carry the same.
func levelAbove(rank, watchers, routers int) (first, end int) {
	perWatcher, levels := float64(routers)/float64(watchers), 1.0
	for math.Pow(routersPerRelay, levels) < perWatcher {
		levels++
	}
	width := int(math.Ceil(math.Pow(perWatcher, 1/levels)))
	first, end = 0, watchers
	for size := watchers * width; rank >= end+size; size *= width {
		first, end = end, end+size
	}
	return first, end
}

// chooseRelays gives some of a level, near ones if there are any.
func chooseRelays(self slipwick.Router, level []slipwick.Router) []string {
	ranked := byScore(self.ID, level)
	var near []slipwick.Router
	for _, r := range ranked {
		if r.DataCentre == self.DataCentre {
			near = append(near, r)
		}
	}
	if len(near) > 0 {
		return idsWithout(near[:min(len(near), nearRelays)], self.ID)
	}
	return idsWithout(ranked[:min(len(ranked), farRelays)], self.ID)
}

// turnOf doubles the routers with each turn, so that a few suffice when one of
// them reaches the store, and soon enough are asked when few do.
func turnOf(rank, watchers int) int {
	turn := 0
	for limit := 2 * watchers; rank >= limit; limit *= 2 {
		turn++
	}
	if turn >= lastTurns {
		return -1
	}
	return turn
}

func inRegion(self slipwick.Router, routers []slipwick.Router) []slipwick.Router {
	near := make([]slipwick.Router, 0, len(routers)+1)
	for _, r := range routers {
		if r.Region == self.Region {
			near = append(near, r)
		}
	}
	return near
}

func idsWithout(routers []slipwick.Router, id string) []string {
	ids := make([]string, 0, len(routers))
	for _, r := range routers {
		if r.ID != id {
			ids = append(ids, r.ID)
		}
	}
	return ids
}
