package membership

import (
	"fmt"
	"testing"

	"github.com/slipwick/slipwick/membership/memberpb"
)

// BenchmarkRumours takes the news of one packet while those of a whole fleet that has started
// wait.
func BenchmarkRumours(b *testing.B) {
	for _, size := range []int{250, 500, 1000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var r rumours
			for i := 0; b.Loop(); i++ {
				if i%size == 0 {
					for n := range size {
						r.add(&memberpb.News{
							Id: fmt.Sprint("r", n),
						})
					}
				}
				r.take(8, size)
			}
		})
	}
}
