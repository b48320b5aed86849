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
