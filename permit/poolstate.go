package permit

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/clock"
)

const (
	// A pool gets under pressure if more than pressureShare of its slots are in use, and is no longer
	// when less than reliefShare are, for pressureMemory after the last sign of pressure.
	pressureShare  = 0.4
	reliefShare    = 0.3
	pressureMemory = time.Second
	// pressureInterval is how often the pressure is computed.
	pressureInterval = 5 * time.Millisecond
)

// poolState is what a client knows of a pool.
type poolState struct {
	name string
	// checkAt is when the pressure is computed next, and pressedUntil until when the pool is under
	// pressure, both in nanoseconds after epoch.
	checkAt, pressedUntil atomic.Int64
	epoch                 time.Time

	mu sync.Mutex
	// slots is the number of slots when the pressure was computed last.
	slots int
	// held is for how many seconds permits are held.
	held average
	// bucket bounds the requests that this router sends without the coordinator.
	bucket *rate.Limiter
	// queued counts this router's requests in the queue of the coordinator.
	queued int
}

func newPoolState(name string) *poolState {
	return &poolState{
		name:  name,
		epoch: clock.Now(),
	}
}

// recordPressure notes a sign that the pool is under pressure.
func (p *poolState) recordPressure(now time.Time) {
	p.pressedUntil.Store(int64(now.Sub(p.epoch) + pressureMemory))
}

// isUnderPressure reports whether requests need permits. It computes the pressure again if the last
// result is old.
func (p *poolState) isUnderPressure(capacity slipwick.CapacitySource) bool {
	now := clock.Now()
	at := int64(now.Sub(p.epoch))
	if check := p.checkAt.Load(); at >= check && p.checkAt.CompareAndSwap(check, at+int64(pressureInterval)) {
		p.computePressure(capacity, now)
	}
	return at < p.pressedUntil.Load()
}

// computePressure keeps a pool under pressure while the requests in flight are not below the lower
// threshold.
func (p *poolState) computePressure(source slipwick.CapacitySource, now time.Time) {
	capacity := source.PoolCapacity(p.name)
	slots := capacity.Slots()
	p.mu.Lock()
	p.slots = slots
	p.mu.Unlock()
	threshold := pressureShare
	if int64(now.Sub(p.epoch)) < p.pressedUntil.Load() {
		threshold = reliefShare
	}
	if slots > 0 && capacity.InFlight() > threshold*float64(slots) {
		p.recordPressure(now)
	}
}

// hasServers reports whether this router knew a usable server when the pressure was computed last.
func (p *poolState) hasServers() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.slots > 0
}

// recordHeld notes for how long a permit was held.
func (p *poolState) recordHeld(duration time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held.add(duration.Seconds())
}

// addQueued adds a request to those that this router has queued, unless that exceeds the bound.
func (p *poolState) addQueued(bound int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if bound > 0 && p.queued >= bound {
		return false
	}
	p.queued++
	return true
}

func (p *poolState) removeQueued() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queued--
}

// allowLocal reports whether this router may send a request without the coordinator: the rate of the
// pool is divided by the number of routers. It returns the time until the next request otherwise.
func (p *poolState) allowLocal(routers int, work time.Duration, now time.Time) (ok bool, after time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := max(p.held.or(max(work, minHeld).Seconds()), minHeld.Seconds())
	limit := rate.Limit(float64(p.slots) / held / float64(max(routers, 1)))
	if p.bucket == nil {
		p.bucket = rate.NewLimiter(limit, 1)
	}
	p.bucket.SetLimitAt(now, limit)
	if p.bucket.AllowN(now, 1) {
		return true, 0
	}
	if limit <= 0 {
		return false, maxRetryAfter
	}
	return false, time.Duration(float64(time.Second) / float64(limit))
}
