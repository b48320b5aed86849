package retry

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestBurstsAtBothEndsOfAWindowStayWithinTheBudget guards against a window that forgets retries before it has passed,
// so that a router makes those that it has saved up twice within it.
func TestBurstsAtBothEndsOfAWindowStayWithinTheBudget(t *testing.T) {
	const pause, rate = 10 * time.Millisecond, 3
	synctest.Test(t, func(t *testing.T) {
		b := newTestBudget()
		perWindow := int(b.Window / pause)
		var retries []int
		send := func(areFailing bool) {
			for range rate {
				b.CountRequest("p")
			}
			made := 0
			for areFailing && b.Take("p") {
				made++
			}
			retries = append(retries, made)
			time.Sleep(pause)
		}
		// Slots begin with the first request; the first retries are made in the middle of one.
		b.CountRequest("p")
		time.Sleep(b.Window / windowSlots / 2)
		for range 2 * perWindow {
			send(false)
		}
		for range 3 * perWindow {
			send(true)
		}
		limit := b.Ratio*float64(rate*perWindow) + b.Extra/float64(b.Routers())
		worst := 0
		for i := range len(retries) - perWindow {
			worst = max(worst, sum(retries[i:i+perWindow]))
		}
		if float64(worst) > limit {
			t.Errorf("got %d retries within a window, want at most %.0f", worst, limit)
		}
		if got, want := float64(sum(retries[len(retries)-perWindow:])), 0.84*limit; got < want {
			t.Errorf("got %.0f retries in the last window, want at least %.0f", got, want)
		}
	})
}

func sum(counts []int) (total int) {
	for _, n := range counts {
		total += n
	}
	return total
}
