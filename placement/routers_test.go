package placement

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/slipwick/slipwick"
)

// TestTopRoutersMatchesFullSort compares the single-pass selection, and the rank of each router,
// with a sort of the whole list.
func TestTopRoutersMatchesFullSort(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var routers []slipwick.Router
		for i := range rapid.IntRange(0, 60).Draw(r, "routers") {
			routers = append(routers, slipwick.Router{
				ID: fmt.Sprint("r", i),
			})
		}
		key := rapid.Uint64().Draw(r, "key")
		sorted := slices.Clone(routers)
		slices.SortStableFunc(sorted, func(a, b slipwick.Router) int {
			return compareRouterScores(routerScore{
				score: Score(key, IDHash(a.ID)),
			}, routerScore{
				score: Score(key, IDHash(b.ID)),
			})
		})
		count := rapid.IntRange(0, 70).Draw(r, "count")
		want := sorted[:min(count, len(sorted))]
		if got := TopRouters(key, routers, count); !slices.Equal(got, want) {
			r.Errorf("got %v, want %v", got, want)
		}
		for want, router := range sorted {
			if got := RouterRank(key, routers, router.ID); got != want {
				r.Errorf("rank of %s: got %d, want %d", router.ID, got, want)
			}
		}
	})
}
