package quota

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/clock"
	"github.com/slipwick/slipwick/fairqueue"
)

var (
	_ slipwick.PermitSource       = (*Limiter)(nil)
	_ slipwick.PressureSource     = (*Limiter)(nil)
	_ slipwick.PermitStatusSource = (*Limiter)(nil)
)

const (
	// refreshInterval is how often limits are computed without updates of other routers.
	refreshInterval = 200 * time.Millisecond
	// sweepInterval is how often waiting requests are checked for passed deadlines and for limits of
	// operators that let them start.
	sweepInterval = 5 * time.Millisecond
)

// Limiter admits requests to pools by this router's part of the fleet's slots. Set the exported fields
// before the first call.
type Limiter struct {
	// Self is the ID of this router.
	Self     string
	Capacity slipwick.CapacitySource
	// Routers returns the number of live routers, with this one.
	Routers func() int
	// QueueLimits bounds the queue of each pool.
	QueueLimits fairqueue.Limits
	// Returns recognises callers whom other routers refused; nil without.
	Returns slipwick.ReturnSource
	// Random returns a random number in [0, 1). New sets the default.
	Random func() float64

	mu    sync.RWMutex
	pools map[string]*guardedPool
	size  fleetSize
	// sweepSoon is signalled when a request begins to wait.
	sweepSoon chan struct{}
	done      chan struct{}
}

// guardedPool is a pool with its lock.
type guardedPool struct {
	mu sync.Mutex
	*pool
	// isDropped says that the limiter doesn't have the pool any more.
	isDropped bool
}

// New returns a limiter for the router with this ID. Set the other exported fields before the first call.
func New(self string) *Limiter {
	return &Limiter{
		Self:      self,
		Routers:   func() int { return 1 },
		Random:    rand.Float64,
		pools:     make(map[string]*guardedPool),
		sweepSoon: make(chan struct{}, 1),
		done:      make(chan struct{}),
	}
}

// Done returns a channel that is closed when Run has returned.
func (l *Limiter) Done() <-chan struct{} {
	return l.done
}

// Run computes the limits regularly and serves waiting requests until ctx ends.
func (l *Limiter) Run(ctx context.Context) {
	defer close(l.done)
	refresh := time.NewTicker(refreshInterval)
	defer refresh.Stop()
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	isSweeping := true
	for {
		select {
		case <-ctx.Done():
			return
		case <-refresh.C:
			l.refreshStale()
		case <-sweep.C:
			if isSweeping = l.sweep(); !isSweeping {
				sweep.Stop()
			}
		case <-l.sweepSoon:
			// Resetting a running ticker at each request would delay its ticks.
			if !isSweeping {
				sweep.Reset(sweepInterval)
				isSweeping = true
			}
		}
	}
}

// Acquire implements slipwick.PermitSource. It returns at once unless the request has to wait.
func (l *Limiter) Acquire(ctx context.Context, request *slipwick.PermitRequest) (slipwick.Permit, error) {
	p := l.lockPool(request.Pool)
	now := clock.Now()
	if id, ok := p.admit(request, now); ok {
		p.unlockAndNotify()
		return newPermit(request, id), nil
	}
	if l.Returns != nil && request.Key != 0 && !request.Retry {
		p.unlockAndNotify()
		request = l.recognise(ctx, request, now)
		p, now = l.lockPool(request.Pool), clock.Now()
		if id, ok := p.admit(request, now); ok {
			p.unlockAndNotify()
			return newPermit(request, id), nil
		}
	}
	w := &waiter{
		decided: make(chan decision, 1),
	}
	item, err := p.enqueue(request, w, now)
	p.serve(now)
	p.unlockAndNotify()
	if err != nil {
		l.noteRefusal(request, err)
		return slipwick.Permit{}, err
	}
	select {
	case l.sweepSoon <- struct{}{}:
	default:
	}
	return l.wait(ctx, p, item, w)
}

// wait waits for the decision about a request in the queue.
func (l *Limiter) wait(ctx context.Context, p *guardedPool, item *fairqueue.Item, w *waiter) (slipwick.Permit, error) {
	select {
	case d := <-w.decided:
		l.noteRefusal(item.Request, d.err)
		return newPermit(item.Request, d.permit), d.err
	case <-ctx.Done():
	}
	p.mu.Lock()
	isWaiting := p.cancel(item)
	p.mu.Unlock()
	if !isWaiting {
		if d := <-w.decided; d.err == nil {
			l.Release(newPermit(item.Request, d.permit), slipwick.EvidenceNone)
		}
	}
	return slipwick.Permit{}, &slipwick.Error{
		Kind:    slipwick.KindCancelled,
		Message: "the request ended while it waited for a slot of pool " + item.Request.Pool,
		Remedy:  "send the request again if its response is still wanted",
		Outcome: slipwick.OutcomeNotRun,
		Cause:   ctx.Err(),
	}
}

func newPermit(request *slipwick.PermitRequest, id uint64) slipwick.Permit {
	if id == 0 {
		return slipwick.Permit{}
	}
	return slipwick.Permit{
		Pool: request.Pool,
		ID:   id,
	}
}

// Release implements slipwick.PermitSource. The balancer learns from the evidence, so it isn't used here.
func (l *Limiter) Release(permit slipwick.Permit, _ slipwick.Evidence) {
	if permit.ID == 0 {
		return
	}
	l.mu.RLock()
	p := l.pools[permit.Pool]
	l.mu.RUnlock()
	if p == nil {
		return
	}
	p.mu.Lock()
	p.release(permit.ID, clock.Now())
	p.unlockAndNotify()
}

// unlockAndNotify unlocks the pool and sends the decisions to those who wait for them.
func (p *guardedPool) unlockAndNotify() {
	decisions := p.takeDecisions()
	p.mu.Unlock()
	for _, d := range decisions {
		d.item.Value.(*waiting).value.(*waiter).decided <- d
	}
}

// lockPool returns the locked pool, and creates it if needed.
func (l *Limiter) lockPool(name string) *guardedPool {
	for {
		l.mu.RLock()
		p := l.pools[name]
		l.mu.RUnlock()
		if p == nil {
			p = l.addPool(name)
		}
		p.mu.Lock()
		if !p.isDropped {
			return p
		}
		p.mu.Unlock()
	}
}

// addPool creates a pool with its limits.
func (l *Limiter) addPool(name string) *guardedPool {
	capacity, size := l.Capacity.PoolCapacity(name), l.observeSize()
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.pools[name]; p != nil {
		return p
	}
	p := &guardedPool{
		pool: newPool(name, l.Self, l.QueueLimits, l.Random),
	}
	p.refresh(&capacity, &size, clock.Now())
	l.pools[name] = p
	return p
}

// observeSize returns the size of the fleet.
func (l *Limiter) observeSize() fleetSize {
	live, now := l.Routers(), clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.size.observe(live, now)
	return l.size
}

// all returns the pools.
func (l *Limiter) all() []*guardedPool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	pools := make([]*guardedPool, 0, len(l.pools))
	for _, p := range l.pools {
		pools = append(pools, p)
	}
	return pools
}

// refreshStale computes the limits of the pools for which no update did so recently, and drops pools
// without use.
func (l *Limiter) refreshStale() {
	size := l.observeSize()
	for _, p := range l.all() {
		l.refresh(p, &size, refreshInterval/2)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, p := range l.pools {
		p.mu.Lock()
		p.isDropped = p.isIdle()
		if p.isDropped {
			delete(l.pools, name)
		}
		p.mu.Unlock()
	}
}

// refresh computes the limits of a pool unless this was done within the given time.
func (l *Limiter) refresh(p *guardedPool, size *fleetSize, unless time.Duration) {
	capacity := l.Capacity.PoolCapacity(p.name)
	p.mu.Lock()
	if now := clock.Now(); now.Sub(p.refreshedAt) >= unless {
		p.refresh(&capacity, size, now)
	}
	p.unlockAndNotify()
}

// sweep serves and expires waiting requests. It returns false if none wait.
func (l *Limiter) sweep() (isWaiting bool) {
	for _, p := range l.all() {
		p.mu.Lock()
		now := clock.Now()
		p.expire(now)
		p.serve(now)
		isWaiting = isWaiting || p.queue.Len() > 0
		p.unlockAndNotify()
	}
	return isWaiting
}

// TakeReport returns what this router uses and wants of the pools under pressure, to be sent to the other
// routers. Call it once for each update, also if the result isn't sent.
func (l *Limiter) TakeReport() []Entry {
	var entries []Entry
	for _, p := range l.all() {
		p.mu.Lock()
		entries = append(entries, p.report(clock.Now())...)
		p.mu.Unlock()
	}
	return entries
}

// ReceiveFleet takes the sums of the fleet, which contain this router's reports as of a time by package
// clock, and computes the limits.
func (l *Limiter) ReceiveFleet(entries []Entry, ownAsOf time.Time) {
	byPool := make(map[uint32][]Entry)
	for _, e := range Sum(entries) {
		byPool[e.Pool] = append(byPool[e.Pool], e)
	}
	size := l.observeSize()
	for _, p := range l.all() {
		p.mu.Lock()
		p.receive(byPool[p.hash], ownAsOf, clock.Now())
		p.mu.Unlock()
		l.refresh(p, &size, 0)
	}
}

// PoolStatus returns the state of a pool for operators; ok is false if the router has had no requests
// for it lately.
func (l *Limiter) PoolStatus(pool string) (status PoolStatus, ok bool) {
	l.mu.RLock()
	p := l.pools[pool]
	l.mu.RUnlock()
	if p == nil {
		return PoolStatus{}, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.status(), true
}

// UnderPressure implements slipwick.PressureSource.
func (l *Limiter) UnderPressure(pool string) bool {
	l.mu.RLock()
	p := l.pools[pool]
	l.mu.RUnlock()
	if p == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isUnderPressure()
}

// PermitStatus implements slipwick.PermitStatusSource.
func (l *Limiter) PermitStatus(pool string) slipwick.PermitStatus {
	l.mu.RLock()
	p := l.pools[pool]
	l.mu.RUnlock()
	if p == nil {
		return slipwick.PermitStatus{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.permitStatus()
}
