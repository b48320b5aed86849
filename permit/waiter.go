package permit

import "time"

// waiter is the Value of a queued item: whose request it is.
type waiter struct {
	asker *asker
	id    uint64
	pool  *pool
	// deadline is that of the request, with which its lease ends.
	deadline time.Time
	// objective is until when the request has to be granted to meet its objective; zero without one.
	objective time.Time
	// expected is the wait that was expected when the request was queued at queued, class its class then.
	expected time.Duration
	queued   time.Time
	class    waitClass
	// promoted says that the request used up its patience as a late one.
	promoted bool
}
