package directory

import (
	"context"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/clock"
	"github.com/slipwick/slipwick/fleet"
)

const (
	// startTurn is when the first routers beyond those that follow the store ask
	// it at a start, if nobody has a copy by then, and startStep how much later
	// the next are.
	startTurnDelay = 500 * time.Millisecond
	startTurnStep  = 250 * time.Millisecond
	// checkFactor times the age of a copy that counts as current is how long a
	// router stays in the place of those that follow the store, or they out of it,
	// before it looks again.
	checkFactor = 1.5
)

// mayTakeOver tells whether this router, to which no other gave a current copy,
// may ask the store instead. Without any answer it is cut off from the others,
// and goes at once. With answers the others lack a copy too, and routers go by
// turns: the store may be away for all of them.
func (s *Shared) mayTakeOver(place *fleet.Place, answered bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	rhythm := s.Rhythm.orDefault()
	since, first, step := s.confirmedAt, rhythm.Watch+rhythm.Margin, rhythm.TurnStep
	if since.IsZero() {
		since, first, step = s.startedAt, startTurnDelay, startTurnStep
	}
	now := clock.Now()
	if !answered {
		return !s.confirmedAt.IsZero() || now.Sub(since) >= first
	}
	if place.Turn < 0 || now.Sub(s.triedAt) < rhythm.Age {
		return false
	}
	return now.Sub(since) >= first+time.Duration(place.Turn)*step
}

// takeOver lists from the store in the place of the routers that should, unless it
// answers one of these meanwhile.
func (s *Shared) takeOver(ctx context.Context, place *fleet.Place) (slipwick.FeedBatch, error) {
	rhythm := s.Rhythm.orDefault()
	s.mu.Lock()
	s.triedAt = clock.Now()
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, rhythm.List)
	defer cancel()
	answer := s.listStore(ctx, place, false, s.isUsable)
	if answer.err != nil || !answer.fromStore {
		return answer.batch, answer.err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acting, s.checkedAt = true, clock.Now()
	return answer.batch, nil
}

// usesStore tells whether this router asks the store itself. One that does in the
// place of others looks now and then whether these do again.
func (s *Shared) usesStore(ctx context.Context, place *fleet.Place) bool {
	s.mu.Lock()
	now := clock.Now()
	watches, acting := place.Watches && now.After(s.avoidStoreUntil), s.acting
	isDue := now.Sub(s.checkedAt) > time.Duration(checkFactor*float64(s.Rhythm.orDefault().Age))
	if acting && isDue {
		s.checkedAt = now
	}
	s.mu.Unlock()
	if watches || !acting || !isDue {
		return watches || acting
	}
	found := s.listPeers(ctx, place.Relays, peerTimeout)
	// The first that take the watchers' place stay there until a watcher follows
	// the store again; the others may follow these.
	if !found.isCurrent || place.Turn == 0 && found.batch.Hops > 1 {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acting = false
	return false
}

// stopActing has a router no longer ask the store in the place of others when the
// store does not answer it: it waits for its turn again.
func (s *Shared) stopActing(failure error) {
	if failure == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acting = false
}

// avoidStore has a router that the store refuses follow others, for long if they reach
// it. Else the store may be back for all in a moment: it is asked again after a pause that
// doubles.
func (s *Shared) avoidStore(othersReachIt bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acting = false
	if othersReachIt {
		s.avoidStoreUntil = clock.Now().Add(time.Duration(checkFactor * float64(s.Rhythm.orDefault().Age)))
		return
	}
	s.storeBackoff = min(max(2*s.storeBackoff, minBackoff), maxBackoff)
	s.avoidStoreUntil = clock.Now().Add(s.storeBackoff)
}

// avoidIfOthersReachIt has a router that should follow the store leave it alone for long once
// it hears that the store has answered others since it failed here.
func (s *Shared) avoidIfOthersReachIt(place *fleet.Place, batch *slipwick.FeedBatch) {
	s.mu.Lock()
	othersReachIt := place.Watches && !s.storeFailedAt.IsZero() && clock.Now().Add(-batch.Age).After(s.storeFailedAt)
	s.mu.Unlock()
	if othersReachIt {
		s.avoidStore(true)
	}
}

// untilStore bounds the wait at another router by when this one, if it should follow the
// store, asks it again.
func (s *Shared) boundRelayWait(place *fleet.Place, wait time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if left := s.avoidStoreUntil.Sub(clock.Now()); place.Watches && left > 0 {
		return min(wait, left)
	}
	return wait
}

// noteStore ends the doubling once the store answers, and notes when it does not.
func (s *Shared) recordStoreResult(failure error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case failure == nil:
		s.storeBackoff, s.storeFailing = 0, false
	case !slipwick.IsKind(failure, slipwick.KindHistoryLost):
		s.storeFailedAt, s.storeFailing = clock.Now(), true
	}
}

// hasFailed tells whether the latest call to the store did.
func (s *Shared) isStoreFailing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeFailing
}

// useStoreAgain ends that: the others have no current copy either.
func (s *Shared) stopAvoidingStore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.avoidStoreUntil = time.Time{}
}
