package membership

import (
	"fmt"
	"testing"

	"github.com/slipwick/slipwick/membership/memberpb"
)

// BenchmarkRandomMembers draws the routers that a push goes to.
func BenchmarkRandomMembers(b *testing.B) {
	for _, size := range []int{250, 500, 1000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			n := newTestNode()
			for i := range size {
				n.applyUpdate(&memberpb.News{
					Id: fmt.Sprint("r", i),
				})
			}
			for b.Loop() {
				n.randomMembers(3, "")
			}
		})
	}
}
