package directory

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick/balance"
)

// TestTimingFitsTimeAllowed has a router on the way fall silent: what remains
// has to suffice for one call more.
func TestTimingFitsTimeAllowed(t *testing.T) {
	for _, within := range []time.Duration{600 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second} {
		r := TimingWithin(within)
		remainder := within / 5
		if got := r.WatchWait + r.WatchMargin + remainder; got > within {
			t.Errorf("within %v: got %v for a silent store, want less", within, got)
		}
		if got := r.RelayWait + r.RelayMargin + remainder; got > within {
			t.Errorf("within %v: got %v for a silent router, want less", within, got)
		}
		// A router that the store has fallen silent for still has a copy that
		// counts as current; those that follow it list from the store after.
		if got := r.MaxAge + remainder; got > within {
			t.Errorf("within %v: got %v for a copy that is current no more, want less", within, got)
		}
		if r.MaxAge < r.WatchWait+r.WatchMargin {
			t.Errorf("within %v: got %v for the age of a copy, want the wait of its watch at least", within, r.MaxAge)
		}
	}
	if got, want := TimingWithin(0), TimingWithin(DefaultWithin); got != want {
		t.Errorf("without a bound: got %v, want %v", got, want)
	}
}

// TestBackendsDropExpiredWithinShortBounds has entries lapse in a fleet with short bounds:
// those of servers that do not come back are gone before the time is over.
func TestBackendsDropExpiredWithinShortBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var list listRecorder
		b := NewBackends(list.apply)
		b.Heartbeat, b.Leave = 600*time.Millisecond, time.Second
		b.Answered(0, 0)
		b.Change([]Change[balance.Entry]{backendChange("a", false), backendChange("b", false)})
		time.Sleep(900 * time.Millisecond)
		b.Failed()
		b.Answered(0, 0)
		b.Change([]Change[balance.Entry]{backendChange("b", true)})
		list.expect(t, "on return after more than a heartbeat", "a", "b")
		time.Sleep(960 * time.Millisecond)
		list.expect(t, "before the time allowed", "a")
	})
}
