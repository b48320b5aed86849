package retry

import (
	"sync"
	"time"
)

// steps is how many parts a window is counted in; it moves a part at a time.
const steps = 40

// safetyShare of the bound is used, since routers neither count at the same
// moments nor know each other's number at once.
const safetyShare = 0.85

// Budget bounds the fleet's repeated sends to each pool, in every window of
// time. Each router uses its share. Set the fields before the first call.
type Budget struct {
	// Ratio is the share of requests that may be sent again.
	Ratio float64
	// Extra is what the fleet may send again beyond that.
	Extra float64
	// Window is the time that the bound holds for.
	Window time.Duration
	// Routers gives the number of routers that share Extra.
	Routers func() int

	mu    sync.Mutex
	pools map[string]*window
}

// SetBound changes the bound; what was counted stays counted.
func (b *Budget) SetBound(ratio, extra float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Ratio, b.Extra = ratio, extra
}

// Requested counts a caller's request for the pool.
func (b *Budget) Requested(pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.windowLocked(pool).requests.add(1)
}

// Take asks for one more send of a request; false refuses it.
func (b *Budget) Take(pool string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowLocked(pool)
	allowed := b.Ratio*float64(w.requests.sum) + b.Extra/float64(max(b.Routers(), 1))
	if float64(w.repeats.sum+1) > safetyShare*allowed {
		return false
	}
	w.repeats.add(1)
	return true
}

func (b *Budget) windowLocked(pool string) *window {
	if b.pools == nil {
		b.pools = make(map[string]*window)
	}
	w := b.pools[pool]
	if w == nil {
		w = &window{}
		b.pools[pool] = w
	}
	w.advance(time.Now().UnixNano() / max(int64(b.Window)/steps, 1))
	return w
}

// window counts one pool's requests and repeats.
type window struct {
	requests, repeats counter
	step              int64
}

// advance forgets the steps that have left the window.
func (w *window) advance(step int64) {
	for range min(step-w.step, steps) {
		w.requests.shift()
		w.repeats.shift()
	}
	w.step = max(w.step, step)
}

// counter sums over the last steps.
type counter struct {
	counts [steps]int
	sum    int
	now    int
}

func (c *counter) add(n int) {
	c.counts[c.now] += n
	c.sum += n
}

func (c *counter) shift() {
	c.now = (c.now + 1) % steps
	c.sum -= c.counts[c.now]
	c.counts[c.now] = 0
}
