package directory

import (
	"testing"
	"time"
)

// TestTimingFitsPropagationTime has a router on the way stop responding. The remaining time has to
// suffice for one more call.
func TestTimingFitsPropagationTime(t *testing.T) {
	for _, within := range []time.Duration{600 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second} {
		timing := TimingWithin(within)
		remainder := within / 5
		if got := timing.WatchWait + timing.WatchMargin + remainder; got > within {
			t.Errorf("within %v: got %v for an unresponsive store and one more call, want at most that time", within, got)
		}
		if got := timing.RelayWait + timing.RelayMargin + remainder; got > within {
			t.Errorf("within %v: got %v for an unresponsive router and one more call, want at most that time", within, got)
		}
		// A router that the store no longer responds to still has a copy that counts as current. Its
		// followers list from the store after that.
		if got := timing.MaxAge + remainder; got > within {
			t.Errorf("within %v: got %v until a copy is stale and for one more call, want at most that time", within, got)
		}
		if timing.MaxAge < timing.WatchWait+timing.WatchMargin {
			t.Errorf("within %v: got a maximum age of %v, want at least the time of a watch", within, timing.MaxAge)
		}
	}
	if got, want := TimingWithin(0), TimingWithin(DefaultPropagationTime); got != want {
		t.Errorf("without a propagation time: got %v, want the default %v", got, want)
	}
}
