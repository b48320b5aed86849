package permit

import "time"

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
	factors map[waitClass]*average
}

// factor returns the factor of a class, at least 1.
func (o *overtaking) factor(class waitClass) float64 {
	if a := o.factors[class]; a != nil {
		return max(a.value, 1)
	}
	return 1
}

// record notes for how long a request waited.
func (o *overtaking) record(class waitClass, expected, actual time.Duration) {
	if expected < minOvertakingWait {
		return
	}
	a := o.factors[class]
	if a == nil {
		if o.factors == nil || len(o.factors) >= maxWaitClasses {
			o.factors = make(map[waitClass]*average)
		}
		a = &average{}
		o.factors[class] = a
	}
	a.add(min(float64(actual)/float64(expected), maxOvertaking))
}
