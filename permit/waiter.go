package permit

import "time"

// waiter is the Value of a queued item: whose request it is.
type waiter struct {
	asker *asker
	id    uint64
	pool  *pool
	// deadline is that of the request, with which its lease ends.
	deadline time.Time
	// expected is the wait that was expected when the request was queued at queued.
	expected time.Duration
	queued   time.Time
}
