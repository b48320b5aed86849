package rollout

import "math"

// Counts are answers of one version: those that came well, and those that failed or came
// several times slower than usual.
type Counts struct {
	Good, Bad int
}

func (c Counts) sum() int {
	return c.Good + c.Bad
}

const (
	// alarmLevel is the logarithm of the odds from which on a version counts as bad. One
	// that is as good as the old one reaches it once in about e^alarmLevel answers.
	alarmLevel = 13.8
	// leastEffect is by how much more often a bad version fails at least, effectFactor how
	// many times as often.
	leastEffect  = 0.1
	effectFactor = 3
	// priorBad of priorAnswers is what the old version is taken to have failed before any
	// answer of it was seen.
	priorBad     = 1.0
	priorAnswers = 50.0
	// mostRate keeps the logarithms finite.
	mostRate = 0.95
	// recentKept is what remains of earlier answers of the old version, from one look to
	// the next, in its rate of late.
	recentKept = 0.2
)

// Comparison tells whether a new version is worse than the old one, from the answers of both
// in the same time: a cumulative sum test (CUSUM, Page 1954) of the new version's answers for
// a rise over the old one's rate of bad ones. It finds a version that is bad from the start as
// a sequential probability ratio test does, and one that turns bad later as soon, as good
// answers of before count for nothing once the sum is back at zero. What befalls both, as a
// loss of boxes, raises the rate that the new version is held against.
type Comparison struct {
	// old and seen are the counts taken so far, sum is the test's. recentBad of recent
	// answers of the old version were bad of late.
	old, seen         Counts
	recent, recentBad float64
	sum               float64
	alarmed           bool
}

// Observe takes the counts since the order of the old version and of the new one, which only
// rise, and tells whether the new one is worse.
func (c *Comparison) Observe(old, target Counts) bool {
	usual := min(c.usual(old), mostRate/effectFactor)
	good, bad := target.Good-c.seen.Good, target.Bad-c.seen.Bad
	c.seen = target
	worse := min(max(effectFactor*usual, usual+leastEffect), mostRate)
	onBad, onGood := math.Log(worse/usual), math.Log((1-worse)/(1-usual))
	// The order of the answers of one telling is not known: bad ones are taken in between.
	for bad > 0 || good > 0 {
		if bad > 0 {
			c.sum += onBad
			c.alarmed = c.alarmed || c.sum >= alarmLevel
			bad--
		}
		goods := good / (bad + 1)
		c.sum = max(c.sum+float64(goods)*onGood, 0)
		good -= goods
	}
	return c.alarmed
}

// usual is the old version's rate of bad answers: since the order, or of late if that is more.
func (c *Comparison) usual(old Counts) float64 {
	c.recent = recentKept*c.recent + float64(old.sum()-c.old.sum())
	c.recentBad = recentKept*c.recentBad + float64(old.Bad-c.old.Bad)
	c.old = old
	whole := (float64(old.Bad) + priorBad) / (float64(old.sum()) + priorAnswers)
	return max(whole, (c.recentBad+priorBad)/(c.recent+priorAnswers))
}
