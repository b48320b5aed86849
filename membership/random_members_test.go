package membership

import (
	"fmt"
	"testing"

	"github.com/slipwick/slipwick/membership/memberpb"
)

// TestRandomMembersAreUniform draws a few routers from fleets of several sizes many times: never
// this router or the excluded one, and the others about equally often.
func TestRandomMembersAreUniform(t *testing.T) {
	for _, size := range []int{2, 3, 5, 20, 200} {
		n := newTestNode()
		for i := range size {
			n.applyUpdate(&memberpb.News{
				Id: fmt.Sprint("r", i),
			})
		}
		const draws, count = 2000, 3
		drawn := make(map[string]int)
		for range draws {
			var members []*member
			n.locked(func() { members = n.randomMembers(count, "r0") })
			if want := min(count, size-1); len(members) != want {
				t.Fatalf("%d others: got %d, want %d", size, len(members), want)
			}
			for _, m := range members {
				drawn[m.update.GetId()]++
			}
		}
		if drawn["r0"] > 0 || drawn["self"] > 0 {
			t.Errorf("%d others: got this router or the excluded one", size)
		}
		mean := float64(draws*min(count, size-1)) / float64(size-1)
		for id, times := range drawn {
			if f := float64(times); f < mean/3 || f > 3*mean {
				t.Errorf("%d others: got %s %d times, want about %.0f", size, id, times, mean)
			}
		}
	}
}
