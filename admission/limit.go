package admission

import (
	"math"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/placement"
)

// limit is the most requests that the backend server may have in flight after
// the next grant, when the pool has total in flight before it: its share by
// weight of total+1, times the pool's factor, rounded up, and never above its
// slots. At most one request's rounding lies above the exact multiple.
func limit(pool *placement.Pool, backend slipwick.Backend, total float64) int {
	share := float64(backend.EffectiveWeight()) / pool.Weight()
	bound := int(math.Ceil(pool.MaxLoadFactor * (total + 1) * share))
	return min(bound, backend.EffectiveSlots())
}
