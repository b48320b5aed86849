package permit

import (
	"math"
	"time"
)

const (
	// minOvertakingWait is the least expected wait that is compared with the actual one.
	minOvertakingWait = 2 * time.Millisecond
	// maxOvertaking bounds by what factor requests wait longer than expected.
	maxOvertaking = 20
	// refusedFactor is by what factor a request that was refused after a wait would have waited longer, at
	// least.
	refusedFactor = 1.5
	// maxWaitClasses bounds the classes that are remembered.
	maxWaitClasses = 4096
	// overtakingMemory is after how long without a request of its class a factor has decayed to a third of its
	// excess over 1. A high factor lets no requests of the class wait, so that none would correct it.
	overtakingMemory = time.Second
)

// waitClass identifies requests that are overtaken alike.
type waitClass struct {
	workspace string
	priority  int
	late      bool
}

// overtaking learns by what factor the requests of each class wait longer than expected when they
// arrived, since others that arrived later came first.
type overtaking struct {
	factors map[waitClass]*waitFactor
}

type waitFactor struct {
	average

	at time.Time
}

// get returns the factor, at least 1.
func (f *waitFactor) get(now time.Time) float64 {
	decay := math.Exp(-now.Sub(f.at).Seconds() / overtakingMemory.Seconds())
	return 1 + max(f.value-1, 0)*decay
}

// factor returns the factor of a class, at least 1.
func (o *overtaking) factor(class waitClass, now time.Time) float64 {
	if f := o.factors[class]; f != nil {
		return f.get(now)
	}
	return 1
}

// record notes for how long a request waited.
func (o *overtaking) record(class waitClass, expected, actual time.Duration, now time.Time) {
	if expected < minOvertakingWait {
		return
	}
	f := o.factors[class]
	if f == nil {
		if o.factors == nil || len(o.factors) >= maxWaitClasses {
			o.factors = make(map[waitClass]*waitFactor)
		}
		f = &waitFactor{}
		o.factors[class] = f
	}
	f.value, f.at = f.get(now), now
	f.add(min(float64(actual)/float64(expected), maxOvertaking))
}
