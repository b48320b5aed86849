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

// TestRosterIsThatOfThePlainWay compares the list with one that is sorted anew, and looks
// whether lists given out stay as they were.
func TestRosterIsThatOfThePlainWay(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		list, plain := roster{}, make(map[string]slipwick.Router)
		var given, copies [][]slipwick.Router
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			router := slipwick.Router{
				ID:      fmt.Sprint("r", rapid.IntRange(0, 12).Draw(r, "router")),
				Address: fmt.Sprint(rapid.IntRange(0, 1).Draw(r, "address")),
			}
			switch rapid.IntRange(0, 3).Draw(r, "step") {
			case 0:
				list.remove(router.ID)
				delete(plain, router.ID)
			case 1:
				shared := list.share()
				given, copies = append(given, shared), append(copies, slices.Clone(shared))
			default:
				list.put(router)
				plain[router.ID] = router
			}
			want := slices.SortedFunc(maps.Values(plain), func(a, b slipwick.Router) int { return strings.Compare(a.ID, b.ID) })
			if !slices.Equal(list.routers, want) {
				r.Fatalf("got %v, want %v", list.routers, want)
			}
		}
		for i := range given {
			if !slices.Equal(given[i], copies[i]) {
				r.Errorf("a list given out: got %v, want %v as before", given[i], copies[i])
			}
		}
	})
}

// BenchmarkRouterDiesAndReturns takes the death of one router of a fleet and its return, and
// chooses after each whom to tell, as a router does all the time while boxes restart.
func BenchmarkRouterDiesAndReturns(b *testing.B) {
	for _, size := range []int{250, 500, 1000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			n := lonely()
			for i := range size {
				n.tellNews(&memberpb.News{
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
					n.choose(3, "")
				}
			}
		})
	}
}

// BenchmarkTellOfRouter tells of one router's death and of its return.
func BenchmarkTellOfRouter(b *testing.B) {
	for _, size := range []int{250, 500, 1000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			n := lonely()
			told := 0
			n.OnChange = func(Change) { told++ }
			for i := range size {
				n.tellNews(&memberpb.News{
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
					n.tell()
				}
			}
		})
	}
}
