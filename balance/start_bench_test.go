package balance

import (
	"fmt"
	"testing"
)

// BenchmarkFleetThatStarts tells of the routers of a fleet, 14 at a time.
func BenchmarkFleetThatStarts(b *testing.B) {
	for _, size := range []int{250, 500, 1000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var names []string
			for i := range size {
				names = append(names, fmt.Sprint("r", i))
			}
			list := placedPool(10*size, "d", "e")
			for b.Loop() {
				balancer := New("d")
				balancer.SetBackends(list)
				for n := 0; n <= size; n += 14 {
					balancer.SetRouters("r0", names[:n])
				}
			}
		})
	}
}
