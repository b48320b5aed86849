package directory

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick/balance"
)

// TestTimingFitsPropagationTime has a router on the way stop responding. The remaining time has to
// suffice for one more call.
func TestTimingFitsPropagationTime(t *testing.T) {
	for _, within := range []time.Duration{600 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second} {
		r := TimingWithin(within)
		remainder := within / 5
		if got := r.WatchWait + r.WatchMargin + remainder; got > within {
			t.Errorf("within %v: got %v for an unresponsive store and one more call, want at most that time", within, got)
		}
		if got := r.RelayWait + r.RelayMargin + remainder; got > within {
			t.Errorf("within %v: got %v for an unresponsive router and one more call, want at most that time", within, got)
		}
		// A router that the store no longer responds to still has a copy that counts as current. Its
		// followers list from the store after that.
		if got := r.MaxAge + remainder; got > within {
			t.Errorf("within %v: got %v until a copy is stale and for one more call, want at most that time", within, got)
		}
		if r.MaxAge < r.WatchWait+r.WatchMargin {
			t.Errorf("within %v: got a maximum age of %v, want at least the time of a watch", within, r.MaxAge)
		}
	}
	if got, want := TimingWithin(0), TimingWithin(DefaultPropagationTime); got != want {
		t.Errorf("without a propagation time: got %v, want the default %v", got, want)
	}
}

// TestBackendsDropExpiredWithinShortBounds has entries expire in a fleet with a short heartbeat
// and LeaveTime. Those of servers that do not write theirs again are dropped in time.
func TestBackendsDropExpiredWithinShortBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var list listRecorder
		b := NewBackends(list.apply)
		b.Heartbeat, b.LeaveTime = 600*time.Millisecond, time.Second
		b.RecordResponse(0, 0)
		b.Apply([]Change[balance.Entry]{backendChange("a", false), backendChange("b", false)})
		time.Sleep(900 * time.Millisecond)
		b.RecordFailure()
		b.RecordResponse(0, 0)
		b.Apply([]Change[balance.Entry]{backendChange("b", true)})
		list.expect(t, "when the store responds after more than a heartbeat", "a", "b")
		time.Sleep(960 * time.Millisecond)
		list.expect(t, "before LeaveTime is over", "a")
	})
}
