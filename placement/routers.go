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

// Routers sorts routers by their rendezvous score for a key, the highest first, into a list of
// its own. Each score is computed once: members of large fleets change all the time.
func Routers(key uint64, routers []slipwick.Router) []slipwick.Router {
	scores := make([]routerScore, 0, len(routers))
	for i := range routers {
		scores = append(scores, routerScore{
			score: Score(key, IDHash(routers[i].ID)),
			index: i,
		})
	}
	slices.SortFunc(scores, func(a, b routerScore) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.index, b.index))
	})
	ranked := make([]slipwick.Router, 0, len(routers))
	for _, s := range scores {
		ranked = append(ranked, routers[s.index])
	}
	return ranked
}
