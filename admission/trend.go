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
	elapsed := now.Sub(t.updatedAt)
	if !t.updatedAt.IsZero() && elapsed > 0 && t.total > 0 {
		change := float64(total-t.total) / float64(t.total) / elapsed.Seconds()
		t.rate += (change - t.rate) * -math.Expm1(-elapsed.Seconds()/trendTimeConstant.Seconds())
	}
	t.total, t.updatedAt = total, now
}

// expectedFall returns the fraction, from 0 to 1, by which the total is expected to fall within the
// period. It is 0 for a rising total.
func (t *trend) expectedFall(period time.Duration) float64 {
	return min(1, max(0, -t.rate*period.Seconds()))
}
