package admission

import (
	"math"
	"time"
)

// rateTimeConstant is the time constant of the average of the release rate.
const rateTimeConstant = 5 * time.Second

// releaseRate estimates the number of slots released per second, as an exponential moving average.
type releaseRate struct {
	rate float64
	last time.Time
}

// record counts one release.
func (r *releaseRate) record(now time.Time) {
	r.rate = r.at(now) + 1/rateTimeConstant.Seconds()
	r.last = now
}

// at returns the rate, decayed since the last release.
func (r *releaseRate) at(now time.Time) float64 {
	if r.last.IsZero() {
		return 0
	}
	return r.rate * math.Exp(-now.Sub(r.last).Seconds()/rateTimeConstant.Seconds())
}

// timeToRelease estimates the time in which count slots are released. It returns 0 if no release
// has been recorded.
func (r *releaseRate) timeToRelease(count int, now time.Time) time.Duration {
	rate := r.at(now)
	if rate == 0 {
		return 0
	}
	return time.Duration(float64(count) / rate * float64(time.Second))
}
