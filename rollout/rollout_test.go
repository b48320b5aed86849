package rollout

import (
	"math/rand/v2"
	"testing"
	"time"
)

// simulation is one rollout of a pool that gets rate requests a second. The counts are observed once
// per observeInterval.
type simulation struct {
	random   *rand.Rand
	rate     float64
	duration time.Duration
	exposure float64
	// observe is called in place of Comparison.Observe unless it is nil.
	observe func(old, target Counts) bool
	// oldRate and newRate return the rate of bad responses at a time, given as a fraction of the
	// duration.
	oldRate, newRate func(fraction float64) float64
}

// result is the outcome of a simulation.
type result struct {
	verdict State
	// all counts all requests and target those that the new version got; bad counts its bad
	// responses.
	all, target, bad int
}

const (
	observeInterval = 200 * time.Millisecond
	exposure        = 0.1
)

func constant(rate float64) func(float64) float64 {
	return func(float64) float64 { return rate }
}

func (s *simulation) run() result {
	began := time.Unix(0, 0)
	r := New(&Order{
		Pool:     "p",
		Version:  "v2",
		Duration: s.duration,
	}, s.exposure, began, 0)
	var old, target Counts
	out := result{}
	for now := began; now.Sub(began) < s.duration; now = now.Add(observeInterval) {
		fraction := now.Sub(began).Seconds() / s.duration.Seconds()
		for range int(s.rate * observeInterval.Seconds()) {
			out.all++
			counts, rate := &old, s.oldRate(fraction)
			if s.random.Float64() < r.Share(now) {
				counts, rate = &target, s.newRate(fraction)
				out.target++
			}
			if s.random.Float64() < rate {
				counts.Bad++
			} else {
				counts.Good++
			}
		}
		out.bad = target.Bad
		if s.observe == nil {
			out.verdict = r.Observe(now.Add(observeInterval), old, target)
			continue
		}
		// The rollout's Comparison gets no counts, so it never finds a bad version.
		if r.verdict == StateRunning && s.observe(old, target) {
			r.verdict = StateRolledBack
		}
		out.verdict = r.Observe(now.Add(observeInterval), Counts{}, Counts{})
	}
	return out
}

func newSimulation(seed uint64, oldRate, newRate func(float64) float64) *simulation {
	return &simulation{
		random:   rand.New(rand.NewPCG(seed, 1)),
		rate:     540,
		duration: 12 * time.Second,
		exposure: exposure,
		oldRate:  oldRate,
		newRate:  newRate,
	}
}

// TestGoodVersionsAreCompleted guards against good versions that are rolled back by chance, for
// several failure rates common to both versions and for a burst of failures.
func TestGoodVersionsAreCompleted(t *testing.T) {
	const seeds = 2000
	burst := func(fraction float64) float64 {
		if fraction > 0.4 && fraction < 0.5 {
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
		rolledBack := 0
		for seed := range uint64(seeds) {
			if newSimulation(seed, rate, rate).run().verdict != StateCompleted {
				rolledBack++
			}
		}
		t.Logf("%s: %d of %d rolled back", name, rolledBack, seeds)
		if rolledBack > seeds/1000 {
			t.Errorf("%s: got %d of %d good versions rolled back, want 1 in 1000 at most", name, rolledBack, seeds)
		}
	}
}

// TestBadVersionsAreRolledBackWithinTheExposure guards against bad versions that are completed or get
// more requests than allowed. They are bad from the start, later, or only once they get all requests.
func TestBadVersionsAreRolledBackWithinTheExposure(t *testing.T) {
	// slack is how many requests more than the allowed share the bad version may get.
	const seeds, slack = 500, 50
	from := func(start, rate float64) func(float64) float64 {
		return func(fraction float64) float64 {
			if fraction < start {
				return 0.01
			}
			return rate
		}
	}
	for name, bad := range map[string]func(float64) float64{
		"half fail":              constant(0.5),
		"all fail":               constant(1),
		"3 in 10 fail":           constant(0.3),
		"half fail from halfway": from(0.5, 0.5),
		"half fail near the end": from(0.9, 0.5),
		"half fail at full load": from(0.925, 0.5),
	} {
		missed, maxRequests, maxBad := 0, 0, 0
		for seed := range uint64(seeds) {
			got := newSimulation(seed, constant(0.01), bad).run()
			if got.verdict != StateRolledBack {
				missed++
			}
			maxRequests, maxBad = max(maxRequests, got.target), max(maxBad, got.bad)
			if allowed := int(exposure*float64(got.all)) + slack; got.target > allowed {
				t.Errorf("%s, seed %d: got %d requests at the bad version, want %d at most", name, seed, got.target, allowed)
			}
		}
		t.Logf("%s: %d of %d missed, at most %d requests and %d bad responses", name, missed, seeds, maxRequests, maxBad)
		if missed > 0 {
			t.Errorf("%s: got %d of %d bad versions completed, want none", name, missed, seeds)
		}
	}
}

// TestFinalStatesStay guards against a final state that changes after further counts or after the
// deadline. Only another final state in the store replaces it.
func TestFinalStatesStay(t *testing.T) {
	now := time.Unix(0, 0)
	r := New(&Order{
		Pool:     "p",
		Version:  "v2",
		Duration: time.Second,
	}, exposure, now, 0)
	if state, ok := r.PendingState(); state != StateRunning || !ok {
		t.Errorf("at the order: got %s to write, %v; want running", state, ok)
	}
	if got := r.Observe(now, Counts{}, Counts{Bad: 50}); got != StateRolledBack || r.Share(now) != 0 {
		t.Errorf("bad version: got %s with a share of %v", got, r.Share(now))
	}
	if got := r.Observe(now.Add(2*time.Second), Counts{}, Counts{Bad: 50}); got != StateRolledBack {
		t.Errorf("after the deadline: got %s, want it unchanged", got)
	}
	r.Order.State = StateCompleted
	if got := r.Observe(now, Counts{}, Counts{Bad: 50}); got != StateCompleted || r.Share(now) != 1 {
		t.Errorf("completed by another router: got %s with a share of %v", got, r.Share(now))
	}
	if state, ok := r.PendingState(); ok {
		t.Errorf("got %s to write over a final state", state)
	}
}
