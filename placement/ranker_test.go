package placement

import (
	"fmt"
	"math"
	"testing"

	"github.com/slipwick/slipwick"
)

func newBackends(n int, weight func(int) uint32) []slipwick.Backend {
	backends := make([]slipwick.Backend, n)
	for i := range backends {
		backends[i] = slipwick.Backend{
			ID:     fmt.Sprintf("engine-%03d", i),
			Weight: weight(i),
		}
	}
	return backends
}

func unitWeight(int) uint32 { return 1 }

// TestRankSpread checks with a chi-squared test that first and second choices spread evenly over
// the backend servers. With 92 degrees of freedom the statistic exceeds 150 in about one run in ten
// thousand.
func TestRankSpread(t *testing.T) {
	const count, chats, bound = 93, 93_000, 150.0
	ranker := NewRanker(newBackends(count, unitWeight))
	var firsts, seconds [count]int
	var ranked []int
	for i := range chats {
		ranked = ranker.Rank(ranked[:0], ChatKey("workspace", fmt.Sprintf("chat-%d", i)))
		firsts[ranked[0]]++
		seconds[ranked[1]]++
	}
	for name, counts := range map[string][count]int{"first": firsts, "second": seconds} {
		chi := 0.0
		for _, c := range counts {
			chi += math.Pow(float64(c)-chats/count, 2) / (chats / count)
		}
		if chi > bound {
			t.Errorf("%s choice: got chi-squared %.1f, want at most %.1f", name, chi, bound)
		}
	}
}

func TestRankFollowsWeights(t *testing.T) {
	const chats = 40_000
	ranker := NewRanker(newBackends(4, func(i int) uint32 { return uint32(i + 1) }))
	var firsts [4]int
	var ranked []int
	for i := range chats {
		ranked = ranker.Rank(ranked[:0], ChatKey("w", fmt.Sprint(i)))
		firsts[ranked[0]]++
	}
	for i, got := range firsts {
		want := float64(chats) * float64(i+1) / 10
		if math.Abs(float64(got)-want) > want*0.05 {
			t.Errorf("weight %d: got %d first choices, want %.0f within 5%%", i+1, got, want)
		}
	}
}

// TestRankMovesOnlyChatsOfRemovedBackend checks that removing a backend server moves only the chats
// that it was the first choice of, each to its second choice.
func TestRankMovesOnlyChatsOfRemovedBackend(t *testing.T) {
	all := newBackends(20, unitWeight)
	before, after := NewRanker(all), NewRanker(all[:19])
	for i := range 5_000 {
		key := ChatKey("w", fmt.Sprint(i))
		old := before.Rank(nil, key)
		want := old[0]
		if want == 19 {
			want = old[1]
		}
		if got := after.Rank(nil, key)[0]; got != want {
			t.Fatalf("chat %d: got engine %d, want %d", i, got, want)
		}
	}
}

func TestRankDoesNotAllocate(t *testing.T) {
	ranker := NewRanker(newBackends(93, unitWeight))
	dst := make([]int, 0, 93)
	got := testing.AllocsPerRun(100, func() { dst = ranker.Rank(dst[:0], 42) })
	if got != 0 {
		t.Errorf("got %v allocations, want 0", got)
	}
}

func BenchmarkRank(b *testing.B) {
	ranker := NewRanker(newBackends(93, unitWeight))
	dst := make([]int, 0, 93)
	b.ReportAllocs()
	key := uint64(0)
	for b.Loop() {
		key++
		dst = ranker.Rank(dst[:0], key)
	}
}

// TestLargePoolIsRankedCompletely guards against backend servers that never get a request, because the pool has
// more than fit the buffer of the scores.
func TestLargePoolIsRankedCompletely(t *testing.T) {
	const count = 2*bufferedBackends + 1
	ranked := NewRanker(newBackends(count, unitWeight)).Rank(nil, 7)
	seen := make(map[int]bool)
	for _, index := range ranked {
		seen[index] = true
	}
	if len(ranked) != count || len(seen) != count {
		t.Errorf("got %d ranked, %d different ones, want all %d", len(ranked), len(seen), count)
	}
}
