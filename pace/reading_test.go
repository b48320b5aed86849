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

func checkEstimates(t *testing.T, when string, r *Reading, want engine) {
	t.Helper()
	if got := r.Pace(); got < want.tokensPerMillisecond*0.7 || got > want.tokensPerMillisecond*1.4 {
		t.Errorf("%s: got %.1f tokens per ms, want about %.1f", when, got, want.tokensPerMillisecond)
	}
	if got := r.Base(); got < want.base*8/10 || got > want.base*16/10 {
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
		r := NewReading()
		for range 400 {
			n := randomTokens(random)
			r.Seen(n, e.firstTokenTime(n, random))
		}
		checkEstimates(t, "after 400 requests", r, e)
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
	r := NewReading()
	for _, e := range []engine{fast, slow, fast} {
		for range 600 {
			n := randomTokens(random)
			r.Seen(n, e.firstTokenTime(n, random))
		}
		checkEstimates(t, "after a change", r, e)
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
	r := NewReading()
	for i := range 800 {
		n, e := randomTokens(random), usual
		if i%8 == 0 {
			e = slow
		}
		r.Seen(n, e.firstTokenTime(n, random))
	}
	checkEstimates(t, "with one slow engine", r, usual)
}

func TestPrefillEstimatesHaveInitialValuesAndBounds(t *testing.T) {
	r := NewReading()
	if r.Pace() != StartPace || r.Base() != StartBase {
		t.Errorf("got %v and %v at the start, want %v and %v", r.Pace(), r.Base(),
			StartPace, StartBase)
	}
	for range 400 {
		r.Seen(10, time.Hour)
		r.Seen(10000, 100*time.Hour)
	}
	if r.Pace() != minTokensPerMillisecond || r.Base() != maxBaseTime {
		t.Errorf("got %v and %v for engines below the bounds, want %v and %v", r.Pace(), r.Base(),
			minTokensPerMillisecond, maxBaseTime)
	}
	for range 400 {
		r.Seen(10, time.Nanosecond)
		r.Seen(100000, 2*time.Nanosecond)
	}
	if r.Pace() != maxTokensPerMillisecond || r.Base() != minBaseTime {
		t.Errorf("got %v and %v for engines above the bounds, want %v and %v", r.Pace(), r.Base(),
			maxTokensPerMillisecond, minBaseTime)
	}
}
