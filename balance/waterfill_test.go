package balance

import "testing"

func TestFillLevel(t *testing.T) {
	for _, test := range []struct {
		costs        []float64
		amount, want float64
	}{
		{[]float64{3}, 2, 5},
		{[]float64{0, 4}, 2, 2},
		{[]float64{4, 0}, 6, 5},
		{[]float64{1, 1, 1}, 3, 2},
	} {
		if got := fillLevel(test.costs, test.amount); got != test.want {
			t.Errorf("%v filled with %v: got a level of %v, want %v", test.costs, test.amount, got, test.want)
		}
	}
}
