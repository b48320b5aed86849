package balance

import (
	"math"
	"time"
)

const (
	// usualWeight is the weight that the usual pace has in the slow estimate, and the slow estimate
	// in the fast one, in reports or observations: without recent ones the estimates return to it.
	usualWeight = 2
	// levelWeight is how many observations it takes until half of the difference between what a
	// server reports and what routers observe there is attributed to its reports. The rest falls with the
	// square of their number, so that a report a hundred times too slow is corrected to within a tenth
	// after thirty, though such a server gets few requests.
	levelWeight = 4
	// A server's requests weigh as its slow estimate says from fullWeightPace on, and as usual up to
	// plainWeightPace: a short slowdown moves no prompts to other engines.
	plainWeightPace = 1.3
	fullWeightPace  = 1.6
	// maxPaceFactor bounds the estimates, as factors of the usual pace, to both sides.
	maxPaceFactor = MaxPace / usualPace
)

// speed estimates how long work takes at a server relative to usual, from its reports and from the
// response times that routers observe. Reports follow fast changes, and observations determine their
// level, so that a server that reports wrong values is judged by its response times.
type speed struct {
	// slowPace is the slow estimate at the latest news. loadWeight is what a request at the server
	// counts in its load, relative to one at a server with the usual pace. It follows slowPace.
	slowPace, loadWeight float64
	// fullUntil is the end of the time for which the server counts as full after a rejection.
	fullUntil             time.Time
	reports, observations paceEstimates
	// pending is what this router has not sent to the others yet.
	pending SpeedCounts
}

func newSpeed() speed {
	return speed{
		reports:      newPaceEstimates(),
		observations: newPaceEstimates(),
		slowPace:     1,
		loadWeight:   1,
	}
}

// paces returns the fast and the slow estimate as factors of the usual pace: 2 means twice the time.
func (s *speed) paces(now time.Time) (fast, slow float64) {
	logFast, logSlow := s.logPaces(now)
	return math.Exp(logFast), math.Exp(logSlow)
}

func (s *speed) logPaces(now time.Time) (fast, slow float64) {
	latest, level := &s.reports, 0.0
	observed, reported := s.observations.slow.Weight(now), s.reports.slow.Weight(now)
	if reported < 1 {
		latest = &s.observations
	} else {
		level = (s.observations.slow.Mean() - s.reports.slow.Mean()) * observed * observed /
			(observed*observed + levelWeight*levelWeight)
	}
	weight := max(observed, reported)
	slow = (latest.slow.Mean() + level) * weight / (weight + usualWeight)
	weight = latest.fast.Weight(now)
	fast = slow + (latest.fast.Mean()+level-slow)*weight/(weight+usualWeight)
	limit := math.Log(maxPaceFactor)
	return min(max(fast, -limit), limit), min(max(slow, -limit), limit)
}

// reportedFactor returns by what factor the server's recent reports say that work takes longer there
// than usual, 1 without reports.
func (s *speed) reportedFactor(now time.Time) float64 {
	weight := s.reports.fast.Weight(now)
	fast := s.reports.fast.Mean() * weight / (weight + usualWeight)
	weight = s.reports.slow.Weight(now)
	return math.Exp(max(fast, s.reports.slow.Mean()*weight/(weight+usualWeight)))
}

// updateLoadWeight computes slowPace and loadWeight anew.
func (s *speed) updateLoadWeight(now time.Time) {
	_, s.slowPace = s.paces(now)
	s.loadWeight = weightOf(s.slowPace)
}

// weightOf returns the load weight for a slow estimate. Below the usual pace it stays 1: what a fast
// engine may have is bounded by the number of its requests.
func weightOf(slow float64) float64 {
	if slow <= plainWeightPace {
		return 1
	}
	part := min((slow-plainWeightPace)/(fullWeightPace-plainWeightPace), 1)
	return 1 + part*(slow-1)
}

// observedFactor returns the slow estimate by response times alone.
func (s *speed) observedFactor(now time.Time) float64 {
	weight := s.observations.slow.Weight(now)
	return math.Exp(s.observations.slow.Mean() * weight / (weight + usualWeight))
}
