package gateway

import (
	"sync"
	"time"

	"github.com/slipwick/slipwick/pace"
)

// workEstimates estimates the work of requests by pool and route. It is safe for concurrent use.
type workEstimates struct {
	mu    sync.Mutex
	byKey map[workKey]*workEstimate
}

// workKey identifies the requests that are assumed to need equal work.
type workKey struct{ pool, route string }

// workEstimate has the averages of the time from the send of a request to the end of its response,
// and to the start.
type workEstimate struct {
	total, start pace.Mean
}

const (
	// defaultWork is the estimate for a route without latency objective before a response.
	defaultWork = time.Second
	// maxWorkEstimates bounds the estimates, which outlive their routes and pools: 100 bytes each.
	maxWorkEstimates = 4096
)

// record adds a request whose complete response was delivered.
func (w *workEstimates) record(key workKey, start, total time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.byKey[key]
	if e == nil {
		if w.byKey == nil || len(w.byKey) >= maxWorkEstimates {
			w.byKey = make(map[workKey]*workEstimate)
		}
		e = &workEstimate{}
		w.byKey[key] = e
	}
	e.total.Add(total)
	e.start.Add(start)
}

// estimate returns for how long a request probably occupies a slot, and after what time its response
// begins. Before the first response the work is the objective or defaultWork, and the time to the
// start is 0.
func (w *workEstimates) estimate(key workKey, objective time.Duration) (total, start time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if e := w.byKey[key]; e != nil {
		total, _ = e.total.Value()
		start, _ = e.start.Value()
		return total, start
	}
	if objective > 0 {
		return objective, 0
	}
	return defaultWork, 0
}
