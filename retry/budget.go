package retry

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/slipwick/slipwick/clock"
)

// steps is how many parts a window is counted in; it moves a part at a time.
const steps = 40

const (
	// ratioShare of what the ratio allows is used, since routers do not count
	// at the same moments.
	ratioShare = 0.85
	// extraShare of Extra is used by routers that have run for a window, and
	// restartedShare by those that began within it, as the routers before them
	// may have used theirs: the fleet may start anew twice in a window.
	extraShare     = 0.6
	restartedShare = 0.25
	// roundingWindows is for how many windows a router keeps the draw by which it rounds its
	// share. A window may see two draws, so that more routers round up; few windows do.
	roundingWindows = 10
)

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
	// Restarted says that a router before this one may have used its share of
	// Extra within the window.
	Restarted bool

	mu sync.Mutex
	// began is the first call, from which time is counted: the time of day may
	// be set while the process runs.
	began time.Time
	pools map[string]*window
	// fleet is how many routers there were in each step.
	fleet     peak
	fleetStep int64
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
	if !b.allowsLocked(w) {
		return false
	}
	w.repeats.add(1)
	return true
}

// Allows tells whether Take would grant a send now.
func (b *Budget) Allows(pool string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allowsLocked(b.windowLocked(pool))
}

func (b *Budget) allowsLocked(w *window) bool {
	allowed := ratioShare*b.Ratio*float64(w.requests.sum) + b.extraLocked(w.step)
	// In a large fleet a router's share is a fraction of one send. Rounded down, nobody would
	// send again; rounded by chance, the fleet's sum is as if it were one router's, at any
	// moment, also when all use their shares at once.
	// No router goes beyond what the whole fleet may send for its requests.
	most := b.Ratio*float64(w.requests.sum) + b.Extra
	return float64(w.repeats.sum+1) <= min(allowed+w.rounding, most)
}

// extraLocked is what this router may use of Extra. Routers that were there
// within the window may have used their part.
func (b *Budget) extraLocked(step int64) float64 {
	for ; b.fleetStep < step; b.fleetStep++ {
		b.fleet.shift()
		if step-b.fleetStep > steps {
			b.fleetStep = step - steps
		}
	}
	b.fleet.note(b.Routers())
	share := extraShare
	if b.Restarted && step < steps {
		share = restartedShare
	}
	return share * b.Extra / float64(max(b.fleet.most(), 1))
}

func (b *Budget) windowLocked(pool string) *window {
	now := clock.Now()
	if b.pools == nil {
		b.pools, b.began = make(map[string]*window), now
	}
	w := b.pools[pool]
	if w == nil {
		w = &window{
			rounding: rand.Float64(),
		}
		b.pools[pool] = w
	}
	w.advance(int64(now.Sub(b.began)) / max(int64(b.Window)/steps, 1))
	return w
}

// window counts one pool's requests and repeats.
type window struct {
	requests, repeats counter
	step              int64
	// rounding is below one, and added to what the router may use.
	rounding float64
}

// advance forgets the steps that have left the window.
func (w *window) advance(step int64) {
	for range min(step-w.step, steps) {
		w.requests.shift()
		w.repeats.shift()
	}
	if kept := int64(roundingWindows * steps); step/kept > w.step/kept {
		w.rounding = rand.Float64()
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

// peak is the most of the last steps.
type peak struct {
	counts [steps]int
	now    int
}

func (p *peak) shift() {
	p.now = (p.now + 1) % steps
	p.counts[p.now] = 0
}

func (p *peak) note(n int) { p.counts[p.now] = max(p.counts[p.now], n) }

func (p *peak) most() int { return slices.Max(p.counts[:]) }
