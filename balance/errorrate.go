package balance

import (
	"math"
	"time"
)

const (
	// minOutcomes is the least number of outcomes that an error rate covers.
	minOutcomes = 10
	// errorRateTime is the time that an error rate covers if it has more outcomes within it. The
	// outcomes of a whole fleet arrive in batches, 200 to 600 ms late: if the rate covered only the
	// last few of 100 a second, two failures in a row would eject a server that serves the others.
	errorRateTime = 500 * time.Millisecond
	// maxUnsentSuccesses bounds the successes that are sent together with the next failure.
	// More would only say that the server was healthy long before.
	maxUnsentSuccesses = 20
)

// errorRate is a moving average of the failures among a backend server's latest requests.
type errorRate struct {
	rate float64
	// outcomes is the decayed number of outcomes as of the time at.
	outcomes float64
	at       time.Time
	// good and failed count the outcomes of this router that were not sent to other routers
	// yet.
	good, failed int
}

// add takes outcomes of any router.
func (e *errorRate) add(good, failed int, now time.Time) {
	n := float64(good + failed)
	if n <= 0 {
		return
	}
	e.outcomes *= math.Exp(-float64(now.Sub(e.at)) / float64(errorRateTime))
	e.at = now
	kept := math.Pow(1-e.weight(), n)
	e.rate = e.rate*kept + float64(failed)/n*(1-kept)
	e.outcomes += n
}

// weight returns the weight of the next outcome.
func (e *errorRate) weight() float64 {
	return 1 / max(e.outcomes+1, minOutcomes)
}

// deviation returns the standard deviation of the rate if requests fail with a probability.
func (e *errorRate) deviation(probability float64) float64 {
	w := e.weight()
	return math.Sqrt(probability * (1 - probability) * w / (2 - w))
}

// record takes an outcome of this router. If it counts, it becomes part of the rate at once.
func (e *errorRate) record(failed, counts bool, now time.Time) {
	good, bad := 1, 0
	if failed {
		good, bad = 0, 1
	}
	e.good, e.failed = min(e.good+good, maxUnsentSuccesses), e.failed+bad
	if counts {
		e.add(good, bad, now)
	}
}

// restart sets the rate after an ejection, whose outcomes no longer count.
func (e *errorRate) restart(rate float64) {
	*e = errorRate{
		rate:   rate,
		failed: e.failed,
	}
}

// takeUnsent returns and resets the counts to send. Unless withSuccesses, it returns zeros and keeps the
// counts while there is no failure: successes alone are seldom worth an update.
func (e *errorRate) takeUnsent(withSuccesses bool) (good, failed int) {
	if e.failed == 0 && !withSuccesses {
		return 0, 0
	}
	good, failed = e.good, e.failed
	e.good, e.failed = 0, 0
	return good, failed
}
