package membership

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/membership/memberpb"
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

// BenchmarkRouterDiesAndReturns applies the death and the return of one router, and draws the
// receivers of a push after each, as happens all the time while boxes restart.
func BenchmarkRouterDiesAndReturns(b *testing.B) {
	for _, size := range []int{250, 500, 1000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			n := newTestNode()
			for i := range size {
				n.applyUpdate(&memberpb.News{
					Id: fmt.Sprint("r", i),
				})
			}
			incarnation := uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				for _, state := range []memberpb.State{memberpb.State_STATE_DEAD, memberpb.State_STATE_LIVE} {
					incarnation++
					n.set(n.members["r7"], &memberpb.News{
						Id:          "r7",
						State:       state,
						Incarnation: incarnation,
					})
					n.randomMembers(3, "")
				}
			}
		})
	}
}

// BenchmarkNotifyOfRouter reports one router's death and its return to OnChange.
func BenchmarkNotifyOfRouter(b *testing.B) {
	for _, size := range []int{250, 500, 1000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			n := newTestNode()
			notified := 0
			n.OnChange = func(Change) { notified++ }
			for i := range size {
				n.applyUpdate(&memberpb.News{
					Id: fmt.Sprint("r", i),
				})
			}
			incarnation := uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				for _, state := range []memberpb.State{memberpb.State_STATE_DEAD, memberpb.State_STATE_LIVE} {
					incarnation++
					n.set(n.members["r7"], &memberpb.News{
						Id:          "r7",
						State:       state,
						Incarnation: incarnation,
					})
					n.changed = true
					n.notify()
				}
			}
		})
	}
}
