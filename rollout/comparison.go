package rollout

import "math"

// Counts are the numbers of responses of one version: of the good ones, and of those that failed or
// took several times as long as usual.
type Counts struct {
	Good, Bad int
}

func (c Counts) total() int {
	return c.Good + c.Bad
}

const (
	// alarmThreshold is the log-likelihood ratio from which on a version counts as bad. A version
	// as good as the old one reaches it by chance about once in e^alarmThreshold responses.
	alarmThreshold = 13.8
	// The alternative hypothesis of the test, that the new version is worse, is that its rate of bad
	// responses is higher than the baseline, the old version's rate, by at least minRateIncrease and
	// at least minRateFactor times as high.
	minRateIncrease = 0.1
	minRateFactor   = 3
	// The old version is taken to have had priorBad bad responses among priorResponses before any
	// of its responses was observed.
	priorBad       = 1.0
	priorResponses = 50.0
	// maxRate bounds the rate of bad responses of the alternative hypothesis to less than 1, so that
	// the logarithms are finite.
	maxRate = 0.95
	// recentDecay is the weight that earlier responses of the old version keep in its recent rate
	// of bad ones, from one observation to the next.
	recentDecay = 0.2
)

// Comparison reports whether a new version is worse than the old one, from the responses of both in
// the same period. It runs a cumulative sum test (CUSUM, Page 1954) on the new version's responses
// for a rise over the old version's rate of bad ones. It detects a version that is bad from the
// start as a sequential probability ratio test does, and one that turns bad later just as fast,
// because earlier good responses no longer count once the sum is back at zero. Failures that hit
// both versions, such as the loss of boxes, raise the rate that the new version is compared with.
type Comparison struct {
	// old and target are the counts of the old and the new version at the last observation, cusum is
	// the test statistic. recentTotal is the number of responses of the old version and recentBad
	// that of the bad ones, both weighted by age: see recentDecay.
	old, target            Counts
	recentTotal, recentBad float64
	cusum                  float64
	alarmed                bool
}

// Observe takes the counts of the old and the new version (target) since the start of the rollout,
// which only increase, and reports whether the new version is worse. Once true, the result stays
// true.
func (c *Comparison) Observe(old, target Counts) bool {
	baseline := min(c.baselineRate(old), maxRate/minRateFactor)
	good, bad := target.Good-c.target.Good, target.Bad-c.target.Bad
	c.target = target
	badRate := min(max(minRateFactor*baseline, baseline+minRateIncrease), maxRate)
	badStep, goodStep := math.Log(badRate/baseline), math.Log((1-badRate)/(1-baseline))
	// The order of the responses within one update is unknown: the bad ones are spread evenly.
	for bad > 0 || good > 0 {
		if bad > 0 {
			c.cusum += badStep
			c.alarmed = c.alarmed || c.cusum >= alarmThreshold
			bad--
		}
		batch := good / (bad + 1)
		c.cusum = max(c.cusum+float64(batch)*goodStep, 0)
		good -= batch
	}
	return c.alarmed
}

// baselineRate records the old version's counts and returns its rate of bad responses since the
// start of the rollout, or the recent one if that is higher.
func (c *Comparison) baselineRate(old Counts) float64 {
	c.recentTotal = recentDecay*c.recentTotal + float64(old.total()-c.old.total())
	c.recentBad = recentDecay*c.recentBad + float64(old.Bad-c.old.Bad)
	c.old = old
	overall := (float64(old.Bad) + priorBad) / (float64(old.total()) + priorResponses)
	return max(overall, (c.recentBad+priorBad)/(c.recentTotal+priorResponses))
}
