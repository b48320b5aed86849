package admission

import "slices"

// queue holds the requests that wait for a slot of one backend server. Higher priorities are served
// first. Within a priority, workspaces get slots in proportion to their weights (self-clocked fair
// queueing), so that a surge of one workspace delays mainly that workspace's own requests.
type queue struct {
	requests []*queuedRequest
	// virtualTime is the highest tag of the requests that got a slot since the queue was last empty.
	virtualTime float64
	// lastTags holds the highest tag of each workspace since the queue was last empty.
	lastTags map[string]float64
}

func (q *queue) len() int {
	return len(q.requests)
}

// push adds a request of a workspace with the given weight.
func (q *queue) push(r *queuedRequest, weight uint32) {
	if q.lastTags == nil {
		q.lastTags = make(map[string]float64)
	}
	workspace := r.request.GetWorkspace()
	r.tag = max(q.virtualTime, q.lastTags[workspace]) + 1/float64(max(weight, 1))
	q.lastTags[workspace] = r.tag
	q.requests = append(q.requests, r)
}

// next returns the index of the request to serve next among the eligible ones, or -1.
func (q *queue) next(eligible func(*queuedRequest) bool) int {
	best := -1
	for i, r := range q.requests {
		if best >= 0 && !servedBefore(r, q.requests[best]) {
			continue
		}
		if eligible(r) {
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
	r := q.requests[index]
	q.requests = slices.Delete(q.requests, index, index+1)
	if served {
		q.virtualTime = max(q.virtualTime, r.tag)
	}
	if len(q.requests) == 0 {
		q.virtualTime = 0
		clear(q.lastTags)
	}
	return r
}

// indexOf returns the index of the request with the key, or -1.
func (q *queue) indexOf(key leaseKey) int {
	return slices.IndexFunc(q.requests, func(r *queuedRequest) bool { return r.key == key })
}

// evictionIndex returns the index of the request to evict when the queue is full and another request
// of the workspace arrives: the newest request of the lowest priority from the surging workspace,
// which is the one with the most requests of that priority in proportion to its weight. It returns
// -1 if the arriving request is the one not to queue.
func (q *queue) evictionIndex(workspace string, priority int, weight func(string) uint32) int {
	lowest := priority
	for _, r := range q.requests {
		lowest = min(lowest, r.priority)
	}
	counts := make(map[string]float64)
	if priority == lowest {
		counts[workspace]++
	}
	for _, r := range q.requests {
		if r.priority == lowest {
			counts[r.request.GetWorkspace()]++
		}
	}
	surging, maxRatio := workspace, 0.0
	if priority == lowest {
		maxRatio = counts[workspace] / float64(max(weight(workspace), 1))
	}
	for name, count := range counts {
		if ratio := count / float64(max(weight(name), 1)); ratio > maxRatio || (ratio == maxRatio && name < surging) {
			surging, maxRatio = name, ratio
		}
	}
	if surging == workspace && priority == lowest {
		return -1
	}
	newest := -1
	for i, r := range q.requests {
		if r.priority == lowest && r.request.GetWorkspace() == surging {
			newest = i
		}
	}
	return newest
}
