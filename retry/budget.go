package retry

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/slipwick/slipwick/clock"
)

// windowSlots is the number of slots in a window; the window slides by one slot at a time.
const windowSlots = 100

const (
	// ratioShare and extraShare are the shares of Ratio and Extra that are used. Of the rest, processes that take the
	// place of others, and do not know what these used, use replacementShare of that of Ratio, and restartedShare of
	// Extra at once: the fleet may restart twice within a window. The remainder is for routers whose windows do not
	// slide at the same moments, and for the rounding of their shares.
	ratioShare       = 0.85
	extraShare       = 0.6
	replacementShare = 0.7
	restartedShare   = 0.2
	// roundingPeriod is the number of windows for which a router keeps the random number by which
	// it rounds its share. In a window in which the number changes, a router may round up by either
	// of two numbers, so that more routers do; with a long period there are few such windows.
	roundingPeriod = 10
)

// Budget limits the retries that the whole fleet sends to each pool, in any window of time. Each
// router uses its share without asking the others, and less of it if the retries that they report leave too little
// room. Set the exported fields before the first call; the methods may be called concurrently.
type Budget struct {
	// Ratio is the share of requests that may be retried.
	Ratio float64
	// Extra is the number of retries that the fleet may send in a window beyond Ratio.
	Extra float64
	// Window is the length of the sliding window that the limit holds for.
	Window time.Duration
	// Routers returns the number of routers that may be using their parts of Extra; 0 while it is not known,
	// so that this router uses none.
	Routers func() int
	// Restarted says that a process which this router replaces may have used its share within the window.
	Restarted bool
	// OnRequest is called for each counted request and OnRetry for each retry, with its pool; OnSpent when a
	// retry is not allowed, at most once per pool and window. All may be nil; they run under the budget's lock and
	// must not call it.
	OnRequest, OnRetry func(pool string)
	OnSpent            func(Usage)

	mu sync.Mutex
	// began is the time of the first call, and epoch two windows before. Slots are counted from epoch, because the time
	// of day may be set while the process runs.
	began, epoch time.Time
	// pools has the windows by the hash of the pool's name.
	pools map[uint32]*window
	// fleet is what other routers have reported of their unused shares.
	fleet FleetUnused
	// fleetSize is the largest number of routers within the last window, and fleetSlot the slot up
	// to which it has advanced.
	fleetSize slidingMax
	fleetSlot int64
}

// SetLimit changes the limit. The requests and retries counted so far stay counted.
func (b *Budget) SetLimit(ratio, extra float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Ratio, b.Extra = ratio, extra
}

// CountRequest counts a request of a caller to the pool, which has just arrived.
func (b *Budget) CountRequest(pool string) { b.CountRequestAt(pool, clock.Now()) }

// CountRequestAt counts a request of a caller to the pool. It arrived at the given time, by package clock, at the
// earliest, and counts from then on.
func (b *Budget) CountRequestAt(pool string, earliest time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowLocked(pool)
	w.requests.add(b.slotAt(earliest), 1)
	w.requestTotal++
	if b.OnRequest != nil {
		b.OnRequest(pool)
	}
}

// Take counts one retry if the budget allows it; otherwise it returns false, and the request must
// not be retried.
func (b *Budget) Take(pool string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowLocked(pool)
	if !b.allowsLocked(w) {
		b.reportSpentLocked(pool, w)
		return false
	}
	w.retries.add(w.slot, 1)
	w.retryTotal++
	if b.OnRetry != nil {
		b.OnRetry(pool)
	}
	return true
}

// Allows reports whether Take would succeed now.
func (b *Budget) Allows(pool string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowLocked(pool)
	if !b.allowsLocked(w) {
		b.reportSpentLocked(pool, w)
		return false
	}
	return true
}

// reportSpentLocked calls OnSpent unless it was called for the pool within the window.
func (b *Budget) reportSpentLocked(pool string, w *window) {
	if b.OnSpent == nil || w.hasReported && w.slot-w.reported < windowSlots {
		return
	}
	w.reported, w.hasReported = w.slot, true
	b.OnSpent(Usage{
		Pool:     pool,
		Requests: w.requestCount(),
		Retries:  w.retryCount(),
		Routers:  b.fleetSize.highest(),
		Age:      clock.Since(b.began),

		FleetRequests: b.fleetRequestsLocked(w, w.slot-windowSlots, w.slot),
		FleetRetries:  b.fleetRetriesLocked(w, w.slot-windowSlots, w.slot),
	})
}

func (b *Budget) allowsLocked(w *window) bool {
	requests := float64(w.requestCount())
	share := b.shareLocked(w, requests)
	unused := max(share-float64(w.retryCount()), 0)
	// In a large fleet a router's share is a fraction of one retry. If all routers rounded it down,
	// none would retry. With random rounding the fleet's sum is that of a single budget at any
	// moment, also when all routers use their shares at once.
	//
	// No router may send more than the limit of the whole fleet would allow for the requests it has
	// counted.
	fleetLimit := b.Ratio*requests + b.Extra
	return float64(w.retryCount()+1) <= min(share+w.rounding, fleetLimit) && b.fleetAllowsLocked(w, unused)
}

// shareLocked returns how many retries this router may make within the window. A process that may have replaced
// another one makes, in its first window, only those that no process makes later, unless it has learned what the fleet
// made before.
func (b *Budget) shareLocked(w *window, requests float64) float64 {
	ratio, extra := ratioShare*b.Ratio*requests, extraShare*b.Extra
	if !b.remembersLocked(w) {
		ratio = replacementShare * (1 - ratioShare) * b.Ratio * requests
		extra = restartedShare * b.Extra
	}
	routers := b.routersLocked(w.slot)
	if routers == 0 {
		return ratio
	}
	return ratio + extra/float64(routers)
}

// routersLocked returns the largest number of routers within the window, since routers that have left may have used
// their parts of Extra.
func (b *Budget) routersLocked(slot int64) int {
	for ; b.fleetSlot < slot; b.fleetSlot++ {
		b.fleetSize.advance()
		if slot-b.fleetSlot > windowSlots {
			b.fleetSlot = slot - windowSlots
		}
	}
	b.fleetSize.record(b.Routers())
	return b.fleetSize.highest()
}

// remembersLocked reports whether this router knows what processes before it made within the window.
func (b *Budget) remembersLocked(w *window) bool {
	return !b.Restarted || w.hasLearned || clock.Since(b.began) >= b.Window
}

// windowLocked returns the pool's window, advanced to the current slot.
func (b *Budget) windowLocked(pool string) *window { return b.windowOfLocked(poolHash(pool)) }

func (b *Budget) windowOfLocked(pool uint32) *window {
	now := clock.Now()
	if b.pools == nil {
		b.pools, b.began = make(map[uint32]*window), now
		b.epoch = now.Add(-2 * b.Window)
	}
	w := b.pools[pool]
	if w == nil {
		w = &window{
			hash:          pool,
			rounding:      rand.Float64(),
			roundingPhase: rand.Int64N(roundingPeriod * windowSlots),
		}
		b.pools[pool] = w
	}
	w.advance(b.slotAt(now))
	return w
}

// slotAt returns the slot of a time; it is negative if that is too long ago to be counted.
func (b *Budget) slotAt(at time.Time) int64 {
	since := int64(at.Sub(b.epoch))
	if since < 0 {
		return -1
	}
	return since / max(int64(b.Window)/windowSlots, 1)
}

// window counts one pool's requests and retries.
type window struct {
	requests, retries history
	// slot is the current slot, counted from Budget.epoch.
	slot int64
	// rounding is a random number in [0, 1) that is added to the router's share before it is
	// rounded down.
	rounding float64
	// roundingPhase is by how many slots the periods of rounding are shifted. It differs between routers that start at
	// once, so that few of them change their numbers in the same window.
	roundingPhase int64
	// requestTotal and retryTotal are the counts since the start of the router; they wrap around.
	requestTotal, retryTotal uint32
	// hash is that of the pool's name.
	hash uint32
	// fleetRequests and fleetRetries are those that other routers reported.
	fleetRequests, fleetRetries history
	// hasLearned says that the counts of the fleet contain those from before the start of this router.
	hasLearned bool
	// learnedAge is the age of this router at which it last learned them.
	learnedAge time.Duration
	// reported is the slot in which OnSpent was last called, if hasReported.
	reported    int64
	hasReported bool
}

// advance slides the window to a slot.
func (w *window) advance(slot int64) {
	const period = int64(roundingPeriod * windowSlots)
	if (slot+w.roundingPhase)/period > (w.slot+w.roundingPhase)/period {
		w.rounding = rand.Float64()
	}
	w.slot = max(w.slot, slot)
	w.requests.advance(w.slot)
	w.retries.advance(w.slot)
	w.fleetRequests.advance(w.slot)
	w.fleetRetries.advance(w.slot)
}

// requestCount and retryCount return the requests and the retries within the window. The slot that the window's
// beginning cuts counts whole, since retries in it may lie within the window.
func (w *window) requestCount() int { return w.requests.sum(w.slot-windowSlots, w.slot) }
func (w *window) retryCount() int   { return w.retries.sum(w.slot-windowSlots, w.slot) }

// slidingMax is a maximum over the last windowSlots slots.
type slidingMax struct {
	maxima  [windowSlots]int
	current int
}

func (m *slidingMax) advance() {
	m.current = (m.current + 1) % windowSlots
	m.maxima[m.current] = 0
}

func (m *slidingMax) record(n int) { m.maxima[m.current] = max(m.maxima[m.current], n) }

func (m *slidingMax) highest() int { return slices.Max(m.maxima[:]) }
