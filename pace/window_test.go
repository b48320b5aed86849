package pace

import "testing"

func TestWindowKeepsTheLatest(t *testing.T) {
	w := NewWindow(100)
	if got := w.Quantile(0.5); got != 0 {
		t.Errorf("got %v of an empty window, want 0", got)
	}
	for i := range 1000 {
		w.Add(float64(i))
	}
	for share, want := range map[float64]float64{
		0:    900,
		0.5:  950,
		0.99: 999,
		1:    999,
	} {
		// The sorted copy may lack the latest few values.
		if got := w.Quantile(share); got > want || got < want-100/resortDivisor-1 {
			t.Errorf("quantile %v: got %v, want %v or a little less", share, got, want)
		}
	}
	if got := w.Len(); got != 100 {
		t.Errorf("got %d values, want 100", got)
	}
}
