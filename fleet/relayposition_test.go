package fleet

import (
	"fmt"
	"testing"

	"github.com/slipwick/slipwick"
)

func testRouters(n int) []slipwick.Router {
	var routers []slipwick.Router
	for i := range n {
		routers = append(routers, slipwick.Router{
			ID:         fmt.Sprint("r", i),
			DataCentre: fmt.Sprint("dc-", i%4),
		})
	}
	return routers
}

// TestFewRoutersWatchTheStore guards against a number of watchers that grows with the fleet.
func TestFewRoutersWatchTheStore(t *testing.T) {
	for size, want := range map[int]int{
		1:   1,
		8:   2,
		87:  3,
		330: 3,
		930: 3,
	} {
		routers := testRouters(size)
		watchers := 0
		for _, r := range routers {
			if FindRelayPosition(r, routers).IsWatcher {
				watchers++
			}
		}
		if watchers != want {
			t.Errorf("%d routers: got %d that watch the store, want %d", size, watchers, want)
		}
	}
}
