package dispatch

import "sync"

// Budgets holds a Budget for each pool. The zero value is ready.
type Budgets struct {
	pools sync.Map
}

// Of gives the pool's budget.
func (b *Budgets) Of(pool string) *Budget {
	budget, _ := b.pools.LoadOrStore(pool, &Budget{})
	return budget.(*Budget)
}
