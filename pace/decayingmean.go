package pace

import (
	"math"
	"time"
)

// DecayingMean is a mean of values whose weights decay exponentially with their age. It is not
// safe for concurrent use.
type DecayingMean struct {
	// TimeConstant is the age at which a value has 1/e of its initial weight.
	TimeConstant time.Duration

	sum, weight float64
	at          time.Time
}

// Add adds a number of values, given by their sum. A time before that of an earlier call counts as
// the time of that call.
func (m *DecayingMean) Add(now time.Time, sum float64, count int) {
	kept := m.kept(now)
	m.sum, m.weight = m.sum*kept+sum, m.weight*kept+float64(count)
	if now.After(m.at) {
		m.at = now
	}
}

// Mean returns the mean, 0 without values.
func (m *DecayingMean) Mean() float64 {
	if m.weight == 0 {
		return 0
	}
	return m.sum / m.weight
}

// Weight returns the sum of the weights that the values have at this time.
func (m *DecayingMean) Weight(now time.Time) float64 {
	return m.weight * m.kept(now)
}

// kept returns the part of the weights that is left since the latest value.
func (m *DecayingMean) kept(now time.Time) float64 {
	return math.Exp(-max(now.Sub(m.at), 0).Seconds() / m.TimeConstant.Seconds())
}
