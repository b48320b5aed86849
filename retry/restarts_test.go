package retry

import (
	"testing"
	"time"
)

// TestTwoRestartsStayWithinExtra guards against a fleet whose processes are replaced twice within a
// window, and that sends more retries in it than the limit: each of three processes uses its part of
// Extra.
func TestTwoRestartsStayWithinExtra(t *testing.T) {
	const extra = 100
	taken := 0
	for _, restarted := range []bool{false, true, true} {
		b := &Budget{
			Extra:     extra,
			Window:    time.Minute,
			Routers:   func() int { return 1 },
			Restarted: restarted,
		}
		for b.Take("p") {
			taken++
		}
	}
	if taken > extra {
		t.Errorf("got %d retries within a window, want at most %d", taken, extra)
	}
}
