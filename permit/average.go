package permit

// averageWeight is the weight of the latest value in an average: it follows a server that slows down
// within some 20 requests, a tenth of a second.
const averageWeight = 0.1

// average is an exponentially weighted average. Its first values are averaged evenly.
type average struct {
	value float64
	count int
}

func (a *average) add(value float64) {
	a.count = min(a.count+1, 1/averageWeight)
	a.value += (value - a.value) / float64(a.count)
}

// or returns the average, or initial without values.
func (a *average) or(initial float64) float64 {
	if a.count == 0 {
		return initial
	}
	return a.value
}
