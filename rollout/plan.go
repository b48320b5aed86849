package rollout

import "time"

const (
	// canaryPart of the exposure allowed is what the new version gets while it is
	// compared with the old one. The rest is for the shift at the end.
	canaryPart = 0.25
	// settleTime is left at the end for the state to be written and known.
	settleTime = 300 * time.Millisecond
	// leastShift bounds the time from the shift to the deadline, in parts of the whole.
	leastShift = 0.01
)

// Plan is how the share of a new version rises. Of all requests between the order and its
// deadline the new version gets at most the exposure by plan: few at first, and all from a
// moment on that is as late as this. So a version that turns bad at any time has got no more
// than is allowed, whenever it is found out, and what runs at the old one has some time to
// end before that one stops.
type Plan struct {
	Began    time.Time
	Duration time.Duration
	// Exposure is the share of all requests of the time that a bad version may get.
	Exposure float64
}

// canary is the share while the versions are compared.
func (p *Plan) canary() float64 {
	return canaryPart * p.Exposure
}

// ShiftAt is when the new version gets all.
func (p *Plan) ShiftAt() time.Time {
	// canary * t + (1 - t) is the exposure, for t in parts of the duration.
	part := min((1-p.Exposure)/(1-p.canary()), 1-leastShift)
	return p.Began.Add(time.Duration(part * float64(p.Duration)))
}

// Share is the part of the requests that the new version gets.
func (p *Plan) Share(now time.Time) float64 {
	if now.Before(p.ShiftAt()) {
		return p.canary()
	}
	return 1
}

// IsDue tells whether a version that is as good as the old one is to be completed: as late as
// there is time to write it, so that what the old version runs ends first.
func (p *Plan) IsDue(now time.Time) bool {
	deadline := p.Began.Add(p.Duration)
	due := deadline.Add(-settleTime)
	if shift := p.ShiftAt(); due.Before(shift) {
		due = shift
	}
	return !now.Before(due)
}
