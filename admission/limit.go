package admission

import (
	"math"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/placement"
)

// limit is the most requests that the backend server may have in flight after
// the next grant, when the pool has total in flight before it. With its share
// by weight of total+1, it is the share times the pool's factor rounded,
// but at least the share rounded up, as otherwise a pool with few requests
// could be stuck with none below its limit; and never above its slots. So at
// most one request's rounding lies above the exact multiple. The margin lowers
// the multiple, as the total is an estimate that may be too high.
func limit(pool *placement.Pool, backend slipwick.Backend, total, margin float64) int {
	share := float64(backend.EffectiveWeight()) / pool.Weight()
	even := (total + 1) * share
	bound := max(math.Ceil(even), math.Round(pool.MaxLoadFactor*(1-margin)*even))
	return min(int(bound), backend.EffectiveSlots())
}
