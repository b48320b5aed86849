package retry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick/clock"
)

// TestWindowCountsSuspensions suspends a router for less and for more than the window. Requests
// counted before the longer suspension must not allow retries any more.
func TestWindowCountsSuspensions(t *testing.T) {
	for suspension, want := range map[time.Duration]bool{time.Second: true, 30 * time.Second: false} {
		synctest.Test(t, func(t *testing.T) {
			suspended := time.Duration(0)
			defer clock.SetSuspensionOffset(func() time.Duration { return suspended })()
			b := &Budget{
				Ratio:   0.2,
				Window:  10 * time.Second,
				Routers: func() int { return 1 },
			}
			for range 100 {
				b.CountRequest("p")
			}
			suspended += suspension
			clock.DetectSuspension()
			if got := b.Allows("p"); got != want {
				t.Errorf("after %v: got a retry allowed %t, want %t", suspension, got, want)
			}
		})
	}
}
