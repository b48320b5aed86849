package membership

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/slipwick/slipwick"
)

// TestRosterMatchesReference compares the roster with a reference, a list that is sorted anew after
// each step, and checks that slices given out by share do not change.
func TestRosterMatchesReference(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		list, byID := roster{}, make(map[string]slipwick.Router)
		var shared, copies [][]slipwick.Router
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			router := slipwick.Router{
				ID:      fmt.Sprint("r", rapid.IntRange(0, 12).Draw(r, "router")),
				Address: fmt.Sprint(rapid.IntRange(0, 1).Draw(r, "address")),
			}
			switch rapid.IntRange(0, 3).Draw(r, "step") {
			case 0:
				list.remove(router.ID)
				delete(byID, router.ID)
			case 1:
				routers := list.share()
				shared, copies = append(shared, routers), append(copies, slices.Clone(routers))
			default:
				list.put(router)
				byID[router.ID] = router
			}
			want := slices.SortedFunc(maps.Values(byID), func(a, b slipwick.Router) int { return strings.Compare(a.ID, b.ID) })
			if !slices.Equal(list.routers, want) {
				r.Fatalf("got %v, want %v", list.routers, want)
			}
		}
		for i := range shared {
			if !slices.Equal(shared[i], copies[i]) {
				r.Errorf("a shared slice: got %v, want %v as before", shared[i], copies[i])
			}
		}
	})
}
