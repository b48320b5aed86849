package exchange

import (
	"cmp"
	"slices"
	"sort"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/placement"
)

// pointsEach is how many points of a ring each router has: with so many the largest share
// is within about twice the mean.
const pointsEach = 8

// shares shares the engines out among routers that start together: on a ring of hashes, an
// engine is first the turn of the router that follows it, then of the next. A ring finds the
// turn of one engine without a look at each router, and routers that know different parts
// of the fleet differ in what is next to those that only some know.
type shares struct {
	self   slipwick.Router
	others []slipwick.Router
	// near is the ring of each data centre, far that of all routers.
	near map[string]ring
	far  ring
	// found are the turns of engines that were asked for, by ID.
	found map[string]int
}

// ring are points by their hash.
type ring []ringPoint

type ringPoint struct {
	hash   uint64
	router string
}

// update takes the other routers that are known.
func (s *shares) update(self slipwick.Router, others []slipwick.Router) {
	if s.far != nil && slices.Equal(s.others, others) {
		return
	}
	s.self, s.others, s.found = self, others, make(map[string]int)
	s.near, s.far = make(map[string]ring), nil
	for _, router := range append([]slipwick.Router{self}, others...) {
		id := placement.IDHash(router.ID)
		for i := range uint64(pointsEach) {
			point := ringPoint{
				hash:   placement.Score(id, i),
				router: router.ID,
			}
			s.near[router.DataCentre] = append(s.near[router.DataCentre], point)
			s.far = append(s.far, point)
		}
	}
	byHash := func(a, b ringPoint) int { return cmp.Compare(a.hash, b.hash) }
	for _, near := range s.near {
		slices.SortFunc(near, byHash)
	}
	slices.SortFunc(s.far, byHash)
}

// turn tells how many other routers ask an engine before this one: those of the engine's
// data centre come first, then the others. From turns on it is not counted further.
func (s *shares) turn(engine *slipwick.Backend) int {
	turn, isKnown := s.found[engine.ID]
	if !isKnown {
		turn = s.find(engine)
		s.found[engine.ID] = turn
	}
	return turn
}

func (s *shares) find(engine *slipwick.Backend) int {
	key := placement.Score(placement.IDHash(engine.ID), 0)
	before := make([]string, 0, turns)
	for _, r := range []ring{s.near[engine.DataCentre], s.far} {
		first := sort.Search(len(r), func(i int) bool { return r[i].hash >= key })
		for i := range r {
			router := r[(first+i)%len(r)].router
			if router == s.self.ID {
				return len(before)
			}
			if slices.Contains(before, router) {
				continue
			}
			if before = append(before, router); len(before) == turns {
				return turns
			}
		}
	}
	return len(before)
}
