package rollout

import "testing"

// threshold is the plain way: a version is bad once it failed so much more often than the old
// one, of so many answers at least.
func threshold(least int, more float64) func(old, target Counts) bool {
	return func(old, target Counts) bool {
		if target.sum() < least {
			return false
		}
		usual := float64(old.Bad) / float64(max(old.sum(), 1))
		return float64(target.Bad)/float64(target.sum()) > usual+more
	}
}

// TestMeasureThresholds compares plain thresholds with the cumulative sum: of good versions, how
// many are turned back; of bad ones, how many are completed and what they get.
func TestMeasureThresholds(t *testing.T) {
	const seeds = 500
	later := func(part float64) float64 {
		if part < 0.7 {
			return 0.01
		}
		return 0.5
	}
	ways := map[string]func() func(old, target Counts) bool{
		"cumulative sum":        func() func(old, target Counts) bool { return nil },
		"20 answers, 0.1 more":  func() func(old, target Counts) bool { return threshold(20, 0.1) },
		"50 answers, 0.1 more":  func() func(old, target Counts) bool { return threshold(50, 0.1) },
		"20 answers, 0.25 more": func() func(old, target Counts) bool { return threshold(20, 0.25) },
	}
	for name, way := range ways {
		turnedBack, completed, most := 0, 0, 0
		play := func(seed uint64, old, target func(float64) float64) result {
			trial := newTrial(seed, old, target)
			trial.observe = way()
			return trial.run()
		}
		for seed := range uint64(seeds) {
			if play(seed, constant(0.14), constant(0.14)).verdict != StateCompleted {
				turnedBack++
			}
			for _, bad := range []func(float64) float64{constant(0.3), later} {
				got := play(seed, constant(0.01), bad)
				if got.verdict != StateRolledBack {
					completed++
				}
				most = max(most, got.target)
			}
		}
		t.Logf("%s: %d of %d good ones turned back, %d of %d bad ones completed, at most %d requests",
			name, turnedBack, seeds, completed, 2*seeds, most)
	}
}
