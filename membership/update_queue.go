package membership

import (
	"container/heap"
	"math"

	"github.com/slipwick/slipwick/membership/memberpb"
)

// queuedUpdate is an update that is still to be sent.
type queuedUpdate struct {
	update *memberpb.News
	sent   int
}

// updateQueue holds each update until it was sent often enough to have reached all routers: a few
// times the logarithm of the fleet's size.
type updateQueue struct {
	byID map[string]*queuedUpdate
	// bySent holds the updates by how often they were sent, including some that were replaced
	// since. When a fleet starts there is one for each router, and they stay queued for minutes:
	// filling a packet costs the number of its updates times the logarithm of the queue.
	bySent []updateHeap
}

// updateHeap orders updates by the ID of their box: all routers send the same ones first, so that
// these reach all routers soon.
type updateHeap []*queuedUpdate

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (h updateHeap) Len() int { return len(h) }

func (h updateHeap) Less(i, j int) bool { return h[i].update.GetId() < h[j].update.GetId() }

func (h updateHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *updateHeap) Push(x any) { *h = append(*h, x.(*queuedUpdate)) }

func (h *updateHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return popped
}

// sendFactor times the logarithm of the fleet's size is how often each update is sent.
const sendFactor = 3

// add queues an update in place of an earlier one of the same box.
func (q *updateQueue) add(update *memberpb.News) {
	if q.byID == nil {
		q.byID = make(map[string]*queuedUpdate)
	}
	added := &queuedUpdate{
		update: update,
	}
	q.byID[update.GetId()] = added
	q.push(added)
}

// push queues an update with those that were sent as often.
func (q *updateQueue) push(queued *queuedUpdate) {
	for len(q.bySent) <= queued.sent {
		q.bySent = append(q.bySent, nil)
	}
	heap.Push(&q.bySent[queued.sent], queued)
}

// take returns up to count updates, the least often sent first, and counts them as sent.
func (q *updateQueue) take(count, members int) []*memberpb.News {
	limit := sendFactor * int(math.Ceil(math.Log2(float64(members+2))))
	taken := make([]*queuedUpdate, 0, min(count, len(q.byID)))
	for sent := range q.bySent {
		waiting := &q.bySent[sent]
		for waiting.Len() > 0 && len(taken) < count {
			if next := heap.Pop(waiting).(*queuedUpdate); q.byID[next.update.GetId()] == next {
				taken = append(taken, next)
			}
		}
	}
	updates := make([]*memberpb.News, 0, len(taken))
	for _, next := range taken {
		updates = append(updates, next.update)
		if next.sent++; next.sent >= limit {
			delete(q.byID, next.update.GetId())
			continue
		}
		q.push(next)
	}
	return updates
}
