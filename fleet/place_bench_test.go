package fleet

import (
	"fmt"
	"testing"

	"github.com/slipwick/slipwick"
)

// BenchmarkPlaceOf finds a router's place, as at each change of a member.
func BenchmarkPlaceOf(b *testing.B) {
	for _, size := range []int{250, 500, 1000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var routers []slipwick.Router
			for i := range size {
				routers = append(routers, slipwick.Router{
					ID:         fmt.Sprint("r", i),
					DataCentre: fmt.Sprint("dc", i%6),
				})
			}
			for b.Loop() {
				PlaceOf(routers[7], routers)
			}
		})
	}
}
