package retry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick/clock"
)

// TestBacklogCountsFromItsArrival guards against retries for requests that arrived during a pause of the process as if
// all of them had arrived when it went on.
func TestBacklogCountsFromItsArrival(t *testing.T) {
	const pause, rate = 20 * time.Millisecond, 4
	for _, seconds := range []int{1, 3, 5, 9, 15} {
		paused := time.Duration(seconds) * time.Second
		synctest.Test(t, func(t *testing.T) {
			b := newTestBudget()
			perWindow := int(b.Window / pause)
			// sent and retries count the requests that callers sent and the retries by step.
			var sent, retries []int
			step := func(counted, made int) {
				sent, retries = append(sent, counted), append(retries, made)
				time.Sleep(pause)
			}
			serve := func(areFailing bool) {
				for range rate {
					b.CountRequest("p")
				}
				made := 0
				for areFailing && b.Take("p") {
					made++
				}
				step(rate, made)
			}
			for range 2 * perWindow {
				serve(false)
			}
			pausedAt := clock.Now()
			for range paused / pause {
				step(rate, 0)
			}
			for range rate * int(paused/pause) {
				b.CountRequestAt("p", pausedAt)
			}
			for range 2 * perWindow {
				serve(true)
			}
			worst := 0.0
			for i := range len(retries) - perWindow {
				requests := 0
				for _, back := range []int{0, perWindow / 2, perWindow} {
					begin := max(i-back, 0)
					requests = max(requests, sum(sent[begin:begin+perWindow]))
				}
				worst = max(worst, float64(sum(retries[i:i+perWindow]))-b.Ratio*float64(requests))
			}
			if limit := b.Extra / float64(b.Routers()); worst > limit {
				t.Errorf("paused for %v: got %.0f retries beyond the ratio, want at most %.0f", paused, worst, limit)
			}
		})
	}
}
