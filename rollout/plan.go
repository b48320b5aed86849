package rollout

import "time"

const (
	// canaryFraction times the allowed exposure is the share of the requests that the new version
	// gets as a canary, that is, while it is compared with the old one. The rest of the exposure is
	// kept for the time between the shift and the deadline.
	canaryFraction = 0.25
	// stateWriteTime is the time reserved before the deadline to write the final state and let all
	// routers learn it.
	stateWriteTime = 300 * time.Millisecond
	// minShiftFraction is the shortest time between the shift, from which on the new version gets
	// all requests, and the deadline, as a fraction of the duration. It takes precedence over the
	// exposure.
	minShiftFraction = 0.01
)

// Plan says how the share of a new version rises. Between the order and its deadline the new
// version gets at most Exposure of all requests: a small share first, and all of them from the
// earliest time at which the total does not exceed Exposure. A version that turns bad at any time
// has thus received no more than is allowed, no matter when that is detected, and requests that run
// on the old version have some time to end before it stops. The exception is an Exposure below about
// minShiftFraction, of which the new version may get more.
type Plan struct {
	Start    time.Time
	Duration time.Duration
	// Exposure is the largest share, from 0 to 1, of all requests within Duration that a bad version
	// may get.
	Exposure float64
}

// canary returns the share of the new version while it is compared with the old one.
func (p *Plan) canary() float64 {
	return canaryFraction * p.Exposure
}

// ShiftAt returns the time from which the new version gets all requests.
func (p *Plan) ShiftAt() time.Time {
	// With the shift after a fraction f of the duration the exposure is canary * f + (1 - f).
	fraction := min((1-p.Exposure)/(1-p.canary()), 1-minShiftFraction)
	return p.Start.Add(time.Duration(fraction * float64(p.Duration)))
}

// Share returns the part of the requests that the new version gets at a time, from 0 to 1.
func (p *Plan) Share(now time.Time) float64 {
	if now.Before(p.ShiftAt()) {
		return p.canary()
	}
	return 1
}

// IsDue reports whether the rollout of a version that was not found bad is to be completed now. It
// is stateWriteTime before the deadline, but not before the shift: the later, the more requests on
// the old version have ended.
func (p *Plan) IsDue(now time.Time) bool {
	deadline := p.Start.Add(p.Duration)
	due := deadline.Add(-stateWriteTime)
	if shift := p.ShiftAt(); due.Before(shift) {
		due = shift
	}
	return !now.Before(due)
}
