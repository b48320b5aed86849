package admission

import "slices"

// queue holds the requests that wait for a slot of one backend server. Higher priorities come
// first. Within a priority, workspaces share by weight (self-clocked fair queueing), so that a
// surge of one workspace delays mainly that workspace's own requests.
type queue struct {
	requests []*queuedRequest
	// virtualTime is the highest tag of the requests served.
	virtualTime float64
	// lastTags holds the highest tag of each workspace.
	lastTags map[string]float64
}

func (q *queue) len() int {
	return len(q.requests)
}

// push adds a request of a workspace with the given weight.
func (q *queue) push(w *queuedRequest, weight uint32) {
	if q.lastTags == nil {
		q.lastTags = make(map[string]float64)
	}
	workspace := w.request.GetWorkspace()
	w.tag = max(q.virtualTime, q.lastTags[workspace]) + 1/float64(max(weight, 1))
	q.lastTags[workspace] = w.tag
	q.requests = append(q.requests, w)
}

// next returns the index of the request to serve next among the eligible ones, or -1.
func (q *queue) next(eligible func(*queuedRequest) bool) int {
	best := -1
	for i, w := range q.requests {
		if best >= 0 && !servedBefore(w, q.requests[best]) {
			continue
		}
		if eligible(w) {
			best = i
		}
	}
	return best
}

// servedBefore reports whether a is served before b.
func servedBefore(a, b *queuedRequest) bool {
	if a.priority != b.priority {
		return a.priority > b.priority
	}
	return a.tag < b.tag
}

// remove deletes and returns the request at the index. served means that it got a slot.
func (q *queue) remove(index int, served bool) *queuedRequest {
	w := q.requests[index]
	q.requests = slices.Delete(q.requests, index, index+1)
	if served {
		q.virtualTime = max(q.virtualTime, w.tag)
	}
	if len(q.requests) == 0 {
		q.virtualTime = 0
		clear(q.lastTags)
	}
	return w
}

// indexOf returns the index of the request with the key, or -1.
func (q *queue) indexOf(key leaseKey) int {
	return slices.IndexFunc(q.requests, func(w *queuedRequest) bool { return w.key == key })
}

// evictionIndex returns the index of the request to refuse when the queue is full and another
// request of the workspace arrives: the newest request of the lowest priority from the workspace
// that exceeds its share most. It returns -1 if the arriving request is the one to refuse.
func (q *queue) evictionIndex(workspace string, priority int, weight func(string) uint32) int {
	lowest := priority
	for _, w := range q.requests {
		lowest = min(lowest, w.priority)
	}
	counts := make(map[string]float64)
	if priority == lowest {
		counts[workspace]++
	}
	for _, w := range q.requests {
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
	for i, w := range q.requests {
		if w.priority == lowest && w.request.GetWorkspace() == surging {
			newest = i
		}
	}
	return newest
}
