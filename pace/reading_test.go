package pace

import (
	"math/rand/v2"
	"testing"
	"time"
)

// engine is one that reads at a pace, after a base.
type engine struct {
	base time.Duration
	pace float64
}

// answer is when the engine begins to answer, behind other work by chance.
func (e engine) answer(tokens int, random *rand.Rand) time.Duration {
	took := e.base + time.Duration(float64(tokens)/e.pace*float64(time.Millisecond))
	if random.Float64() < 0.4 {
		took += time.Duration(random.ExpFloat64() * float64(30*time.Millisecond))
	}
	return took
}

// size draws what there is to read: mostly the end of a chat, seldom all of it.
func size(random *rand.Rand) int {
	if random.Float64() < 0.1 {
		return 2000 + random.IntN(20000)
	}
	return 50 + random.IntN(400)
}

func expectReading(t *testing.T, when string, r *Reading, want engine) {
	t.Helper()
	if got := r.Pace(); got < want.pace*0.7 || got > want.pace*1.4 {
		t.Errorf("%s: got a pace of %.1f tokens a ms, want about %.1f", when, got, want.pace)
	}
	if got := r.Base(); got < want.base*8/10 || got > want.base*16/10 {
		t.Errorf("%s: got a base of %v, want about %v", when, got, want.base)
	}
}

func TestReadingIsLearnt(t *testing.T) {
	for _, e := range []engine{
		{
			base: 55 * time.Millisecond,
			pace: 112,
		},
		{
			base: 500 * time.Millisecond,
			pace: 11,
		},
		{
			base: 15 * time.Millisecond,
			pace: 450,
		},
	} {
		random := rand.New(rand.NewPCG(1, 2))
		r := NewReading()
		for range 400 {
			n := size(random)
			r.Seen(n, e.answer(n, random))
		}
		expectReading(t, "after 400 requests", r, e)
	}
}

// TestReadingFollowsAChange has all engines become slower, and fast again.
func TestReadingFollowsAChange(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	fast := engine{
		base: 55 * time.Millisecond,
		pace: 112,
	}
	slow := engine{
		base: 200 * time.Millisecond,
		pace: 25,
	}
	r := NewReading()
	for _, e := range []engine{fast, slow, fast} {
		for range 600 {
			n := size(random)
			r.Seen(n, e.answer(n, random))
		}
		expectReading(t, "after a change", r, e)
	}
}

// TestOneSlowEngineDoesNotSpoilThePool has one of eight engines be ten times
// slower.
func TestOneSlowEngineDoesNotSpoilThePool(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	usual := engine{
		base: 55 * time.Millisecond,
		pace: 112,
	}
	slow := engine{
		base: 550 * time.Millisecond,
		pace: 11,
	}
	r := NewReading()
	for i := range 800 {
		n, e := size(random), usual
		if i%8 == 0 {
			e = slow
		}
		r.Seen(n, e.answer(n, random))
	}
	expectReading(t, "with one slow engine", r, usual)
}

func TestReadingHasAStartAFloorAndACeiling(t *testing.T) {
	r := NewReading()
	if r.Pace() != StartPace || r.Base() != StartBase {
		t.Errorf("got %v and %v at the start, want %v and %v", r.Pace(), r.Base(), StartPace, StartBase)
	}
	for range 400 {
		r.Seen(10, time.Hour)
		r.Seen(10000, 100*time.Hour)
	}
	if r.Pace() != leastPace || r.Base() != mostBase {
		t.Errorf("got %v and %v for engines that crawl, want %v and %v", r.Pace(), r.Base(), leastPace, mostBase)
	}
	for range 400 {
		r.Seen(10, time.Nanosecond)
		r.Seen(100000, 2*time.Nanosecond)
	}
	if r.Pace() != mostPace || r.Base() != leastBase {
		t.Errorf("got %v and %v for engines that fly, want %v and %v", r.Pace(), r.Base(), mostPace, leastBase)
	}
}
