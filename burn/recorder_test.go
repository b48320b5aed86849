package burn

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestReportCountsSlidingWindows checks that a window counts the requests within its length and no
// older ones.
func TestReportCountsSlidingWindows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var r Recorder
		r.Record("w", Counts{
			Total: 10,
			Bad:   1,
		})
		time.Sleep(10 * time.Minute)
		r.Record("w", Counts{
			Total: 30,
		})
		for i, want := range []uint64{30, 40, 40, 40} {
			if got := r.Report()["w"][i].Total; got != want {
				t.Errorf("window %s: got %d, want %d", Windows[i], got, want)
			}
		}
		time.Sleep(7 * time.Hour)
		if got := r.Report()["w"][3].Total; got != 0 {
			t.Errorf("after 7 hours: got %d, want 0", got)
		}
	})
}
