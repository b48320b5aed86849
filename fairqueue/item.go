package fairqueue

import (
	"time"

	"github.com/slipwick/slipwick"
)

// Item is a request in a queue. Request must not change while the item is in a queue.
type Item struct {
	Request *slipwick.PermitRequest
	// Value is for the user of the queue.
	Value any

	// level is nil while the item is in no queue.
	level    *level
	account  *account
	class    class
	sequence uint64
	// expiry is after when Expire returns the item: its latest start, or its objective if it will
	// probably not be served by then; zero without a deadline.
	expiry time.Time
	// positions holds the item's index in each heap of the queue.
	positions [heaps]int
}

// minWork is the least work that a request counts as, so that requests without an estimate share the
// pool by number.
const minWork = time.Millisecond

// workOf returns the work of a request in seconds.
func workOf(request *slipwick.PermitRequest) float64 {
	return max(request.Work, minWork).Seconds()
}

// weightOf returns the weight of a request's workspace.
func weightOf(request *slipwick.PermitRequest) float64 {
	return float64(max(request.Weight, 1))
}

// latestStart returns when the request has to be served to be done by its deadline; zero if it has
// no deadline.
func latestStart(request *slipwick.PermitRequest) time.Time {
	if request.Deadline.IsZero() {
		return time.Time{}
	}
	return request.Deadline.Add(-request.Work)
}

// isExpired reports whether the request can't be served by its deadline any more.
func (i *Item) isExpired(now time.Time) bool {
	latest := latestStart(i.Request)
	return !latest.IsZero() && now.After(latest)
}
