package membership

import (
	"cmp"
	"math"
	"slices"

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
}

// rumourFactor is how many times the logarithm each rumour is sent.
const rumourFactor = 3

func (r *rumours) add(news *memberpb.News) {
	if r.byID == nil {
		r.byID = make(map[string]*rumour)
	}
	r.byID[news.GetId()] = &rumour{
		news: news,
	}
}

// take gives up to count rumours, the least often sent first.
func (r *rumours) take(count, members int) []*memberpb.News {
	if len(r.byID) == 0 {
		return nil
	}
	waiting := make([]*rumour, 0, len(r.byID))
	for _, rumour := range r.byID {
		waiting = append(waiting, rumour)
	}
	slices.SortFunc(waiting, func(a, b *rumour) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.news.GetId(), b.news.GetId()))
	})
	limit := rumourFactor * int(math.Ceil(math.Log2(float64(members+2))))
	var taken []*memberpb.News
	for _, rumour := range waiting[:min(count, len(waiting))] {
		taken = append(taken, rumour.news)
		if rumour.sent++; rumour.sent >= limit {
			delete(r.byID, rumour.news.GetId())
		}
	}
	return taken
}
