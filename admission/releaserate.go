package admission

import (
	"math"
	"time"
)

// rateTimeConstant is the time constant of the moving average in releaseRate.
const rateTimeConstant = 5 * time.Second

// releaseRate estimates the number of slots of a backend server that are released per second, as an
// exponential moving average.
type releaseRate struct {
	rate      float64
	updatedAt time.Time
}

// record counts one release.
func (r *releaseRate) record(now time.Time) {
	r.rate = r.currentRate(now) + 1/rateTimeConstant.Seconds()
	r.updatedAt = now
}

// currentRate returns the rate, decayed since the last release.
func (r *releaseRate) currentRate(now time.Time) float64 {
	if r.updatedAt.IsZero() {
		return 0
	}
	return r.rate * math.Exp(-now.Sub(r.updatedAt).Seconds()/rateTimeConstant.Seconds())
}

// timeToRelease estimates the time in which count slots are released. It returns 0 if no release
// has been recorded.
func (r *releaseRate) timeToRelease(count int, now time.Time) time.Duration {
	rate := r.currentRate(now)
	if rate == 0 {
		return 0
	}
	return time.Duration(float64(count) / rate * float64(time.Second))
}
