package clock

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestPausesAreToldFromLateChecks guards against a pause that is not detected, and against a busy box that is taken for
// one that stood still.
func TestPausesAreToldFromLateChecks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var pauses Pauses
		for _, test := range []struct {
			between, want time.Duration
		}{
			{0, 0},
			{PauseCheckInterval, 0},
			{2 * PauseCheckInterval, 0},
			{5 * time.Second, 5 * time.Second},
			{PauseCheckInterval, 0},
		} {
			time.Sleep(test.between)
			if got := pauses.Check(); got != test.want {
				t.Errorf("%v after the last check: got a pause of %v, want %v", test.between, got, test.want)
			}
		}
	})
}

// TestEarliestArrivalIsTheBeginningOfAPause guards against data that arrived during a pause and is taken for new.
func TestEarliestArrivalIsTheBeginningOfAPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var pauses Pauses
		check := func(when string, want time.Time) {
			t.Helper()
			if got := pauses.EarliestArrival(); !got.Equal(want) {
				t.Errorf("%s: got %v before now, want %v", when, Since(got), Since(want))
			}
		}
		run := func(duration time.Duration) {
			for range duration / PauseCheckInterval {
				time.Sleep(PauseCheckInterval)
				pauses.Check()
			}
		}
		check("before the first check", Now())
		run(time.Second)
		check("while the process runs", Now())
		paused := Now()
		time.Sleep(5 * time.Second)
		check("before the first check after a pause", paused)
		pauses.Check()
		check("after it", paused)
		run(backlogTime / 2)
		check("while the backlog is read", paused)
		time.Sleep(2 * time.Second)
		check("after a further pause, before a check", paused)
		pauses.Check()
		check("after a further pause", paused)
		run(backlogTime)
		check("once the backlog was read", Now())
	})
}
