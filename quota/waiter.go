package quota

// waiting is the value of a request in the queue.
type waiting struct {
	record *record
	// value is that of the caller of enqueue.
	value any
}

// waiter is a request that waits in Acquire.
type waiter struct {
	// decided receives the decision; it has room for it.
	decided chan decision
}
