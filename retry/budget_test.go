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
			b.Requested("p")
		}
		// 0.85 of 0.2 * 100 + 40 / 4.
		if got, want := takeAll(b, "p"), 25; got != want {
			t.Errorf("100 requests: got %d repeats, want %d", got, want)
		}
		if got, want := takeAll(b, "other"), 8; got != want {
			t.Errorf("pool without requests: got %d repeats, want %d", got, want)
		}
	})
}

// TestBudgetHoldsInEverySlidingWindow takes all it can at all times, and counts
// the repeats in every window.
func TestBudgetHoldsInEverySlidingWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBudget()
		var taken []time.Time
		for range 300 {
			b.Requested("p")
			for b.Take("p") {
				taken = append(taken, time.Now())
			}
			time.Sleep(100 * time.Millisecond)
		}
		if len(taken) < 40 {
			t.Fatalf("got %d repeats in 30 s, want at least 40", len(taken))
		}
		for i, from := range taken {
			count := 0
			for _, at := range taken[i:] {
				if at.Sub(from) < b.Window {
					count++
				}
			}
			if limit := 30; count > limit {
				t.Fatalf("got %d repeats within the window from %v, want at most %d", count, from, limit)
			}
		}
	})
}
