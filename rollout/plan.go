package rollout

import "time"

const (
	// canaryFraction is the part of the allowed exposure that the new version gets while it is
	// compared with the old one. The rest is kept for the shift at the end.
	canaryFraction = 0.25
	// stateWriteTime is the time reserved before the deadline to write the final state and let all
	// routers learn it.
	stateWriteTime = 300 * time.Millisecond
	// minShiftFraction is the shortest time between the shift and the deadline, as a fraction of
	// the duration.
	minShiftFraction = 0.01
)

// Plan says how the share of a new version rises. Between the order and its deadline the new
// version gets at most Exposure of all requests: a small share first, then, from as late a moment
// as that allows, all of them. A version that turns bad at any time has thus received no more than
// is allowed, no matter when that is detected, and requests that run on the old version have some
// time to end before it stops.
type Plan struct {
	Start    time.Time
	Duration time.Duration
	// Exposure is the largest share of all requests within Duration that a bad version may get.
	Exposure float64
}

// canary returns the share while the versions are compared.
func (p *Plan) canary() float64 {
	return canaryFraction * p.Exposure
}

// ShiftAt returns the time from which the new version gets all requests.
func (p *Plan) ShiftAt() time.Time {
	// The exposure is canary * t + (1 - t), with t as a fraction of the duration.
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

// IsDue reports whether a version as good as the old one is to be marked completed: as late as
// leaves time to write the state, so that requests on the old version end first.
func (p *Plan) IsDue(now time.Time) bool {
	deadline := p.Start.Add(p.Duration)
	due := deadline.Add(-stateWriteTime)
	if shift := p.ShiftAt(); due.Before(shift) {
		due = shift
	}
	return !now.Before(due)
}
