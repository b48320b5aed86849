package dispatch

import "sync"

// PoolBudgets holds a Budget for each pool. The zero value is ready to use. It is safe for
// concurrent use.
type PoolBudgets struct {
	pools sync.Map
}

// ForPool returns the budget of the pool and creates it on first use.
func (b *PoolBudgets) ForPool(pool string) *Budget {
	budget, _ := b.pools.LoadOrStore(pool, &Budget{})
	return budget.(*Budget)
}
