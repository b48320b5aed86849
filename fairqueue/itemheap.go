package fairqueue

import "time"

// The heaps of a queue: by the objective, and by the latest start.
const (
	heapObjective = iota
	heapExpiry
	heaps
)

// itemHeap is a heap of items by a time, for container/heap. Items whose time is zero must not be
// added.
type itemHeap struct {
	items []*Item
	// which is the heap's index in Item.positions.
	which int
	key   func(*Item) time.Time
}

func (h *itemHeap) Len() int           { return len(h.items) }
func (h *itemHeap) Less(a, b int) bool { return h.key(h.items[a]).Before(h.key(h.items[b])) }

func (h *itemHeap) Swap(a, b int) {
	h.items[a], h.items[b] = h.items[b], h.items[a]
	h.items[a].positions[h.which] = a
	h.items[b].positions[h.which] = b
}

// Push implements heap.Interface.
func (h *itemHeap) Push(x any) {
	item := x.(*Item)
	item.positions[h.which] = len(h.items)
	h.items = append(h.items, item)
}

// Pop implements heap.Interface.
func (h *itemHeap) Pop() any {
	last := len(h.items) - 1
	item := h.items[last]
	h.items[last] = nil
	h.items = h.items[:last]
	item.positions[h.which] = notInHeap
	return item
}

// notInHeap is the position of an item that is not in a heap.
const notInHeap = -1
