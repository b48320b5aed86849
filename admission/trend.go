package admission

import (
	"math"
	"time"
)

// trendTimeConstant is the time constant of the moving average in trend.
const trendTimeConstant = time.Second

// trend tracks how fast the total of a pool changes, as an exponential moving average.
type trend struct {
	total     int
	updatedAt time.Time
	// rate is the relative change per second.
	rate float64
}

// update records the total at the given time.
func (t *trend) update(total int, now time.Time) {
	since := now.Sub(t.updatedAt)
	if !t.updatedAt.IsZero() && since > 0 && t.total > 0 {
		change := float64(total-t.total) / float64(t.total) / since.Seconds()
		t.rate += (change - t.rate) * -math.Expm1(-since.Seconds()/trendTimeConstant.Seconds())
	}
	t.total, t.updatedAt = total, now
}

// expectedFall returns the fraction, from 0 to 1, by which a total is expected to have fallen
// within the given time. It is 0 for a rising total.
func (t *trend) expectedFall(since time.Duration) float64 {
	return min(1, max(0, -t.rate*since.Seconds()))
}
