package pace

import "slices"

// Window keeps the latest values of a quantity and returns their quantiles. It is not safe for
// concurrent use.
type Window struct {
	size   int
	values []float64
	// next is the index of the oldest value once the window is full.
	next int
	// sorted holds the values as last sorted; added counts the values added since.
	sorted []float64
	added  int
}

// Up to one in resortDivisor of the values may be newer than the sorted copy that quantiles are
// read from: sorting for each call would cost more than the fresher result is worth.
const resortDivisor = 16

// NewWindow returns a window that keeps the latest size values.
func NewWindow(size int) *Window {
	return &Window{
		size: size,
	}
}

// Add adds a value, in place of the oldest one if the window is full.
func (w *Window) Add(value float64) {
	w.added++
	if len(w.values) < w.size {
		w.values = append(w.values, value)
		return
	}
	w.values[w.next] = value
	w.next = (w.next + 1) % w.size
}

// Len returns the number of values in the window.
func (w *Window) Len() int {
	return len(w.values)
}

// Quantile returns the quantile of the values for a share from 0 to 1, which may lack the latest
// few values; 0 without values.
func (w *Window) Quantile(share float64) float64 {
	if len(w.values) == 0 {
		return 0
	}
	if len(w.sorted) == 0 || w.added*resortDivisor >= len(w.values) {
		w.sorted = append(w.sorted[:0], w.values...)
		slices.Sort(w.sorted)
		w.added = 0
	}
	last := len(w.sorted) - 1
	return w.sorted[min(int(share*float64(len(w.sorted))), last)]
}
