package fairqueue

import (
	"cmp"
	"slices"
	"time"

	"github.com/slipwick/slipwick"
)

// itemList is a sorted list of items. A sorted slice allows iteration in order past items that are
// not eligible; insertion moves a few kilobytes at most.
type itemList struct {
	items []*Item
	// work is the sum of the items' work in seconds.
	work    float64
	compare func(a, b *Item) int
}

// byDeadline orders items by deadline, those without one last, then in the order of arrival.
func byDeadline(a, b *Item) int {
	if order := compareDeadlines(a.Request, b.Request); order != 0 {
		return order
	}
	return cmp.Compare(a.sequence, b.sequence)
}

func compareDeadlines(a, b *slipwick.PermitRequest) int {
	return compareLimits(a.Deadline, b.Deadline)
}

// compareLimits orders times; zero stands for no limit and comes last.
func compareLimits(a, b time.Time) int {
	switch {
	case a.IsZero() && b.IsZero():
		return 0
	case a.IsZero():
		return 1
	case b.IsZero():
		return -1
	default:
		return a.Compare(b)
	}
}

// byArrival orders items by the time of arrival, oldest first.
func byArrival(a, b *Item) int {
	if order := a.Request.Arrived.Compare(b.Request.Arrived); order != 0 {
		return order
	}
	return cmp.Compare(a.sequence, b.sequence)
}

func (l *itemList) insert(item *Item) {
	index, _ := slices.BinarySearchFunc(l.items, item, l.compare)
	l.items = slices.Insert(l.items, index, item)
	l.work += workOf(item.Request)
}

func (l *itemList) remove(item *Item) {
	index, found := slices.BinarySearchFunc(l.items, item, l.compare)
	if !found {
		return
	}
	l.items = slices.Delete(l.items, index, index+1)
	l.work -= workOf(item.Request)
	if len(l.items) == 0 {
		l.work = 0
	}
}

// first returns the first item that the check accepts, or nil.
func (l *itemList) first(accept func(*Item) bool) *Item {
	for _, item := range l.items {
		if accept(item) {
			return item
		}
	}
	return nil
}

// workUntil returns the work of the items with a deadline no later than that of the request.
func (l *itemList) workUntil(request *slipwick.PermitRequest) float64 {
	work := 0.0
	for _, item := range l.items {
		if compareDeadlines(item.Request, request) > 0 {
			break
		}
		work += workOf(item.Request)
	}
	return work
}

// workBefore returns the work of the items of a workspace that are served before its due amount of
// work is exceeded.
func (l *itemList) workBefore(due float64) float64 {
	return workBefore(due, l.work, len(l.items))
}

// workBefore returns what is served of the work of some items before a due amount is exceeded: the last
// one exceeds it by half of an item on average.
func workBefore(due, work float64, items int) float64 {
	if due < 0 || items == 0 {
		return 0
	}
	return min(due+work/float64(items)/2, work)
}
