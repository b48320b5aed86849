package fleet

import (
	"math"
	"slices"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/placement"
)

const (
	// A region with few routers has minWatchers that watch the store: one, and a second in case the
	// first is cut off. A region of any size needs no more than maxWatchers.
	minWatchers = 2
	maxWatchers = 3
	// routersPerRelay bounds the routers that follow one relay, so that a large configuration,
	// compressed, reaches all of them over a link of 10 Mbit/s within half a second.
	routersPerRelay = 32
	// localRelays is how many relays a router has at most, remoteRelays how many if none is in its
	// own data centre.
	localRelays  = 3
	remoteRelays = 3
	// If none of its relays has a current copy of the store, a router asks its reserves: the first
	// reserveFactor * watchers routers by rank. If none of these has one either, some routers take
	// over from the watchers, that is, call the store themselves. They do so in takeoverTurns turns,
	// each of which doubles the number of routers that call the store. They call it until one of
	// their relays has a current copy again, those of turn 0 until a watcher has one that it read
	// from the store itself.
	reserveFactor = 2
	takeoverTurns = 3
)

// RelayPosition is a router's position in the relay tree, through which the store's changes reach
// the fleet: a few routers, the watchers, watch the store, others follow the watchers, and in a
// large fleet further levels of routers follow those. To follow a router, its relay, is to get the
// changes from it.
//
// Each region has a tree of its own. In it, the routers are ranked by their rendezvous score for a
// fixed key, from 0: the watchers rank first, and each further level of the tree has the ranks after
// the level above. All routers of a region that know of the same routers there compute the same
// tree.
type RelayPosition struct {
	// IsWatcher says that the router watches the store itself.
	IsWatcher bool
	// Relays are the IDs of the routers that it can follow; a watcher, which has the other watchers
	// here, follows them only while it can't use the store. Reserves are the IDs of those that it
	// asks when none of the relays has a current copy.
	Relays, Reserves []string
	// TakeoverTurn is the turn, from 0, in which the router takes over from the watchers when no
	// router that it asks has a current copy; it never does if this is -1.
	TakeoverTurn int
}

// FindRelayPosition returns the relay position of a router among the live routers, which may or may
// not include the router itself. If they don't, it ranks last.
func FindRelayPosition(self slipwick.Router, routers []slipwick.Router) RelayPosition {
	key, regional := placement.IDHash("watch"), inRegion(self, routers)
	size, rank := len(regional), len(regional)
	if slices.ContainsFunc(regional, func(r slipwick.Router) bool { return r.ID == self.ID }) {
		rank = placement.RouterRank(key, regional, self.ID)
	} else {
		size++
	}
	watchers := (size + routersPerRelay - 1) / routersPerRelay
	watchers = min(max(watchers, minWatchers), maxWatchers, size)
	first, end := relayRanks(rank, watchers, size)
	ranked := placement.TopRouters(key, regional, max(end, reserveFactor*watchers))
	if len(ranked) < size && len(ranked) == len(regional) {
		ranked = append(ranked, self)
	}
	p := RelayPosition{
		IsWatcher:    rank < watchers,
		TakeoverTurn: takeoverTurn(rank, watchers),
		Reserves:     idsWithout(byScore(self.ID, ranked[:min(len(ranked), reserveFactor*watchers)]), self.ID),
	}
	if p.IsWatcher {
		p.Relays = idsWithout(ranked[:watchers], self.ID)
		return p
	}
	p.Relays = chooseRelays(self, ranked[first:end])
	return p
}

// byScore returns the routers in the order in which the router with the ID prefers them: by their
// rendezvous score for the ID, best first.
func byScore(id string, routers []slipwick.Router) []slipwick.Router {
	return placement.TopRouters(placement.IDHash(id), routers, len(routers))
}

// relayRanks returns the first rank, and the one after the last, of the routers that a router of the
// rank may follow: the level above its own. There are as few levels below the watchers as
// routersPerRelay allows, and their width is chosen so that relays of all levels have equally many
// followers.
func relayRanks(rank, watchers, routers int) (first, end int) {
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

// chooseRelays returns the IDs of up to localRelays candidates in the router's own data centre or, if
// there are none, of up to remoteRelays elsewhere.
func chooseRelays(self slipwick.Router, candidates []slipwick.Router) []string {
	ranked := byScore(self.ID, candidates)
	var local []slipwick.Router
	for _, r := range ranked {
		if r.DataCentre == self.DataCentre {
			local = append(local, r)
		}
	}
	if len(local) > 0 {
		return idsWithout(local[:min(len(local), localRelays)], self.ID)
	}
	return idsWithout(ranked[:min(len(ranked), remoteRelays)], self.ID)
}

// takeoverTurn returns the turn in which a router of the rank takes over from the watchers; -1 for
// never. The number of routers that call the store doubles with each turn, so that a few suffice if
// one of them reaches it, and enough try soon if only few can reach it.
func takeoverTurn(rank, watchers int) int {
	turn := 0
	for limit := 2 * watchers; rank >= limit; limit *= 2 {
		turn++
	}
	if turn >= takeoverTurns {
		return -1
	}
	return turn
}

func inRegion(self slipwick.Router, routers []slipwick.Router) []slipwick.Router {
	regional := make([]slipwick.Router, 0, len(routers)+1)
	for _, r := range routers {
		if r.Region == self.Region {
			regional = append(regional, r)
		}
	}
	return regional
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
