package fleet

import (
	"cmp"
	"slices"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/placement"
)

const (
	// leastWatchers follow the store in a small fleet: one, and one more in
	// case it is cut off.
	leastWatchers = 2
	// routersPerWatcher bounds the routers that follow one watcher, so that a
	// large configuration, compressed, reaches all of them over a link of 10
	// Mbit/s within half a second.
	routersPerWatcher = 29
	// nearWatchers is how many watchers of its own data centre a router has
	// to have to follow these alone.
	nearWatchers = 2
)

// StoreWatchers gives the IDs of the routers that follow the store itself, as
// the router sees them: near ones alone if there are enough, in the order of a
// rendezvous with the router.
func StoreWatchers(self slipwick.Router, routers []slipwick.Router) []string {
	watchers := byScore(placement.IDHash("watch"), routers)
	watchers = watchers[:min(len(watchers), max(leastWatchers, len(routers)/routersPerWatcher))]
	ids := make([]string, 0, len(watchers))
	var near []string
	for _, w := range watchers {
		ids = append(ids, w.ID)
		if w.DataCentre == self.DataCentre {
			near = append(near, w.ID)
		}
	}
	if len(near) >= nearWatchers && !slices.Contains(ids, self.ID) {
		return near
	}
	return ids
}

func byScore(key uint64, routers []slipwick.Router) []slipwick.Router {
	sorted := slices.Clone(routers)
	slices.SortFunc(sorted, func(a, b slipwick.Router) int {
		return cmp.Compare(placement.Score(key, placement.IDHash(b.ID)), placement.Score(key, placement.IDHash(a.ID)))
	})
	return sorted
}
