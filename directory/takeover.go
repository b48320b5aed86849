package directory

import (
	"context"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/clock"
	"github.com/slipwick/slipwick/fleet"
)

const (
	// At a start without any copy, the routers whose takeover turn is 0 ask the store after
	// startTurnDelay, and those of each further turn startTurnStep later.
	startTurnDelay = 500 * time.Millisecond
	startTurnStep  = 250 * time.Millisecond
	// checkFactor times Timing.MaxAge is how long a router that took over from the watchers reads
	// from the store, or a watcher avoids it, before it checks whether it still has to.
	checkFactor = 1.5
)

// mayTakeOver reports whether this router may take over from the watchers after no other router
// gave it a current copy. If none responded at all, it is cut off from the others and need not wait.
// If some responded, they have no current copy either, perhaps because the store is down for all,
// and routers ask it in turns.
func (s *SharedFeed) mayTakeOver(relayPosition *fleet.RelayPosition, responded bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	timing := s.Timing.orDefault()
	since, first, step := s.confirmedAt, timing.WatchWait+timing.WatchMargin, timing.TurnStep
	if since.IsZero() {
		since, first, step = s.startedAt, startTurnDelay, startTurnStep
	}
	now := clock.Now()
	if !responded {
		return !s.confirmedAt.IsZero() || now.Sub(since) >= first
	}
	if relayPosition.TakeoverTurn < 0 || now.Sub(s.takeoverTriedAt) < timing.MaxAge {
		return false
	}
	return now.Sub(since) >= first+time.Duration(relayPosition.TakeoverTurn)*step
}

// takeOver lists from the store in place of the watchers, unless one of them gets a current
// copy in the meantime.
func (s *SharedFeed) takeOver(ctx context.Context, relayPosition *fleet.RelayPosition) (slipwick.FeedBatch, error) {
	timing := s.Timing.orDefault()
	s.mu.Lock()
	s.takeoverTriedAt = clock.Now()
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, timing.ListTimeout)
	defer cancel()
	result := s.listStore(ctx, relayPosition, false, s.isUsable)
	if result.err != nil || !result.fromStore {
		return result.batch, result.err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hasTakenOver, s.watchersCheckedAt = true, clock.Now()
	return result.batch, nil
}

// usesStore reports whether this router calls the store itself. A router that has taken over from
// the watchers checks from time to time whether these have a current copy again.
func (s *SharedFeed) usesStore(ctx context.Context, relayPosition *fleet.RelayPosition) bool {
	s.mu.Lock()
	now := clock.Now()
	watches, hasTakenOver := relayPosition.IsWatcher && now.After(s.avoidStoreUntil), s.hasTakenOver
	isDue := now.Sub(s.watchersCheckedAt) > time.Duration(checkFactor*float64(s.Timing.orDefault().MaxAge))
	if hasTakenOver && isDue {
		s.watchersCheckedAt = now
	}
	s.mu.Unlock()
	if watches || !hasTakenOver || !isDue {
		return watches || hasTakenOver
	}
	found := s.listPeers(ctx, relayPosition.Relays, peerTimeout)
	// The routers whose takeover turn is 0 continue until a watcher follows the store again; the
	// others may follow these.
	if !found.isCurrent || relayPosition.TakeoverTurn == 0 && found.batch.Hops > 1 {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hasTakenOver = false
	return false
}

// endTakeover ends the takeover from the watchers if a call to the store failed. The router then
// waits for its turn again.
func (s *SharedFeed) endTakeover(failure error) {
	if failure == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hasTakenOver = false
}

// avoidStore makes a watcher that the store does not respond to follow other routers, for checkFactor
// times Timing.MaxAge if these reach the store. Otherwise the store may be back for all at any
// moment, so it is asked again after storeBackoff, a shorter pause that doubles each time.
func (s *SharedFeed) avoidStore(othersReachIt bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hasTakenOver = false
	if othersReachIt {
		s.avoidStoreUntil = clock.Now().Add(time.Duration(checkFactor * float64(s.Timing.orDefault().MaxAge)))
		return
	}
	s.storeBackoff = min(max(2*s.storeBackoff, minBackoff), maxBackoff)
	s.avoidStoreUntil = clock.Now().Add(s.storeBackoff)
}

// avoidStoreIfOthersReachIt makes a watcher avoid the store for checkFactor times Timing.MaxAge once
// it learns that the store has responded to other routers since it failed here.
func (s *SharedFeed) avoidStoreIfOthersReachIt(relayPosition *fleet.RelayPosition, batch *slipwick.FeedBatch) {
	s.mu.Lock()
	othersReachIt := relayPosition.IsWatcher && !s.storeFailedAt.IsZero() &&
		clock.Now().Add(-batch.Age).After(s.storeFailedAt)
	s.mu.Unlock()
	if othersReachIt {
		s.avoidStore(true)
	}
}

// relayWait returns for how long to wait at another router. The older the local copy, the shorter the
// wait, since this router may be unresponsive like the one before. The wait of a watcher ends when it
// asks the store again.
func (s *SharedFeed) relayWait(relayPosition *fleet.RelayPosition) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	timing := s.Timing.orDefault()
	left := timing.MaxWaitingAge - timing.RelayMargin - clock.Since(s.confirmedAt)
	wait := min(timing.RelayWait, max(left, timing.BatchDelay))
	if left := s.avoidStoreUntil.Sub(clock.Now()); relayPosition.IsWatcher && left > 0 {
		return min(wait, left)
	}
	return wait
}

// recordStoreResult resets storeBackoff when the store responds, and records a failure when it does
// not. A lost history is no failure of the store.
func (s *SharedFeed) recordStoreResult(failure error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case failure == nil:
		s.storeBackoff, s.storeFailing = 0, false
	case !slipwick.IsKind(failure, slipwick.KindHistoryLost):
		s.storeFailedAt, s.storeFailing = clock.Now(), true
	}
}

// isStoreFailing reports whether the latest call to the store failed.
func (s *SharedFeed) isStoreFailing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeFailing
}

// stopAvoidingStore lets a watcher ask the store again at once, since the other routers have no
// current copy either.
func (s *SharedFeed) stopAvoidingStore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.avoidStoreUntil = time.Time{}
}
