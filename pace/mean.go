package pace

import "time"

// Mean is a moving average of durations: the plain mean of the first meanWindow ones, and after that
// one in which each has the weight 1/meanWindow. It is not safe for concurrent use.
type Mean struct {
	mean  float64
	count int
}

// meanWindow is the number of durations after which an earlier one has lost most of its weight: some
// seconds of a busy route.
const meanWindow = 64

// Add adds a duration; negative ones are ignored.
func (m *Mean) Add(d time.Duration) {
	if d < 0 {
		return
	}
	m.count = min(m.count+1, meanWindow)
	m.mean += (float64(d) - m.mean) / float64(m.count)
}

// Value returns the average; ok is false before the first duration.
func (m *Mean) Value() (mean time.Duration, ok bool) {
	return time.Duration(m.mean), m.count > 0
}
