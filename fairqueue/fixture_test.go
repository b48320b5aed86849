package fairqueue

import (
	"time"

	"github.com/slipwick/slipwick"
)

// epoch is when the requests of the tests begin to arrive.
var epoch = time.Unix(1_700_000_000, 0)

// newItem returns an item that arrives at the epoch and is not limited in time.
func newItem(workspace string, priority int, work time.Duration) *Item {
	return &Item{
		Request: &slipwick.PermitRequest{
			Pool:      "pool",
			Workspace: workspace,
			Priority:  priority,
			Work:      work,
			Arrived:   epoch,
		},
	}
}

// copy returns an item for an equal request.
func (i *Item) copy() *Item {
	request := *i.Request
	return &Item{
		Request: &request,
	}
}

// popAll returns the items in the order in which the queue serves them.
func popAll(q *Queue, now time.Time) []*Item {
	var items []*Item
	for item := q.Pop(now, nil); item != nil; item = q.Pop(now, nil) {
		items = append(items, item)
	}
	return items
}
