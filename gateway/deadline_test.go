package gateway

import (
	"math"
	"strconv"
	"testing"
	"time"

	"github.com/slipwick/slipwick/routing"
)

// TestLargeDeadlineDoesNotOverflow guards against a deadline header that is larger than a
// time.Duration and makes the deadline pass at once or never.
func TestLargeDeadlineDoesNotOverflow(t *testing.T) {
	t.Parallel()
	arrived := time.Now()
	for _, requested := range []int64{
		math.MaxInt64, math.MaxInt64 / 2, math.MaxInt64/int64(time.Millisecond) + 1, math.MaxInt64 / int64(time.Millisecond),
	} {
		got := requestDeadline(strconv.FormatInt(requested, 10), &routing.Route{}, arrived).Sub(arrived)
		if got != maxTimeout {
			t.Errorf("header %d: got a timeout of %v, want %v", requested, got, maxTimeout)
		}
	}
	for header, want := range map[string]time.Duration{
		"250": 250 * time.Millisecond,
		"x":   defaultTimeout,
		"-1":  defaultTimeout,
	} {
		if got := requestDeadline(header, &routing.Route{}, arrived).Sub(arrived); got != want {
			t.Errorf("header %q: got %v, want %v", header, got, want)
		}
	}
}
