package dispatch

import "testing"

func TestBudgetBoundsRetries(t *testing.T) {
	var b Budget
	retries := 0
	for range 1000 {
		b.CountRequest()
		if b.Take() {
			retries++
		}
	}
	if got, want := retries, 1000*retryRatio+retryBurst; float64(got) > want || got < 100 {
		t.Errorf("got %d retries of 1000 failing requests, want at most %.0f", got, want)
	}
}
