package dispatch

import "sync"

// Parameters of a Budget.
const (
	// retryRatio is the number of retries that each request adds to the budget.
	retryRatio = 0.1
	// retryBurst is the capacity of the budget: the maximum number of retries in a row while no new
	// requests arrive.
	retryBurst = 10
)

// Budget limits the retries of one router to a fraction of its requests, so that a failing pool does
// not get more load than a healthy one; a retry.Budget limits those of a whole fleet. The zero value
// is a full budget. It is safe for concurrent use.
type Budget struct {
	mu sync.Mutex
	// spent is the number of retries taken from the budget and not yet earned back.
	spent float64
}

// CountRequest records the first attempt of a request, which adds retryRatio retries to the budget.
func (b *Budget) CountRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-retryRatio)
}

// Take takes one retry from the budget. It returns false if the budget is exhausted.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > retryBurst {
		return false
	}
	b.spent++
	return true
}
