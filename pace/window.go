package pace

import "slices"

// Window keeps the latest values of a quantity. It is not safe for concurrent
// use.
type Window struct {
	size   int
	values []float64
	next   int
	// sorted are the values when they were sorted last, added counts those that
	// came since.
	sorted []float64
	added  int
}

// staleShare of the values, one in so many, may be newer than the order that
// quantiles are read from: sorting at each one would cost more than it tells.
const staleShare = 16

// NewWindow makes a window of the latest values.
func NewWindow(size int) *Window {
	return &Window{
		size: size,
	}
}

// Add takes a value.
func (w *Window) Add(value float64) {
	w.added++
	if len(w.values) < w.size {
		w.values = append(w.values, value)
		return
	}
	w.values[w.next] = value
	w.next = (w.next + 1) % w.size
}

// Len counts the values that are kept.
func (w *Window) Len() int {
	return len(w.values)
}

// Quantile gives the value that a share of the latest ones are not above; 0
// without any.
func (w *Window) Quantile(share float64) float64 {
	if len(w.values) == 0 {
		return 0
	}
	if len(w.sorted) == 0 || w.added*staleShare >= len(w.values) {
		w.sorted = append(w.sorted[:0], w.values...)
		slices.Sort(w.sorted)
		w.added = 0
	}
	last := len(w.sorted) - 1
	return w.sorted[min(int(share*float64(len(w.sorted))), last)]
}
