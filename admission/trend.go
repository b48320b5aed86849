package admission

import (
	"math"
	"time"
)

// trendHorizon is how far back a trend looks.
const trendHorizon = time.Second

// trend follows how fast a pool's total changes, as a moving average.
type trend struct {
	total int
	at    time.Time
	// rate is the change in a second, as a share.
	rate float64
}

// note takes the total at a moment.
func (t *trend) note(total int, now time.Time) {
	since := now.Sub(t.at)
	if !t.at.IsZero() && since > 0 && t.total > 0 {
		change := float64(total-t.total) / float64(t.total) / since.Seconds()
		t.rate += (change - t.rate) * -math.Expm1(-since.Seconds()/trendHorizon.Seconds())
	}
	t.total, t.at = total, now
}

// fall is the share that a falling total has lost in the time since it was
// true; 0 for one that rises.
func (t *trend) fall(since time.Duration) float64 {
	return min(1, max(0, -t.rate*since.Seconds()))
}
