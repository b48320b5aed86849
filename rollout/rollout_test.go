package rollout

import (
	"math/rand/v2"
	"testing"
	"time"
)

// trial is one rollout of a fleet that sends rate requests a second, and looks at its counts
// five times a second.
type trial struct {
	random   *rand.Rand
	rate     float64
	duration time.Duration
	exposure float64
	// observe is the verdict's test, that of the package if it is nil.
	observe func(old, target Counts) bool
	// oldRate and newRate are the rates of bad answers at a time, in parts of the duration.
	oldRate, newRate func(part float64) float64
}

// result is how it ended.
type result struct {
	verdict State
	// all and target count requests, all and those that the new version got; late those it
	// got after its verdict. bad counts its bad answers.
	all, target, bad int
}

const (
	lookEvery = 200 * time.Millisecond
	exposure  = 0.1
)

func constant(rate float64) func(float64) float64 {
	return func(float64) float64 { return rate }
}

func (t *trial) run() result {
	began := time.Unix(0, 0)
	r := Begin(&Order{
		Pool:     "p",
		Version:  "v2",
		Duration: t.duration,
	}, t.exposure, began, 0)
	var old, target Counts
	out := result{}
	for now := began; now.Sub(began) < t.duration; now = now.Add(lookEvery) {
		part := now.Sub(began).Seconds() / t.duration.Seconds()
		for range int(t.rate * lookEvery.Seconds()) {
			out.all++
			counts, rate := &old, t.oldRate(part)
			if t.random.Float64() < r.Share(now) {
				counts, rate = &target, t.newRate(part)
				out.target++
			}
			if t.random.Float64() < rate {
				counts.Bad++
			} else {
				counts.Good++
			}
		}
		out.bad = target.Bad
		if t.observe == nil {
			out.verdict = r.Observe(now.Add(lookEvery), old, target)
			continue
		}
		// The package's test sees nothing bad.
		if r.verdict == StateRunning && t.observe(old, target) {
			r.verdict = StateRolledBack
		}
		out.verdict = r.Observe(now.Add(lookEvery), Counts{}, Counts{})
	}
	return out
}

func newTrial(seed uint64, oldRate, newRate func(float64) float64) *trial {
	return &trial{
		random:   rand.New(rand.NewPCG(seed, 1)),
		rate:     540,
		duration: 12 * time.Second,
		exposure: exposure,
		oldRate:  oldRate,
		newRate:  newRate,
	}
}

// TestGoodVersionsAreCompleted counts the good versions that are turned back by chance, over
// several rates of failures that both versions have, and a burst of them.
func TestGoodVersionsAreCompleted(t *testing.T) {
	const seeds = 2000
	burst := func(part float64) float64 {
		if part > 0.4 && part < 0.5 {
			return 0.5
		}
		return 0.01
	}
	for name, rate := range map[string]func(float64) float64{
		"no failures": constant(0),
		"1 in 100":    constant(0.01),
		"14 in 100":   constant(0.14),
		"a burst":     burst,
	} {
		turnedBack := 0
		for seed := range uint64(seeds) {
			if newTrial(seed, rate, rate).run().verdict != StateCompleted {
				turnedBack++
			}
		}
		t.Logf("%s: %d of %d turned back", name, turnedBack, seeds)
		// One in a thousand.
		if turnedBack > seeds/1000 {
			t.Errorf("%s: got %d of %d good versions turned back, want 1 in 1000 at most", name, turnedBack, seeds)
		}
	}
}

// TestBadVersionsAreTurnedBackWithinTheExposure has versions be bad from the start, later, or
// under all of the load, and counts what they got.
func TestBadVersionsAreTurnedBackWithinTheExposure(t *testing.T) {
	const seeds, slack = 500, 50
	from := func(start, rate float64) func(float64) float64 {
		return func(part float64) float64 {
			if part < start {
				return 0.01
			}
			return rate
		}
	}
	for name, bad := range map[string]func(float64) float64{
		"half fail":               constant(0.5),
		"all fail":                constant(1),
		"3 in 10 fail":            constant(0.3),
		"half fail from halfway":  from(0.5, 0.5),
		"half fail near the end":  from(0.9, 0.5),
		"half fail when all come": from(0.925, 0.5),
	} {
		missed, most, mostBad := 0, 0, 0
		for seed := range uint64(seeds) {
			got := newTrial(seed, constant(0.01), bad).run()
			if got.verdict != StateRolledBack {
				missed++
			}
			most, mostBad = max(most, got.target), max(mostBad, got.bad)
			if allowed := int(exposure*float64(got.all)) + slack; got.target > allowed {
				t.Errorf("%s, seed %d: got %d requests at the bad version, want %d at most", name, seed, got.target, allowed)
			}
		}
		t.Logf("%s: %d of %d missed, at most %d requests and %d bad answers", name, missed, seeds, most, mostBad)
		if missed > 0 {
			t.Errorf("%s: got %d of %d bad versions completed, want none", name, missed, seeds)
		}
	}
}

// TestExposureHoldsAtEveryMoment follows the plan of versions that show nothing: of the requests
// since the order, by any moment, and of all until the deadline.
func TestExposureHoldsAtEveryMoment(t *testing.T) {
	for _, duration := range []time.Duration{3 * time.Second, 12 * time.Second, time.Minute} {
		for _, allowed := range []float64{0.02, 0.1, 0.5} {
			began := time.Unix(0, 0)
			plan := Plan{
				Began:    began,
				Duration: duration,
				Exposure: allowed,
			}
			const steps = 10_000
			got := 0.0
			for i := range steps {
				got += plan.Share(began.Add(duration*time.Duration(i)/steps)) / steps
			}
			if got > allowed+0.01 {
				t.Errorf("%v, %v allowed: got a share of %.3f", duration, allowed, got)
			}
			if !plan.IsDue(began.Add(duration - time.Millisecond)) {
				t.Errorf("%v, %v allowed: got a good version not due before its deadline", duration, allowed)
			}
		}
	}
}

// TestFinalStatesStay has the store tell other states than this router's verdict.
func TestFinalStatesStay(t *testing.T) {
	now := time.Unix(0, 0)
	r := Begin(&Order{
		Pool:     "p",
		Version:  "v2",
		Duration: time.Second,
	}, exposure, now, 0)
	if state, ok := r.ToWrite(); state != StateRunning || !ok {
		t.Errorf("at the order: got %s to write, %v; want running", state, ok)
	}
	if got := r.Observe(now, Counts{}, Counts{Bad: 50}); got != StateRolledBack || r.Share(now) != 0 {
		t.Errorf("bad version: got %s with a share of %v", got, r.Share(now))
	}
	if got := r.Observe(now.Add(2*time.Second), Counts{}, Counts{Bad: 50}); got != StateRolledBack {
		t.Errorf("after the deadline: got %s, want what it was", got)
	}
	r.Order.State = StateCompleted
	if got := r.Observe(now, Counts{}, Counts{Bad: 50}); got != StateCompleted || r.Share(now) != 1 {
		t.Errorf("completed by another router: got %s with a share of %v", got, r.Share(now))
	}
	if state, ok := r.ToWrite(); ok {
		t.Errorf("got %s to write over a final state", state)
	}
}
