package retry

import (
	"testing"
	"testing/synctest"
	"time"
)

func newTestBudget() *Budget {
	return &Budget{
		Ratio:   0.2,
		Extra:   40,
		Window:  10 * time.Second,
		Routers: func() int { return 4 },
	}
}

func takeAll(b *Budget, pool string) int {
	taken := 0
	for b.Take(pool) {
		taken++
	}
	return taken
}

func TestBudgetGivesRatioAndShareOfExtra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBudget()
		for range 100 {
			b.CountRequest("p")
		}
		// 0.85 of 0.2 * 100, and 0.6 of 40 / 4.
		if got, want := takeAll(b, "p"), 23; got != want {
			t.Errorf("100 requests: got %d retries, want %d", got, want)
		}
		if got, want := takeAll(b, "other"), 6; got != want {
			t.Errorf("pool without requests: got %d retries, want %d", got, want)
		}
	})
}

// TestBudgetHoldsInEverySlidingWindow takes every retry it can get at all times, and counts the
// retries in each window.
func TestBudgetHoldsInEverySlidingWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBudget()
		var taken []time.Time
		for range 300 {
			b.CountRequest("p")
			for b.Take("p") {
				taken = append(taken, time.Now())
			}
			time.Sleep(100 * time.Millisecond)
		}
		if len(taken) < 40 {
			t.Fatalf("got %d retries in 30 s, want at least 40", len(taken))
		}
		for i, from := range taken {
			count := 0
			for _, at := range taken[i:] {
				if at.Sub(from) < b.Window {
					count++
				}
			}
			// 0.2 of the 100 requests in a window, and 40 / 4.
			if limit := 30; count > limit {
				t.Fatalf("got %d retries within the window from %v, want at most %d", count, from, limit)
			}
		}
	})
}

// TestFleetStaysWithinItsBudgetWhenRoutersComeAndGo has routers take every retry they can get while
// others die and start, and counts the fleet's retries in each window.
func TestFleetStaysWithinItsBudgetWhenRoutersComeAndGo(t *testing.T) {
	const fleetSize, window = 4, 10 * time.Second
	for _, test := range []struct {
		name string
		// live returns the number of routers at a moment; restart is when all of them are
		// restarted.
		live    func(at time.Duration) int
		restart time.Duration
	}{
		{"all restart", func(time.Duration) int { return fleetSize }, 5 * time.Second},
		{"all but one die", func(at time.Duration) int {
			if at < 5*time.Second {
				return fleetSize
			}
			return 1
		}, time.Hour},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				started := time.Now()
				newFleet := func(restarted bool) (fleet []*Budget) {
					for range fleetSize {
						b := newTestBudget()
						b.Routers = func() int { return test.live(time.Since(started)) }
						b.Restarted = restarted
						fleet = append(fleet, b)
					}
					return fleet
				}
				fleet := newFleet(false)
				var taken []time.Time
				requests := 0
				for time.Since(started) < 3*window {
					if time.Since(started) == test.restart {
						fleet = newFleet(true)
					}
					for _, b := range fleet[:test.live(time.Since(started))] {
						b.CountRequest("p")
						requests++
						for b.Take("p") {
							taken = append(taken, time.Now())
						}
					}
					time.Sleep(time.Second)
				}
				// The limit for a window in which all routers live.
				limit := 0.2*float64(fleetSize*window/time.Second) + 40
				for i, from := range taken {
					count := 0
					for _, at := range taken[i:] {
						if at.Sub(from) < window {
							count++
						}
					}
					if float64(count) > limit {
						t.Fatalf("got %d retries within a window, want at most %v (%d requests in all)", count, limit, requests)
					}
				}
			})
		})
	}
}
