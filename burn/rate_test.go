package burn

import "testing"

func TestAvailability(t *testing.T) {
	for _, tc := range []struct {
		counts    Counts
		objective float64
		want      float64
	}{
		{
			counts: Counts{
				Total: 1000,
				Bad:   1,
			},
			objective: 0.99,
			want:      0.1,
		},
		{
			counts: Counts{
				Total: 100,
				Bad:   10,
			},
			objective: 0.99,
			want:      10,
		},
	} {
		got := Availability(tc.counts, tc.objective)
		if got == nil || *got < tc.want*0.999 || *got > tc.want*1.001 {
			t.Errorf("%+v at %v: got %v, want %v", tc.counts, tc.objective, got, tc.want)
		}
	}
	if got := Availability(Counts{}, 0.99); got != nil {
		t.Errorf("without requests: got %v, want nil", *got)
	}
}
