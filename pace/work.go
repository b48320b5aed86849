package pace

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxWorkRoutes bounds the pairs of pool and route whose output times are kept, a pair for each
	// pool as a whole included. The one that was recorded or estimated least recently is dropped.
	maxWorkRoutes = 1024
	// outputWeight is the weight of the latest output time in the moving average of its route.
	outputWeight = 1.0 / 32
	// initialOutputTime is the output time of a pool of which no request has been recorded.
	initialOutputTime = 500 * time.Millisecond
	// workErrorWindow is how many requests of a route the error of the estimates is measured with,
	// minWorkErrors how many are needed.
	workErrorWindow = 128
	minWorkErrors   = 16
	// cutOffFactor bounds what a request that was cut off counts as, relative to its estimate: a slow server
	// may take four times as long as usual, and one that takes longer probably hangs.
	cutOffFactor = 4
)

// WorkEstimator estimates for how long a request will occupy a slot of its pool: the time to prefill
// its tokens that are not cached, plus the output time, that is the rest of the time to the last event,
// which is a moving average for each route. In the same way it estimates the time to the start of the
// response. It is safe for concurrent use.
type WorkEstimator struct {
	prefillTime func(pool string, tokens int) time.Duration

	mu     sync.Mutex
	routes *simplelru.LRU[workKey, *routeWork]
}

// workKey identifies a route's requests at a pool; all routes of the pool if route is empty.
type workKey struct {
	pool, route string
}

// routeWork has what is known of the work of the requests of a route.
type routeWork struct {
	// output and delay are the moving averages, in nanoseconds, of the output times of count requests
	// and of the times by which their responses began later than their prefill takes.
	output, delay float64
	count         int
	// errors has the times that requests took, relative to their estimates.
	errors *Window
}

// NewWorkEstimator returns an estimator. prefillTime returns how long an engine of a pool takes to
// the first token with a number of tokens to prefill, 0 if the pool's requests have no prompts.
func NewWorkEstimator(prefillTime func(pool string, tokens int) time.Duration) *WorkEstimator {
	// NewLRU fails only for a size that is not positive.
	routes, _ := simplelru.NewLRU[workKey, *routeWork](maxWorkRoutes, nil)
	return &WorkEstimator{
		prefillTime: prefillTime,
		routes:      routes,
	}
}

// Estimate returns for how long a request with the given number of tokens to prefill will probably
// occupy a slot, and after what time its response begins. A route of which no request was recorded has
// the averages of its pool. known is false if no request of the pool was recorded either.
func (e *WorkEstimator) Estimate(pool, route string, tokens int) (total, start time.Duration, known bool) {
	prefill := e.prefillTime(pool, max(tokens, 0))
	e.mu.Lock()
	defer e.mu.Unlock()
	w, known := e.knownLocked(pool, route)
	return prefill + time.Duration(w.output), prefill + time.Duration(w.delay), known
}

// Record adds the times from the send of a request, which had the given number of tokens to prefill, to
// the start and to the last event of its response.
func (e *WorkEstimator) Record(pool, route string, tokens int, start, took time.Duration) {
	if took <= 0 || tokens < 0 {
		return
	}
	prefill := e.prefillTime(pool, tokens)
	output, delay := max(took-prefill, 0), max(start-prefill, 0)
	e.mu.Lock()
	defer e.mu.Unlock()
	known, _ := e.knownLocked(pool, route)
	slowdown := float64(took) / float64(max(prefill+time.Duration(known.output), 1))
	e.recordLocked(pool, route, output, delay, slowdown)
}

// RecordCutOff adds a request that was ended before its response was complete, the given time after its
// send. start is zero if the response had not begun. Both would have taken longer, so that they count as
// estimated or, if they have exceeded the estimate, as the time that they have taken.
func (e *WorkEstimator) RecordCutOff(pool, route string, tokens int, start, took time.Duration) {
	if took <= 0 || tokens < 0 {
		return
	}
	prefill := e.prefillTime(pool, tokens)
	e.mu.Lock()
	defer e.mu.Unlock()
	known, ok := e.knownLocked(pool, route)
	if !ok {
		return
	}
	output, delay := time.Duration(known.output), time.Duration(known.delay)
	total := prefill + output
	took = min(took, cutOffFactor*total)
	if start > 0 {
		delay = max(start-prefill, 0)
	} else {
		delay = max(took-prefill, delay)
	}
	e.recordLocked(pool, route, max(took-prefill, output), delay, max(float64(took)/float64(max(total, 1)), 1))
}

func (e *WorkEstimator) recordLocked(pool, route string, output, delay time.Duration, slowdown float64) {
	e.workLocked(workKey{pool: pool, route: route}).record(output, delay, slowdown)
	if route != "" {
		e.workLocked(workKey{pool: pool}).record(output, delay, slowdown)
	}
}

// ErrorQuantile returns the factor by which the given share of the latest requests of a route took at
// most longer than estimated. ok is false while too few were recorded.
func (e *WorkEstimator) ErrorQuantile(pool, route string, share float64) (factor float64, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w, known := e.routes.Get(workKey{pool: pool, route: route})
	if !known || w.errors.Len() < minWorkErrors {
		return 0, false
	}
	return w.errors.Quantile(share), true
}

// unknownWork is what is assumed of a pool of which no request was recorded.
var unknownWork = &routeWork{
	output: float64(initialOutputTime),
}

// knownLocked returns what is known of a route, or else of its pool.
func (e *WorkEstimator) knownLocked(pool, route string) (w *routeWork, known bool) {
	if w, ok := e.routes.Get(workKey{pool: pool, route: route}); ok {
		return w, true
	}
	if w, ok := e.routes.Get(workKey{pool: pool}); ok {
		return w, true
	}
	return unknownWork, false
}

// workLocked returns what is known of the key, and creates it if needed.
func (e *WorkEstimator) workLocked(key workKey) *routeWork {
	w, ok := e.routes.Get(key)
	if !ok {
		w = &routeWork{
			errors: NewWindow(workErrorWindow),
		}
		e.routes.Add(key, w)
	}
	return w
}

// record adds a request that took slowdown times its estimate. The first request sets the averages.
func (w *routeWork) record(output, delay time.Duration, slowdown float64) {
	if w.count > 0 {
		w.errors.Add(slowdown)
	}
	w.count++
	weight := max(outputWeight, 1/float64(w.count))
	w.output += weight * (float64(output) - w.output)
	w.delay += weight * (float64(delay) - w.delay)
}
