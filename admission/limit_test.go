package admission

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/placement"
)

// newPool returns a pool of usable backend servers with the given weights and load factor, and with
// so many slots that these never limit the load.
func newPool(count int, factor float64, weight func(int) uint32) *placement.Pool {
	pool := placement.Pool{
		Name:          "p",
		MaxLoadFactor: factor,
	}
	for i := range count {
		pool.Backends = append(pool.Backends, slipwick.Backend{
			ID:     fmt.Sprint(i),
			Weight: weight(i),
			Slots:  1 << 20,
		})
		pool.Usable = append(pool.Usable, i)
	}
	return placement.NewView([]placement.Pool{pool}, nil).Pools["p"]
}

// TestLimitHoldsAndLeavesRoom fills a pool one request at a time, each at the drawn backend server
// or else the next one below its limit. At each step some backend server must be below its limit,
// so that requests cannot get stuck, and the load must not exceed the exact limit by more than one
// request.
func TestLimitHoldsAndLeavesRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 30).Draw(t, "engines")
		factor := rapid.Float64Range(1, 3).Draw(t, "factor")
		weights := rapid.SliceOfN(rapid.Uint32Range(1, 4), count, count).Draw(t, "weights")
		pool := newPool(count, factor, func(i int) uint32 { return weights[i] })
		loads := make([]int, count)
		for total := range rapid.IntRange(1, 300).Draw(t, "requests") {
			at := rapid.IntRange(0, count-1).Draw(t, "engine")
			for i := range count {
				next := (at + i) % count
				slotLimit := limit(pool, pool.Backends[next], float64(total), 0)
				if loads[next] < slotLimit {
					loads[next]++
					break
				}
				if i == count-1 {
					t.Fatalf("no engine is below its limit with %d in flight: %v", total, loads)
				}
			}
			for i, load := range loads {
				share := float64(weights[i]) / pool.Weight()
				if got, most := float64(load), factor*share*float64(total+1)+1; got > most && i == at {
					t.Fatalf("engine %d: got load %v, want at most %v", i, got, most)
				}
			}
		}
	})
}
