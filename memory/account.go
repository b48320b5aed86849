package memory

import (
	"context"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Account counts the bytes that all requests hold. Set Limit before use. It is safe for concurrent
// use. A nil Account counts nothing and sets no limit.
type Account struct {
	// Limit bounds the bytes held; 0 sets no limit.
	Limit int64

	held, peak atomic.Int64
	byUse      [useCount]atomic.Int64
	// waited and refused count the calls of Await that had to wait, and those of them that got no
	// room.
	waited, refused atomic.Int64

	// waiterCount is the length of waiters, which can be read without the lock, so that requests take
	// the lock only while others wait.
	waiterCount atomic.Int64
	mu          sync.Mutex
	// waiters are the calls of Await that wait for room, the oldest first.
	waiters []*waiter
}

// waiter is a call of Await that waits for room. granted is closed once its bytes are reserved.
type waiter struct {
	bytes   int64
	granted chan struct{}
	// passed is the sum of the bytes that later calls have got before this one.
	passed int64
}

// NewReservation returns an empty reservation for one request.
func (a *Account) NewReservation() *Reservation {
	return &Reservation{
		account: a,
	}
}

// Held returns the bytes held now.
func (a *Account) Held() int64 { return a.held.Load() }

// Peak returns the most bytes that were held at a time.
func (a *Account) Peak() int64 { return a.peak.Load() }

// HeldFor returns the bytes held for one use.
func (a *Account) HeldFor(use Use) int64 { return a.byUse[use].Load() }

// Waited returns how many requests had to wait for room, and how many of these got none in time.
func (a *Account) Waited() (waited, refused int64) {
	return a.waited.Load(), a.refused.Load()
}

// tryAdd reserves bytes unless more than limit would be held then; a limit of 0 sets none.
func (a *Account) tryAdd(bytes, limit int64) bool {
	for {
		held := a.held.Load()
		if limit > 0 && held+bytes > limit {
			return false
		}
		if a.held.CompareAndSwap(held, held+bytes) {
			a.updatePeak(held + bytes)
			return true
		}
	}
}

func (a *Account) updatePeak(held int64) {
	for {
		peak := a.peak.Load()
		if held <= peak || a.peak.CompareAndSwap(peak, held) {
			return
		}
	}
}

// release gives bytes back and wakes those who wait for them.
func (a *Account) release(bytes int64) {
	a.held.Add(-bytes)
	if a.waiterCount.Load() > 0 {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.grantLocked()
	}
}

// grantLocked reserves the bytes of those who wait, in order, as long as there is room. A call for which
// there is no room is passed by later ones until these have got as many bytes as it needs, so that it
// neither holds up all others nor waits for ever.
func (a *Account) grantLocked() {
	var blocked []*waiter
	// passable is how many bytes may still pass the blocked calls.
	passable := int64(math.MaxInt64)
	for i, w := range a.waiters {
		if passable <= 0 {
			blocked = append(blocked, a.waiters[i:]...)
			break
		}
		if w.bytes <= passable && a.tryAdd(w.bytes, a.Limit) {
			for _, earlier := range blocked {
				earlier.passed += w.bytes
			}
			passable -= w.bytes
			close(w.granted)
			continue
		}
		blocked = append(blocked, w)
		passable = min(passable, w.bytes-w.passed)
	}
	a.waiterCount.Add(int64(len(blocked) - len(a.waiters)))
	a.waiters = blocked
}

// await reserves bytes. It blocks while there is no room, for wait at most, and reports whether it
// reserved them. Calls are served in order, but for small ones that pass a large one.
func (a *Account) await(ctx context.Context, bytes int64, wait time.Duration) bool {
	if a.waiterCount.Load() == 0 && a.tryAdd(bytes, a.Limit) {
		return true
	}
	w := a.enqueue(bytes)
	select {
	case <-w.granted:
		return true
	default:
	}
	a.waited.Add(1)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-w.granted:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return a.dequeue(w)
}

func (a *Account) enqueue(bytes int64) *waiter {
	w := &waiter{
		bytes:   bytes,
		granted: make(chan struct{}),
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiters = append(a.waiters, w)
	a.waiterCount.Add(1)
	// Room may have been released after the caller found none and before waiterCount rose.
	a.grantLocked()
	return w
}

// dequeue ends the wait of w and reports whether its bytes were reserved meanwhile.
func (a *Account) dequeue(w *waiter) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	at := slices.Index(a.waiters, w)
	if at < 0 {
		return true
	}
	a.waiters = slices.Delete(a.waiters, at, at+1)
	a.waiterCount.Add(-1)
	a.refused.Add(1)
	// A smaller request behind this one may have room.
	a.grantLocked()
	return false
}
