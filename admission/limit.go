package admission

import (
	"math"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/placement"
)

// limit returns the number of requests that the backend server may have in flight after the next
// grant, given the total in flight in the pool before it. The backend server's even share is its
// part, by weight, of total+1. The limit is the even share times the pool's load factor, rounded to
// the nearest integer, but at least the even share rounded up: otherwise all backend servers of a
// pool with few requests could be at their limit. Rounding therefore exceeds the exact multiple by
// at most one request. The limit never exceeds the backend server's slots. The margin is the
// fraction by which the load factor is lowered, as the total is an estimate that may be too high.
func limit(pool *placement.Pool, backend slipwick.Backend, total, margin float64) int {
	share := float64(backend.EffectiveWeight()) / pool.Weight()
	even := (total + 1) * share
	rounded := max(math.Ceil(even), math.Round(pool.MaxLoadFactor*(1-margin)*even))
	return min(int(rounded), backend.EffectiveSlots())
}
