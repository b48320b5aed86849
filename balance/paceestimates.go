package balance

import (
	"time"

	"github.com/slipwick/slipwick/pace"
)

const (
	// fastPaceTime is the time constant of the fast estimates, which follow a short slowdown,
	// slowPaceTime that of the slow ones, which a slowdown shorter than a second hardly changes.
	fastPaceTime = 300 * time.Millisecond
	slowPaceTime = 6 * time.Second
)

// paceEstimates are a fast and a slow mean of the logarithms of paces, relative to the usual one.
type paceEstimates struct {
	fast, slow pace.DecayingMean
}

func newPaceEstimates() paceEstimates {
	return paceEstimates{
		fast: pace.DecayingMean{
			TimeConstant: fastPaceTime,
		},
		slow: pace.DecayingMean{
			TimeConstant: slowPaceTime,
		},
	}
}

// add adds a number of paces, given by the sum of their logarithms.
func (e *paceEstimates) add(now time.Time, sum float64, count int) {
	if count > 0 {
		e.fast.Add(now, sum, count)
		e.slow.Add(now, sum, count)
	}
}
