package pace

import (
	"math/rand/v2"
	"testing"
	"time"
)

// engine simulates an engine that prefills at a constant rate, after a base time.
type engine struct {
	base                 time.Duration
	tokensPerMillisecond float64
}

// firstTokenTime returns the time to the first token, at random with a wait behind other requests.
func (e engine) firstTokenTime(tokens int, random *rand.Rand) time.Duration {
	took := e.base + time.Duration(float64(tokens)/e.tokensPerMillisecond*float64(time.Millisecond))
	if random.Float64() < 0.4 {
		took += time.Duration(random.ExpFloat64() * float64(30*time.Millisecond))
	}
	return took
}

// randomTokens returns a number of tokens to prefill: mostly the end of a chat, seldom a whole one.
func randomTokens(random *rand.Rand) int {
	if random.Float64() < 0.1 {
		return 2000 + random.IntN(20000)
	}
	return 50 + random.IntN(400)
}

func checkEstimates(t *testing.T, when string, estimator *PrefillEstimator, want engine) {
	t.Helper()
	if got := estimator.TokensPerMillisecond(); got < want.tokensPerMillisecond*0.7 ||
		got > want.tokensPerMillisecond*1.4 {
		t.Errorf("%s: got %.1f tokens per ms, want about %.1f", when, got, want.tokensPerMillisecond)
	}
	if got := estimator.BaseTime(); got < want.base*8/10 || got > want.base*16/10 {
		t.Errorf("%s: got a base time of %v, want about %v", when, got, want.base)
	}
}

func TestPrefillEstimatesMatchEngines(t *testing.T) {
	for _, e := range []engine{
		{
			base:                 55 * time.Millisecond,
			tokensPerMillisecond: 112,
		},
		{
			base:                 500 * time.Millisecond,
			tokensPerMillisecond: 11,
		},
		{
			base:                 15 * time.Millisecond,
			tokensPerMillisecond: 450,
		},
	} {
		random := rand.New(rand.NewPCG(1, 2))
		estimator := NewPrefillEstimator()
		for range 400 {
			n := randomTokens(random)
			estimator.Record(n, e.firstTokenTime(n, random))
		}
		checkEstimates(t, "after 400 requests", estimator, e)
	}
}

// TestPrefillEstimatesFollowAChange guards against estimates that stay behind when all engines of a
// pool become slower, and fast again.
func TestPrefillEstimatesFollowAChange(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	fast := engine{
		base:                 55 * time.Millisecond,
		tokensPerMillisecond: 112,
	}
	slow := engine{
		base:                 200 * time.Millisecond,
		tokensPerMillisecond: 25,
	}
	estimator := NewPrefillEstimator()
	for _, e := range []engine{fast, slow, fast} {
		for range 600 {
			n := randomTokens(random)
			estimator.Record(n, e.firstTokenTime(n, random))
		}
		checkEstimates(t, "after a change", estimator, e)
	}
}

// TestOneSlowEngineDoesNotSkewPrefillEstimates guards against estimates that follow one engine of
// eight that is ten times slower.
func TestOneSlowEngineDoesNotSkewPrefillEstimates(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	usual := engine{
		base:                 55 * time.Millisecond,
		tokensPerMillisecond: 112,
	}
	slow := engine{
		base:                 550 * time.Millisecond,
		tokensPerMillisecond: 11,
	}
	estimator := NewPrefillEstimator()
	for i := range 800 {
		n, e := randomTokens(random), usual
		if i%8 == 0 {
			e = slow
		}
		estimator.Record(n, e.firstTokenTime(n, random))
	}
	checkEstimates(t, "with one slow engine", estimator, usual)
}

func TestPrefillEstimatesHaveInitialValuesAndBounds(t *testing.T) {
	estimator := NewPrefillEstimator()
	if estimator.TokensPerMillisecond() != InitialTokensPerMillisecond || estimator.BaseTime() != InitialBaseTime {
		t.Errorf("got %v and %v initially, want %v and %v", estimator.TokensPerMillisecond(), estimator.BaseTime(),
			InitialTokensPerMillisecond, InitialBaseTime)
	}
	for range 400 {
		estimator.Record(10, time.Hour)
		estimator.Record(10000, 100*time.Hour)
	}
	if estimator.TokensPerMillisecond() != minTokensPerMillisecond || estimator.BaseTime() != maxBaseTime {
		t.Errorf("got %v and %v for engines below the bounds, want %v and %v",
			estimator.TokensPerMillisecond(), estimator.BaseTime(), minTokensPerMillisecond, maxBaseTime)
	}
	for range 400 {
		estimator.Record(10, time.Nanosecond)
		estimator.Record(100000, 2*time.Nanosecond)
	}
	if estimator.TokensPerMillisecond() != maxTokensPerMillisecond || estimator.BaseTime() != minBaseTime {
		t.Errorf("got %v and %v for engines above the bounds, want %v and %v",
			estimator.TokensPerMillisecond(), estimator.BaseTime(), maxTokensPerMillisecond, minBaseTime)
	}
}
