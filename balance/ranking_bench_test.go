package balance

import (
	"fmt"
	"testing"
)

// BenchmarkStartingFleet has a router learn of the routers of a starting fleet, 14 at a time.
func BenchmarkStartingFleet(b *testing.B) {
	for _, size := range []int{250, 500, 1000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var ids []string
			for i := range size {
				ids = append(ids, fmt.Sprint("r", i))
			}
			list := entriesIn(10*size, "d", "e")
			for b.Loop() {
				balancer := New("d")
				balancer.SetBackends(list)
				for n := 0; n <= size; n += 14 {
					balancer.SetRouters("r0", ids[:n])
				}
			}
		})
	}
}

// BenchmarkSetRouters removes and adds one router, in the largest fleet that the router is designed
// for: 330 routers and 930 servers.
func BenchmarkSetRouters(b *testing.B) {
	var ids []string
	for i := range 330 {
		ids = append(ids, fmt.Sprint("r", i))
	}
	balancer := New("d")
	balancer.SetBackends(entriesIn(930, "d", "e", "f", "g"))
	balancer.SetRouters("r0", ids)
	for i := 0; b.Loop(); i++ {
		balancer.SetRouters("r0", ids[:len(ids)-i%2])
	}
}
