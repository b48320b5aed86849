package fleet

import (
	"fmt"
	"testing"

	"github.com/slipwick/slipwick"
)

// BenchmarkFindRelayPosition measures the time of one call. Each router makes one whenever
// its list of live routers has changed.
func BenchmarkFindRelayPosition(b *testing.B) {
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
				FindRelayPosition(routers[7], routers)
			}
		})
	}
}
