package routing

import "testing"

func TestRouteChoosesPoolsByWeight(t *testing.T) {
	r := Route{
		Targets: []Target{
			{
				Pool:   "a",
				Weight: 90,
			},
			{
				Pool:   "b",
				Weight: 10,
			},
		},
	}
	for draw, want := range map[float64]string{
		0:     "a",
		0.899: "a",
		0.901: "b",
		0.999: "b",
	} {
		if got := r.ChoosePool(draw); got != want {
			t.Errorf("draw %v: got %q, want %q", draw, got, want)
		}
	}
}
