package admission

import (
	"math"
	"time"
)

// paceHorizon is how far back the pace of releases looks.
const paceHorizon = 5 * time.Second

// pace estimates how many slots are released in a second, as a moving average.
type pace struct {
	rate float64
	last time.Time
}

// release counts one release.
func (p *pace) release(now time.Time) {
	p.rate = p.now(now) + 1/paceHorizon.Seconds()
	p.last = now
}

// now is the rate, decayed since the last release.
func (p *pace) now(now time.Time) float64 {
	if p.last.IsZero() {
		return 0
	}
	return p.rate * math.Exp(-now.Sub(p.last).Seconds()/paceHorizon.Seconds())
}

// wait estimates how long until count slots were released.
func (p *pace) wait(count int, now time.Time) time.Duration {
	rate := p.now(now)
	if rate == 0 {
		return 0
	}
	return time.Duration(float64(count) / rate * float64(time.Second))
}
