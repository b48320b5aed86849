package membership

import (
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
	// bySent are the rumours by how often they were sent, the first come first, with
	// some that were replaced since. A fleet that starts has as many as routers, which
	// wait for minutes: to take a packet's news costs by these and not by all.
	bySent [][]*rumour
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

// queue has a rumour wait behind those that were sent as often.
func (r *rumours) queue(waiting *rumour) {
	for len(r.bySent) <= waiting.sent {
		r.bySent = append(r.bySent, nil)
	}
	r.bySent[waiting.sent] = append(r.bySent[waiting.sent], waiting)
}

// take gives up to count rumours, the least often sent first.
func (r *rumours) take(count, members int) []*memberpb.News {
	limit := rumourFactor * int(math.Ceil(math.Log2(float64(members+2))))
	taken := make([]*rumour, 0, min(count, len(r.byID)))
	for sent := range r.bySent {
		waiting := r.bySent[sent]
		for len(waiting) > 0 && len(taken) < count {
			if next := waiting[0]; r.byID[next.news.GetId()] == next {
				taken = append(taken, next)
			}
			waiting = waiting[1:]
		}
		r.bySent[sent] = waiting
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
