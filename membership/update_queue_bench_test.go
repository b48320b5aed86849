package membership

import (
	"fmt"
	"testing"

	"github.com/slipwick/slipwick/membership/memberpb"
)

// BenchmarkQueueTake takes the updates of one packet while the queue holds one for each router of a
// fleet that has just started.
func BenchmarkQueueTake(b *testing.B) {
	for _, size := range []int{250, 500, 1000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var q updateQueue
			for i := 0; b.Loop(); i++ {
				if i%size == 0 {
					for n := range size {
						q.add(&memberpb.News{
							Id: fmt.Sprint("r", n),
						})
					}
				}
				q.take(8, size)
			}
		})
	}
}
