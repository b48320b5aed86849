package retry

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestLargeFleetUsesItsBudget has all routers of fleets of several sizes take every retry they can
// get, at once and all the time, while each router gets few requests.
//
// At 986 routers a router's share for a pool is 0.6 retries in ten seconds, plus a sixth of its two
// or three requests. If each router rounds that down, requests that may be retried are not, though
// the fleet's limit is far from used up.
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
			var retries []int
			total := 0
			for range rounds {
				retries = append(retries, 0)
				for _, b := range fleet {
					for b.Take("p") {
						retries[len(retries)-1]++
						total++
					}
				}
				time.Sleep(pause)
			}
			if got, want := float64(total)/(rounds*pause.Seconds()/window.Seconds()), 0.8*extraShare*extra; got < want {
				t.Errorf("%d routers: got %.0f retries a window, want at least %.0f", size, got, want)
			}
			perWindow := int(window / pause)
			for i := range retries {
				sum := 0
				for _, n := range retries[i:min(i+perWindow, len(retries))] {
					sum += n
				}
				if sum > extra {
					t.Fatalf("%d routers: got %d retries in a window, want at most %d", size, sum, extra)
				}
			}
		})
	}
}
