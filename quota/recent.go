package quota

import (
	"math"
	"time"
)

// recentTime is the time constant of what counts as recent demand: of refused requests, without which
// the demand of a router whose queue is full would look the same at any load, and of arriving work.
const recentTime = time.Second

// recent is an exponentially decaying count of requests and of their work in seconds.
type recent struct {
	count, work float64
	at          time.Time
}

// add counts a request.
func (r *recent) add(work time.Duration, now time.Time) {
	r.decay(now)
	r.addWork(work.Seconds())
}

// addWork counts a request with the work in seconds at the time of the last decay.
func (r *recent) addWork(work float64) {
	r.count++
	r.work += work
}

func (r *recent) decay(now time.Time) {
	r.decayWithin(recentTime, now)
}

// decayWithin is decay with another time constant.
func (r *recent) decayWithin(constant time.Duration, now time.Time) {
	if r.count > 0 {
		factor := math.Exp(-now.Sub(r.at).Seconds() / constant.Seconds())
		r.count *= factor
		r.work *= factor
	}
	r.at = now
}
