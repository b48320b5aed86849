package placement

import (
	"cmp"
	"slices"

	"github.com/slipwick/slipwick"
)

// routerScore holds the rendezvous score of a router and the router's index.
type routerScore struct {
	score uint64
	index int
}

// compareRouterScores orders by descending score, and equal scores by ascending index.
func compareRouterScores(a, b routerScore) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.index, b.index))
}

// TopRouters returns the count routers with the highest rendezvous scores for the key, best first,
// or all of them if there are fewer. It takes a single pass instead of sorting all routers, since
// each router of a large fleet calls it whenever any router changes.
func TopRouters(key uint64, routers []slipwick.Router, count int) []slipwick.Router {
	best := make([]routerScore, 0, count+1)
	for i := range routers {
		s := routerScore{
			score: Score(key, IDHash(routers[i].ID)),
			index: i,
		}
		if len(best) == count && (count == 0 || s.score <= best[count-1].score) {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, s, compareRouterScores)
		best = slices.Insert(best, at, s)
		best = best[:min(len(best), count)]
	}
	ranked := make([]slipwick.Router, 0, len(best))
	for _, s := range best {
		ranked = append(ranked, routers[s.index])
	}
	return ranked
}

// RouterRank returns the number of routers whose rendezvous score for the key is higher than that of
// the router with the given ID.
func RouterRank(key uint64, routers []slipwick.Router, id string) int {
	own, rank := Score(key, IDHash(id)), 0
	for i := range routers {
		if Score(key, IDHash(routers[i].ID)) > own {
			rank++
		}
	}
	return rank
}

// BestRouter returns the index of the router with the highest rendezvous score for the key, regardless
// of data centre and region, or -1 if there are no routers. The router's hash takes the place of the
// key in the score and the key that of the box hash, so that the choice differs from the first one
// of TopRouters.
func BestRouter(key uint64, routers []slipwick.Router) int {
	best, bestScore := -1, uint64(0)
	for i := range routers {
		if score := mixHashes(IDHash(routers[i].ID), key); best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}
