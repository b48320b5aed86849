package membership

import (
	"fmt"
	"testing"

	"github.com/slipwick/slipwick/membership/memberpb"
)

// BenchmarkChoose draws whom a packet of news goes to.
func BenchmarkChoose(b *testing.B) {
	for _, size := range []int{250, 500, 1000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			n := lonely()
			for i := range size {
				n.tellNews(&memberpb.News{
					Id: fmt.Sprint("r", i),
				})
			}
			for b.Loop() {
				n.choose(3, "")
			}
		})
	}
}
