package dispatch

import "sync"

// Budgets holds a Budget for each pool. The zero value is ready to use. It is safe for concurrent
// use.
type Budgets struct {
	pools sync.Map
}

// ForPool returns the budget of the pool and creates it on first use.
func (b *Budgets) ForPool(pool string) *Budget {
	budget, _ := b.pools.LoadOrStore(pool, &Budget{})
	return budget.(*Budget)
}
