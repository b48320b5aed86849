package placement

import (
	"cmp"
	"slices"

	"github.com/slipwick/slipwick"
)

// routerScore is the rendezvous score of the router at an index.
type routerScore struct {
	score uint64
	index int
}

// compareScores puts the highest score first; equal ones keep their order.
func compareScores(a, b routerScore) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.index, b.index))
}

// First gives the first count of the routers by their rendezvous score for a key, the highest
// first. It takes one walk: all members of a large fleet do it at each change of one.
func First(key uint64, routers []slipwick.Router, count int) []slipwick.Router {
	best := make([]routerScore, 0, count+1)
	for i := range routers {
		s := routerScore{
			score: Score(key, IDHash(routers[i].ID)),
			index: i,
		}
		if len(best) == count && (count == 0 || s.score <= best[count-1].score) {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, s, compareScores)
		best = slices.Insert(best, at, s)
		best = best[:min(len(best), count)]
	}
	ranked := make([]slipwick.Router, 0, len(best))
	for _, s := range best {
		ranked = append(ranked, routers[s.index])
	}
	return ranked
}

// Rank gives how many of the routers have a higher rendezvous score for a key than the one with
// the ID.
func Rank(key uint64, routers []slipwick.Router, id string) int {
	own, rank := Score(key, IDHash(id)), 0
	for i := range routers {
		if Score(key, IDHash(routers[i].ID)) > own {
			rank++
		}
	}
	return rank
}
