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
)

// WorkEstimator estimates for how long a request will occupy a slot of its pool: the time to prefill
// its tokens that are not cached, plus the output time, that is the rest of the time to the last event,
// which is a moving average for each route. It is safe for concurrent use.
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
	// output is the moving average of the output times, in nanoseconds, of count requests.
	output float64
	count  int
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
// occupy a slot. A route of which no request was recorded has the pool's output time.
func (e *WorkEstimator) Estimate(pool, route string, tokensToPrefill int) time.Duration {
	prefill := e.prefillTime(pool, max(tokensToPrefill, 0))
	e.mu.Lock()
	defer e.mu.Unlock()
	return prefill + e.outputLocked(pool, route)
}

// Record adds the time from the send of a request, which had the given number of tokens to prefill, to
// the last event of its response.
func (e *WorkEstimator) Record(pool, route string, tokens int, took time.Duration) {
	if took <= 0 || tokens < 0 {
		return
	}
	prefill := e.prefillTime(pool, tokens)
	output := max(took-prefill, 0)
	e.mu.Lock()
	defer e.mu.Unlock()
	estimate := prefill + e.outputLocked(pool, route)
	e.workLocked(workKey{pool: pool, route: route}).record(output, took, estimate)
	if route != "" {
		e.workLocked(workKey{pool: pool}).record(output, took, estimate)
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

func (e *WorkEstimator) outputLocked(pool, route string) time.Duration {
	if w, ok := e.routes.Get(workKey{pool: pool, route: route}); ok {
		return time.Duration(w.output)
	}
	if w, ok := e.routes.Get(workKey{pool: pool}); ok {
		return time.Duration(w.output)
	}
	return initialOutputTime
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

// record adds a request that was estimated to take the given time. The first request sets the average.
func (w *routeWork) record(output, took, estimate time.Duration) {
	if w.count > 0 {
		w.errors.Add(float64(took) / float64(max(estimate, 1)))
	}
	w.count++
	weight := max(outputWeight, 1/float64(w.count))
	w.output += weight * (float64(output) - w.output)
}
