package retry

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestLargeFleetUsesItsBudget has all routers of fleets of any size send again whatever they may,
// at once and all the time, for requests of which each router gets few.
//
// At 986 routers a pool's share of a router is 0.6 sends in ten seconds beyond a sixth of its two
// or three requests: rounded down that is none, and requests that may run twice are not sent
// again though the fleet's bound is far from spent.
func TestLargeFleetUsesItsBudget(t *testing.T) {
	const window, extra = 10 * time.Second, 1040
	for _, size := range []int{10, 250, 500, 1000, 2000} {
		synctest.Test(t, func(t *testing.T) {
			var fleet []*Budget
			for range size {
				fleet = append(fleet, &Budget{
					Ratio:   0.2,
					Extra:   extra,
					Window:  window,
					Routers: func() int { return size },
				})
			}
			const pause, rounds = 500 * time.Millisecond, 600
			var repeats []int
			total := 0
			for range rounds {
				repeats = append(repeats, 0)
				for _, b := range fleet {
					for b.Take("p") {
						repeats[len(repeats)-1]++
						total++
					}
				}
				time.Sleep(pause)
			}
			if got, want := float64(total)/(rounds*pause.Seconds()/window.Seconds()), 0.8*extraShare*extra; got < want {
				t.Errorf("%d routers: got %.0f repeats a window, want at least %.0f", size, got, want)
			}
			perWindow := int(window / pause)
			for i := range repeats {
				sum := 0
				for _, n := range repeats[i:min(i+perWindow, len(repeats))] {
					sum += n
				}
				if sum > extra {
					t.Fatalf("%d routers: got %d repeats in a window, want at most %d", size, sum, extra)
				}
			}
		})
	}
}
