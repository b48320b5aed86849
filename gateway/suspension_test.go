package gateway

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/slipwick/slipwick/clock"
)

// TestSuspensionCountsTowardsTheDeadline has the router's box be suspended while the first backend
// server works on a request and then fails. The second has to receive the time that is really left,
// and must not be sent the request if none is left.
func TestSuspensionCountsTowardsTheDeadline(t *testing.T) {
	for suspension, want := range map[time.Duration]int64{time.Second: 2, 30 * time.Second: 1} {
		var suspended atomic.Int64
		restore := clock.SetSuspensionOffset(func() time.Duration { return time.Duration(suspended.Load()) })
		first := newBackend(t, "b1", func(b *backend, w http.ResponseWriter, r *http.Request) {
			suspended.Add(int64(suspension))
			respondWith(http.StatusInternalServerError, "failed")(b, w, r)
		})
		second := newBackend(t, "b2", respondWith(http.StatusOK, "answer"))
		f := newFixture(t, first, second)
		got := f.post(t, "/repeatable/x")
		if runs := first.runs.Load() + second.runs.Load(); runs != want {
			t.Errorf("suspended for %v: got %d runs, want %d", suspension, runs, want)
		}
		if want == 1 && got.status != http.StatusInternalServerError {
			t.Errorf("suspended for %v: got status %d, want the backend server's own response", suspension, got.status)
		}
		if seen := second.last.Load(); seen != nil {
			left, err := strconv.Atoi(seen.Header.Get("Slipwick-Deadline-Ms"))
			if most := (5*time.Second - suspension).Milliseconds(); err != nil || int64(left) > most {
				t.Errorf("suspended for %v: got %d ms left, %v; want at most %d", suspension, left, err, most)
			}
		}
		restore()
	}
}
