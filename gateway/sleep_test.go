package gateway

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/slipwick/slipwick/clock"
)

// TestSleepTakesFromARequestsTime has the router sleep while the first backend server
// works on a request and fails: the second is told what is truly left, and none is asked
// when nothing is left.
func TestSleepTakesFromARequestsTime(t *testing.T) {
	for sleep, want := range map[time.Duration]int64{time.Second: 2, 30 * time.Second: 1} {
		var ahead atomic.Int64
		restore := clock.SetSource(func() time.Duration { return time.Duration(ahead.Load()) })
		first := newBackend(t, "b1", func(b *backend, w http.ResponseWriter, r *http.Request) {
			ahead.Add(int64(sleep))
			answers(http.StatusInternalServerError, "failed")(b, w, r)
		})
		second := newBackend(t, "b2", answers(http.StatusOK, "answer"))
		f := newFixture(t, first, second)
		got := f.post(t, "/repeatable/x")
		if runs := first.runs.Load() + second.runs.Load(); runs != want {
			t.Errorf("asleep for %v: got %d runs, want %d", sleep, runs, want)
		}
		if want == 1 && got.status != http.StatusInternalServerError {
			t.Errorf("asleep for %v: got status %d, want the backend server's own answer", sleep, got.status)
		}
		if seen := second.last.Load(); seen != nil {
			left, err := strconv.Atoi(seen.Header.Get("Slipwick-Deadline-Ms"))
			if most := (5*time.Second - sleep).Milliseconds(); err != nil || int64(left) > most {
				t.Errorf("asleep for %v: got %d ms left, %v; want at most %d", sleep, left, err, most)
			}
		}
		restore()
	}
}
