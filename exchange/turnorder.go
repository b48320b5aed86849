package exchange

import (
	"cmp"
	"slices"
	"sort"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/placement"
)

// pointsPerRouter is the number of points that each router has on a ring; with this many, the
// largest share is at most about twice the mean.
const pointsPerRouter = 8

// turnOrder assigns engines to routers that start together, by consistent hashing: the first turn
// of an engine belongs to the router that follows it on a ring of hashes, the next turn to the next
// router. The turn of an engine is found without looking at each router, and routers that know
// different parts of the fleet disagree only about engines next to routers that not all of them
// know.
type turnOrder struct {
	self   slipwick.Router
	others []slipwick.Router
	// byDataCentre are the rings of the data centres, fleet is the ring of all routers.
	byDataCentre map[string]ring
	fleet        ring
	// cached are the turns that were computed already, by engine ID.
	cached map[string]int
}

// ring is a list of points sorted by hash.
type ring []ringPoint

type ringPoint struct {
	hash   uint64
	router string
}

// update rebuilds the rings if the other known routers have changed.
func (o *turnOrder) update(self slipwick.Router, others []slipwick.Router) {
	if o.fleet != nil && slices.Equal(o.others, others) {
		return
	}
	o.self, o.others, o.cached = self, others, make(map[string]int)
	o.byDataCentre, o.fleet = make(map[string]ring), nil
	for _, router := range append([]slipwick.Router{self}, others...) {
		id := placement.IDHash(router.ID)
		for i := range uint64(pointsPerRouter) {
			point := ringPoint{
				hash:   placement.Score(id, i),
				router: router.ID,
			}
			o.byDataCentre[router.DataCentre] = append(o.byDataCentre[router.DataCentre], point)
			o.fleet = append(o.fleet, point)
		}
	}
	byHash := func(a, b ringPoint) int { return cmp.Compare(a.hash, b.hash) }
	for _, local := range o.byDataCentre {
		slices.SortFunc(local, byHash)
	}
	slices.SortFunc(o.fleet, byHash)
}

// turn returns how many other routers come before this one in asking an engine: first those of the
// engine's data centre, then the others. It counts up to maxTurns.
func (o *turnOrder) turn(engine *slipwick.Backend) int {
	turn, isKnown := o.cached[engine.ID]
	if !isKnown {
		turn = o.computeTurn(engine)
		o.cached[engine.ID] = turn
	}
	return turn
}

func (o *turnOrder) computeTurn(engine *slipwick.Backend) int {
	key := placement.Score(placement.IDHash(engine.ID), 0)
	before := make([]string, 0, maxTurns)
	for _, r := range []ring{o.byDataCentre[engine.DataCentre], o.fleet} {
		first := sort.Search(len(r), func(i int) bool { return r[i].hash >= key })
		for i := range r {
			router := r[(first+i)%len(r)].router
			if router == o.self.ID {
				return len(before)
			}
			if slices.Contains(before, router) {
				continue
			}
			if before = append(before, router); len(before) == maxTurns {
				return maxTurns
			}
		}
	}
	return len(before)
}
