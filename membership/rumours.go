package membership

import (
	"container/heap"
	"math"

	"github.com/slipwick/slipwick/membership/memberpb"
)

// rumour is news that is still to be passed on.
type rumour struct {
	news *memberpb.News
	sent int
}

// rumours holds news until each was passed on often enough to have reached
// everyone: a few times the logarithm of the fleet's size.
type rumours struct {
	byID map[string]*rumour
	// bySent are the rumours by how often they were sent, with some that were replaced
	// since. A fleet that starts has as many as routers, which wait for minutes: to take a
	// packet's news costs by these and the logarithm of all.
	bySent []rumourHeap
}

// rumourHeap gives rumours by the ID of their box: all routers pass on the same ones first, so
// that these reach everyone soon.
type rumourHeap []*rumour

// Len, Less, Swap, Push and Pop make it a heap.
func (h rumourHeap) Len() int { return len(h) }

func (h rumourHeap) Less(i, j int) bool { return h[i].news.GetId() < h[j].news.GetId() }

func (h rumourHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *rumourHeap) Push(x any) { *h = append(*h, x.(*rumour)) }

func (h *rumourHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return popped
}

// rumourFactor is how many times the logarithm each rumour is sent.
const rumourFactor = 3

func (r *rumours) add(news *memberpb.News) {
	if r.byID == nil {
		r.byID = make(map[string]*rumour)
	}
	added := &rumour{
		news: news,
	}
	r.byID[news.GetId()] = added
	r.queue(added)
}

// queue has a rumour wait among those that were sent as often.
func (r *rumours) queue(waiting *rumour) {
	for len(r.bySent) <= waiting.sent {
		r.bySent = append(r.bySent, nil)
	}
	heap.Push(&r.bySent[waiting.sent], waiting)
}

// take gives up to count rumours, the least often sent first.
func (r *rumours) take(count, members int) []*memberpb.News {
	limit := rumourFactor * int(math.Ceil(math.Log2(float64(members+2))))
	taken := make([]*rumour, 0, min(count, len(r.byID)))
	for sent := range r.bySent {
		waiting := &r.bySent[sent]
		for waiting.Len() > 0 && len(taken) < count {
			if next := heap.Pop(waiting).(*rumour); r.byID[next.news.GetId()] == next {
				taken = append(taken, next)
			}
		}
	}
	news := make([]*memberpb.News, 0, len(taken))
	for _, next := range taken {
		news = append(news, next.news)
		if next.sent++; next.sent >= limit {
			delete(r.byID, next.news.GetId())
			continue
		}
		r.queue(next)
	}
	return news
}
