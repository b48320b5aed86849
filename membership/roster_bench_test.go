package membership

import (
	"fmt"
	"testing"

	"github.com/slipwick/slipwick/membership/memberpb"
)

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
