package dispatch

import "sync"

// Defaults of a Budget.
const (
	// retryShare is the share of requests that may be retried.
	retryShare = 0.1
	// retryBurst is how many retries may happen at once.
	retryBurst = 10
)

// Budget bounds retries to a share of the requests, so that a failing pool
// does not get more load than a healthy one. The zero value is ready.
type Budget struct {
	mu    sync.Mutex
	spent float64
}

// Request counts a first attempt, which earns a part of a retry.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-retryShare)
}

// Retry takes one retry; false says that the budget is spent.
func (b *Budget) Retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > retryBurst {
		return false
	}
	b.spent++
	return true
}
