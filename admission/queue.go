package admission

import "slices"

// queue holds requests for one engine: higher priority first, and within one
// by weighted fair share between workspaces (start-time fair queueing). A
// workspace that surges waits for itself.
type queue struct {
	held []*waiting
	// virtual is the tag of the request served last.
	virtual float64
	// last is each workspace's highest tag.
	last map[string]float64
}

func (q *queue) len() int {
	return len(q.held)
}

// push adds a request of a workspace with the weight.
func (q *queue) push(w *waiting, weight uint32) {
	if q.last == nil {
		q.last = make(map[string]float64)
	}
	workspace := w.request.GetWorkspace()
	w.tag = max(q.virtual, q.last[workspace]) + 1/float64(max(weight, 1))
	q.last[workspace] = w.tag
	q.held = append(q.held, w)
}

// best gives the index of the request to serve next among those that may be
// served, or -1.
func (q *queue) best(may func(*waiting) bool) int {
	best := -1
	for i, w := range q.held {
		if best >= 0 && !before(w, q.held[best]) {
			continue
		}
		if may(w) {
			best = i
		}
	}
	return best
}

func before(a, b *waiting) bool {
	if a.priority != b.priority {
		return a.priority > b.priority
	}
	return a.tag < b.tag
}

// take removes the request at the index; served says that it got a slot.
func (q *queue) take(index int, served bool) *waiting {
	w := q.held[index]
	q.held = slices.Delete(q.held, index, index+1)
	if served {
		q.virtual = max(q.virtual, w.tag)
	}
	if len(q.held) == 0 {
		q.virtual = 0
		clear(q.last)
	}
	return w
}

// find gives the index of a request, or -1.
func (q *queue) find(key leaseKey) int {
	return slices.IndexFunc(q.held, func(w *waiting) bool { return w.key == key })
}

// victim gives the index of the request to refuse when the queue is full and
// one more of the workspace comes: the newest of the workspace that is furthest
// above its share, within the lowest priority. It is -1 for the newcomer.
func (q *queue) victim(workspace string, priority int, weight func(string) uint32) int {
	lowest := priority
	for _, w := range q.held {
		lowest = min(lowest, w.priority)
	}
	counts := make(map[string]float64)
	if priority == lowest {
		counts[workspace]++
	}
	for _, w := range q.held {
		if w.priority == lowest {
			counts[w.request.GetWorkspace()]++
		}
	}
	surging, most := workspace, 0.0
	if priority == lowest {
		most = counts[workspace] / float64(max(weight(workspace), 1))
	}
	for name, count := range counts {
		if above := count / float64(max(weight(name), 1)); above > most || (above == most && name < surging) {
			surging, most = name, above
		}
	}
	if surging == workspace && priority == lowest {
		return -1
	}
	newest := -1
	for i, w := range q.held {
		if w.priority == lowest && w.request.GetWorkspace() == surging {
			newest = i
		}
	}
	return newest
}
