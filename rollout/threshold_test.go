package rollout

import "testing"

// threshold returns a simple alternative to Comparison.Observe: the new version is bad once it has
// given minResponses or more and its rate of bad ones exceeds the old version's by the increase.
func threshold(minResponses int, increase float64) func(old, target Counts) bool {
	return func(old, target Counts) bool {
		if target.total() < minResponses {
			return false
		}
		oldRate := float64(old.Bad) / float64(max(old.total(), 1))
		return float64(target.Bad)/float64(target.total()) > oldRate+increase
	}
}

// TestMeasureThresholds compares plain thresholds with the cumulative sum test of Comparison: how
// many good versions are rolled back, how many bad ones are completed, and how many requests the bad
// ones get at most. It logs the figures and asserts nothing.
func TestMeasureThresholds(t *testing.T) {
	const seeds = 500
	later := func(fraction float64) float64 {
		if fraction < 0.7 {
			return 0.01
		}
		return 0.5
	}
	methods := map[string]func() func(old, target Counts) bool{
		"cumulative sum":          func() func(old, target Counts) bool { return nil },
		"20 responses, 0.1 more":  func() func(old, target Counts) bool { return threshold(20, 0.1) },
		"50 responses, 0.1 more":  func() func(old, target Counts) bool { return threshold(50, 0.1) },
		"20 responses, 0.25 more": func() func(old, target Counts) bool { return threshold(20, 0.25) },
	}
	for name, method := range methods {
		rolledBack, completed, maxRequests := 0, 0, 0
		simulate := func(seed uint64, old, target func(float64) float64) result {
			sim := newSimulation(seed, old, target)
			sim.observe = method()
			return sim.run()
		}
		for seed := range uint64(seeds) {
			if simulate(seed, constant(0.14), constant(0.14)).verdict != StateCompleted {
				rolledBack++
			}
			for _, bad := range []func(float64) float64{constant(0.3), later} {
				got := simulate(seed, constant(0.01), bad)
				if got.verdict != StateRolledBack {
					completed++
				}
				maxRequests = max(maxRequests, got.target)
			}
		}
		t.Logf("%s: %d of %d good ones rolled back, %d of %d bad ones completed, at most %d requests",
			name, rolledBack, seeds, completed, 2*seeds, maxRequests)
	}
}
