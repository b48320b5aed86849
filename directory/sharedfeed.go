package directory

import (
	"context"
	"sync"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/clock"
	"github.com/slipwick/slipwick/fleet"
)

const (
	// A list asks at most maxPreferredPeers of the routers that the position in the relay tree
	// names, then randomPeers drawn from all others, each for up to peerTimeout.
	maxPreferredPeers = 4
	randomPeers       = 2
	peerTimeout       = 200 * time.Millisecond
	// A router that starts and has not discovered the other routers yet asks some for a copy
	// every discoveryInterval. If it knows none after aloneWait, it stops waiting for them.
	discoveryInterval = 100 * time.Millisecond
	aloneWait         = 300 * time.Millisecond
	// freshMarginShare is the part of a watch's wait by which another router's copy has to be
	// confirmed later than the local one to count as fresher. Copies that were confirmed in the
	// same round differ by less.
	freshMarginShare = 0.25
)

// SharedFeed is a feed that a few routers of the fleet, the watchers, read from the store. All
// others read it from the copies of other routers, so that the load on the store does not grow
// with the fleet. A router whose peers fail asks other ones. It takes over from the watchers, that
// is, reads from the store in their place, if all peers lack a current copy and its turn has come
// (fleet.RelayPosition.TakeoverTurn), or if no peer responds. Set the exported fields before use.
type SharedFeed struct {
	FeedName string
	Store    slipwick.Feed
	Peers    Peers
	// Mirror is the local copy: other routers and the store are then asked for the difference
	// from it where possible. If nil, they are asked for whole lists.
	Mirror *Mirror
	// Timing has the wait times; the zero value stands for the default.
	Timing Timing
	// OnRelayUnresponsive is called, unless nil, when the router with the ID did not respond to a
	// watch; age is that of the local copy.
	OnRelayUnresponsive func(id string, waited, age time.Duration)

	mu sync.Mutex
	// failedAt is when each peer failed last, by ID.
	failedAt map[string]time.Time
	// relayIndex selects the relay to follow in rotation. keepsRelay suppresses its next advance.
	relayIndex int
	keepsRelay bool
	// startedAt is when the first list had discovered the other routers, or stopped waiting for
	// them. confirmedAt is when the store was last known to be in the state known here. Both are
	// zero before.
	startedAt, confirmedAt time.Time
	// position is the latest position returned. reusedAt is when a copy of another router that
	// had nothing new was last returned.
	position slipwick.Position
	reusedAt time.Time
	// hasTakenOver is true while this router reads from the store in place of the watchers.
	// watchersCheckedAt is when it last checked whether the watchers have a current copy again,
	// takeoverTriedAt when it last tried to take over.
	hasTakenOver                       bool
	watchersCheckedAt, takeoverTriedAt time.Time
	// avoidStoreUntil is until when a watcher that cannot reach the store follows routers that
	// can. storeBackoff is the latest such pause when no other router was known to reach the
	// store either.
	avoidStoreUntil time.Time
	storeBackoff    time.Duration
	// retriedAllFor is the value of confirmedAt at which failedAt was last cleared: that is done
	// once in an outage of the store.
	retriedAllFor time.Time
	// storeFailedAt is when a call to the store last failed. storeFailing is true if the latest
	// one did.
	storeFailedAt time.Time
	storeFailing  bool
}

var _ slipwick.Feed = (*SharedFeed)(nil)

// List lists from the store if this router follows it, else from other routers. Without a local
// copy, a stale copy is returned if no current one is available.
func (s *SharedFeed) List(ctx context.Context) (slipwick.FeedBatch, error) {
	ctx, cancel := context.WithTimeout(ctx, s.Timing.orDefault().ListTimeout)
	defer cancel()
	if found := s.awaitPeers(ctx); found.isCurrent {
		return s.record(found.heldBatch(), nil)
	}
	s.markStarted()
	relayPosition := s.Peers.RelayPosition()
	if s.usesStore(ctx, &relayPosition) {
		result := s.listStore(ctx, &relayPosition, true, func(f *peerResponse) bool { return f.any })
		s.endTakeover(result.err)
		return s.record(result.batch, result.err)
	}
	found := s.listPeers(ctx, s.candidates(&relayPosition), peerTimeout)
	switch {
	case s.isUsable(&found):
		return s.record(found.heldBatch(), nil)
	case found.loadingFor <= 0 && s.mayTakeOver(&relayPosition, found.responded):
		batch, err := s.takeOver(ctx, &relayPosition)
		if err == nil || !found.any {
			return s.record(batch, err)
		}
	case !found.any || !s.isEmpty():
		return slipwick.FeedBatch{}, notCurrentError()
	}
	// A router without a copy accepts a stale one; the following watch brings the changes
	// since.
	return s.record(found.heldBatch(), nil)
}

// isEmpty reports whether this router has had no copy yet.
func (s *SharedFeed) isEmpty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.position.IsZero()
}

// markStarted starts the wait for this router's turn at the store, at the first call.
func (s *SharedFeed) markStarted() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.startedAt.IsZero() {
		s.startedAt = clock.Now()
	}
}

// awaitPeers blocks, at the first list, until this router has discovered the others. Which
// routers it follows depends on them; with only a few known it would often conclude that it has
// to ask the store itself. In the meantime it asks the known ones for a current copy.
func (s *SharedFeed) awaitPeers(ctx context.Context) peerResponse {
	s.mu.Lock()
	isFirst := s.startedAt.IsZero()
	s.mu.Unlock()
	if !isFirst {
		return peerResponse{}
	}
	ticker := time.NewTicker(discoveryInterval)
	defer ticker.Stop()
	for waited := time.Duration(0); ; waited += discoveryInterval {
		select {
		case <-s.Peers.FleetKnown():
			return peerResponse{}
		case <-ctx.Done():
			return peerResponse{}
		case <-ticker.C:
		}
		// The ticker may be due too if the fleet became known while other routers were asked.
		if s.isFleetKnown() {
			return peerResponse{}
		}
		others := s.withRandomPeers(nil)
		if len(others) == 0 && waited >= aloneWait {
			return peerResponse{}
		}
		if found := s.listPeers(ctx, others, peerTimeout); found.isCurrent {
			return found
		}
	}
}

// isFleetKnown reports whether this router has discovered the others.
func (s *SharedFeed) isFleetKnown() bool {
	select {
	case <-s.Peers.FleetKnown():
		return true
	default:
		return false
	}
}

// record updates confirmedAt and position from a response.
func (s *SharedFeed) record(batch slipwick.FeedBatch, err error) (slipwick.FeedBatch, error) {
	if err != nil {
		return slipwick.FeedBatch{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	at := clock.Now().Add(-batch.Age)
	if batch.Hops == 0 {
		batch.StableFor = s.sinceRestoreLocked()
	}
	if s.position.Before(batch.Position()) {
		s.position = batch.Position()
	}
	if at.After(s.confirmedAt) {
		s.confirmedAt = at
	}
	return batch, nil
}

// sinceRestoreLocked returns the longest time that can have passed since the store was restored
// from a backup, if it was. It assumes that a store is restored only after an outage, and so neither
// before it was last known to be in the known timeline nor before the latest call to it that
// failed. It returns 0, for unknown, if both are longer than Timing.MaxAge ago: a router that made
// no call for that long cannot tell.
func (s *SharedFeed) sinceRestoreLocked() time.Duration {
	last := s.confirmedAt
	if s.storeFailedAt.After(last) {
		last = s.storeFailedAt
	}
	if since := clock.Since(last); since <= s.Timing.orDefault().MaxAge {
		return since
	}
	return 0
}

// Watch waits for changes at the store if this router follows it, else at another router. If
// the store fails, it returns a current copy of another router if there is one.
func (s *SharedFeed) Watch(
	ctx context.Context, after slipwick.Position, wait time.Duration,
) (slipwick.FeedBatch, error) {
	relayPosition := s.Peers.RelayPosition()
	if !s.usesStore(ctx, &relayPosition) {
		return s.watchPeers(ctx, &relayPosition, after)
	}
	batch, err := s.watchStore(ctx, after, wait)
	s.recordStoreResult(err)
	if err == nil || ctx.Err() != nil || slipwick.IsKind(err, slipwick.KindHistoryLost) {
		return s.record(batch, err)
	}
	s.endTakeover(err)
	found := s.listPeers(ctx, s.candidates(&relayPosition), s.Timing.orDefault().RelayMargin)
	s.avoidStore(s.isFresher(&found))
	if !s.isUsable(&found) {
		return slipwick.FeedBatch{}, err
	}
	return s.record(found.heldBatch(), nil)
}

// watchPeers watches the copy of the first candidate, usually the next relay in rotation. If that
// fails, it lists from other routers instead of watching them: time has been lost, and a watch
// brings every version since the position, which a slow link may not carry in time when versions
// follow each other quickly. A list has the newest version only.
func (s *SharedFeed) watchPeers(
	ctx context.Context, relayPosition *fleet.RelayPosition, after slipwick.Position,
) (slipwick.FeedBatch, error) {
	candidates := s.candidates(relayPosition)
	responded, isLoading := false, false
	if len(candidates) > 0 {
		watched := s.watchPeer(ctx, candidates[0], after, s.relayWait(relayPosition))
		if watched.isCurrent {
			s.setKeepsRelay(watched.batch.Age > s.Timing.orDefault().WatchWait)
			s.avoidStoreIfOthersReachIt(relayPosition, &watched.batch)
			return s.record(watched.batch, nil)
		}
		responded, isLoading = watched.responded, watched.loadingFor > 0
		candidates = candidates[1:]
	}
	if len(candidates) > 0 {
		listed := s.listPeers(ctx, candidates, s.Timing.orDefault().RelayMargin)
		if s.isUsable(&listed) {
			return s.record(listed.heldBatch(), nil)
		}
		responded = responded || listed.responded
		isLoading = isLoading || listed.loadingFor > 0
	}
	if ctx.Err() == nil && !isLoading && s.mayTakeOver(relayPosition, responded) {
		return s.record(s.takeOver(ctx, relayPosition))
	}
	s.stopAvoidingStore()
	return slipwick.FeedBatch{}, notCurrentError()
}

// watchPeer watches the copy of one router, and reports if it does not respond.
func (s *SharedFeed) watchPeer(
	ctx context.Context, id string, after slipwick.Position, wait time.Duration,
) peerResponse {
	startedAt := clock.Now()
	watched := s.queryPeer(ctx, id, wait+s.Timing.orDefault().RelayMargin, func() {},
		func(ctx context.Context, f slipwick.Feed) (slipwick.FeedBatch, error) {
			return f.Watch(ctx, after, wait)
		})
	if !watched.responded && ctx.Err() == nil {
		s.reportUnresponsive(id, clock.Since(startedAt))
	}
	return watched
}

// reportUnresponsive calls OnRelayUnresponsive.
func (s *SharedFeed) reportUnresponsive(id string, waited time.Duration) {
	if s.OnRelayUnresponsive == nil {
		return
	}
	s.mu.Lock()
	age := clock.Since(s.confirmedAt)
	s.mu.Unlock()
	s.OnRelayUnresponsive(id, waited, age)
}

// setKeepsRelay makes the next call use the same relay again if the relay's copy is overdue, which
// means older than a watch of the store waits. Such a relay is itself waiting for an unresponsive
// router and will soon have found another one. The next relay in rotation may be that unresponsive
// router.
func (s *SharedFeed) setKeepsRelay(isOverdue bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keepsRelay = isOverdue
}

// retryAllPeersLocked clears the back-off of all failed peers, once for each value of
// confirmedAt. It is called when a copy of another router had nothing new: the peers that lacked a
// current copy a moment ago may then be the first to have a newer one.
func (s *SharedFeed) retryAllPeersLocked() {
	if s.retriedAllFor.Equal(s.confirmedAt) {
		return
	}
	s.retriedAllFor = s.confirmedAt
	clear(s.failedAt)
}

// isFresher reports whether a current copy was confirmed later than the local one, which proves
// that the store responds to other routers. A copy from before the store stopped responding here
// proves nothing; if it counted, all routers would wait for each other.
func (s *SharedFeed) isFresher(f *peerResponse) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return f.isCurrent && clock.Now().Add(-f.batch.Age).After(s.confirmedAt.Add(s.freshMargin()))
}

// freshMargin returns by how much a copy has to be confirmed later than the local one to count
// as fresher.
func (s *SharedFeed) freshMargin() time.Duration {
	return time.Duration(freshMarginShare * float64(s.Timing.orDefault().WatchWait))
}

// isUsable reports whether to continue with the current copy of a router that this one does not
// follow. Copies are confirmed with every round of watches; one that is older comes from a router
// that is itself waiting for an unresponsive one. For a while after the store has stopped
// responding, the copies of other routers are current but have nothing new. Such a copy confirms
// that the local one is still in the store's state, and is used at most once per minBackoff.
func (s *SharedFeed) isUsable(f *peerResponse) bool {
	if !f.isCurrent {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	maxAge, now := s.Timing.orDefault().WatchWait, clock.Now()
	switch {
	case s.position.Before(f.batch.Position()):
		return true
	case f.batch.Age > maxAge:
		return false
	case now.Add(-f.batch.Age).After(s.confirmedAt.Add(s.freshMargin())):
		return true
	case now.Sub(s.reusedAt) < minBackoff:
		return false
	}
	s.reusedAt = now
	s.retryAllPeersLocked()
	return true
}
