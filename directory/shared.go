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
	// maxPreferredPeers is how many other routers are asked for a list at most that the
	// place in the fleet names, drawnAsked how many more that are drawn from all, and
	// otherPatience how long each may take.
	maxPreferredPeers = 4
	randomPeers       = 2
	peerTimeout       = 200 * time.Millisecond
	// discoveryInterval is how often a router that starts, and does not know the others yet, asks
	// some for a copy. It waits for loneTime until it knows any.
	discoveryInterval = 100 * time.Millisecond
	aloneWait         = 300 * time.Millisecond
	// newsMarginShare of the wait of a watch is by how much a copy has to be confirmed
	// later than what is known here to be news: those of one round differ by less.
	newsMarginShare = 0.25
)

// Shared follows the store at a few routers of the fleet, and at the others
// the copies of these: calls to the store do not grow with the fleet. A router
// whose way fails asks others; it takes the place of those that follow the store
// when nobody else has a current copy and its turn has come, or when nobody
// answers it. Set the exported fields before use.
type Shared struct {
	Name  string
	Store slipwick.Feed
	Peers Peers
	// Copy is what is known: other routers are asked for what differs from it. Without
	// one they are asked for all.
	Copy *Mirror
	// Rhythm is how long to wait; the zero value stands for the default.
	Rhythm Rhythm

	mu       sync.Mutex
	failedAt map[string]time.Time
	// turn chooses among the routers that are followed; stays says that it does
	// not go on to the next.
	turn      int
	keepsTurn bool
	// started is when this router knew the others, confirmed when the store was
	// known to be in the state known here; zero before.
	startedAt, confirmedAt time.Time
	// position is the latest that was told, reusedAt when another router's copy
	// was gone on with last that said nothing new.
	position slipwick.Position
	reusedAt time.Time
	// acting says that this router follows the store in the place of those that
	// should, checkedAt when it looked last whether they do again, triedAt when it
	// asked the store last in their place.
	acting             bool
	checkedAt, triedAt time.Time
	// avoidUntil is until when a router that should follow the store, and is
	// refused, follows others that reach it; avoided is how long it did last though
	// nobody was known to reach it.
	avoidStoreUntil time.Time
	storeBackoff    time.Duration
	// askedAgain is the confirmation after which the outings were ended last.
	retriedAllFor time.Time
	// storeFailed is when a call to the store failed last, failing says that the latest did.
	storeFailedAt time.Time
	storeFailing  bool
}

var _ slipwick.Feed = (*Shared)(nil)

// List lists from the store if this router follows it, else from the routers
// that it follows.
func (s *Shared) List(ctx context.Context) (slipwick.FeedBatch, error) {
	ctx, cancel := context.WithTimeout(ctx, s.Rhythm.orDefault().List)
	defer cancel()
	if found := s.awaitPeers(ctx); found.isCurrent {
		return s.record(found.batch, nil)
	}
	s.markStarted()
	place := s.Peers.Place()
	if s.usesStore(ctx, &place) {
		answer := s.listStore(ctx, &place, true, func(f *peerAnswer) bool { return f.hasCopy })
		s.stopActing(answer.err)
		return s.record(answer.batch, answer.err)
	}
	found := s.listPeers(ctx, s.candidates(&place), peerTimeout)
	switch {
	case s.isUsable(&found):
		return s.record(found.batch, nil)
	case found.loadingFor <= 0 && s.mayTakeOver(&place, found.answered):
		batch, err := s.takeOver(ctx, &place)
		if err == nil || !found.hasCopy {
			return s.record(batch, err)
		}
	case !found.hasCopy || !s.isEmpty():
		return slipwick.FeedBatch{}, notCurrentError()
	}
	// To a router that has none an old copy will do: what changed since comes with
	// a watch.
	return s.record(found.batch, nil)
}

// isEmpty tells whether this router has had no copy yet.
func (s *Shared) isEmpty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.position.IsZero()
}

// begin has the turns at the store count from when this router knew the others.
func (s *Shared) markStarted() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.startedAt.IsZero() {
		s.startedAt = clock.Now()
	}
}

// settle waits, at the first list, until this router knows the others: whom it follows
// depends on them, and of a few that it knows it would often be the one to ask the store.
// Meanwhile some of these may have a copy.
func (s *Shared) awaitPeers(ctx context.Context) peerAnswer {
	s.mu.Lock()
	isFirst := s.startedAt.IsZero()
	s.mu.Unlock()
	if !isFirst {
		return peerAnswer{}
	}
	ticker := time.NewTicker(discoveryInterval)
	defer ticker.Stop()
	for waited := time.Duration(0); ; waited += discoveryInterval {
		select {
		case <-s.Peers.Settled():
			return peerAnswer{}
		case <-ctx.Done():
			return peerAnswer{}
		case <-ticker.C:
		}
		others := s.withRandomPeers(nil)
		if len(others) == 0 && waited >= aloneWait {
			return peerAnswer{}
		}
		if found := s.listPeers(ctx, others, peerTimeout); found.isCurrent {
			return found
		}
	}
}

// noted remembers when the store was known to be in the state of the answer.
func (s *Shared) record(batch slipwick.FeedBatch, err error) (slipwick.FeedBatch, error) {
	if err != nil {
		return slipwick.FeedBatch{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	at := clock.Now().Add(-batch.Age)
	if batch.Hops == 0 {
		batch.Steady = s.stableForLocked()
	}
	if s.position.Before(batch.Position()) {
		s.position = batch.Position()
	}
	if at.After(s.confirmedAt) {
		s.confirmedAt = at
	}
	return batch, nil
}

// sinceReturnLocked is how long ago the store may have come back from a copy: not before it
// was known last to be in the timeline known here, or away. A router that had not asked it
// for long can't tell.
func (s *Shared) stableForLocked() time.Duration {
	last := s.confirmedAt
	if s.storeFailedAt.After(last) {
		last = s.storeFailedAt
	}
	if since := clock.Since(last); since <= s.Rhythm.orDefault().Age {
		return since
	}
	return 0
}

// Watch waits for changes at another router or the store.
func (s *Shared) Watch(ctx context.Context, after slipwick.Position, wait time.Duration) (slipwick.FeedBatch, error) {
	place := s.Peers.Place()
	if !s.usesStore(ctx, &place) {
		return s.watchPeers(ctx, &place, after)
	}
	batch, err := s.watchStore(ctx, after, wait)
	s.recordStoreResult(err)
	if err == nil || ctx.Err() != nil || slipwick.IsKind(err, slipwick.KindHistoryLost) {
		return s.record(batch, err)
	}
	s.stopActing(err)
	found := s.listPeers(ctx, s.candidates(&place), s.Rhythm.orDefault().RelayMargin)
	s.avoidStore(s.isFresher(&found))
	if !s.isUsable(&found) {
		return slipwick.FeedBatch{}, err
	}
	return s.record(found.batch, nil)
}

// watchRouters waits at the router whose turn it is; when it fails, the others
// are asked for lists. Time was lost then, and a watch brings every version since,
// which a slow link may not carry in time when versions come in quick succession;
// a list brings the newest alone.
func (s *Shared) watchPeers(
	ctx context.Context, place *fleet.Place, after slipwick.Position,
) (slipwick.FeedBatch, error) {
	rhythm := s.Rhythm.orDefault()
	candidates := s.candidates(place)
	answered, isLoading := false, false
	if len(candidates) > 0 {
		wait := s.boundRelayWait(place, rhythm.Relay)
		watched := s.queryPeer(ctx, candidates[0], wait+rhythm.RelayMargin, func() {},
			func(ctx context.Context, f slipwick.Feed) (slipwick.FeedBatch, error) {
				return f.Watch(ctx, after, wait)
			})
		if watched.isCurrent {
			s.setKeepsTurn(watched.batch.Age > rhythm.Watch)
			s.avoidIfOthersReachIt(place, &watched.batch)
			return s.record(watched.batch, nil)
		}
		others := s.listPeers(ctx, candidates[1:], rhythm.RelayMargin)
		if s.isUsable(&others) {
			return s.record(others.batch, nil)
		}
		answered = watched.answered || others.answered
		isLoading = watched.loadingFor > 0 || others.loadingFor > 0
	}
	if ctx.Err() == nil && !isLoading && s.mayTakeOver(place, answered) {
		return s.record(s.takeOver(ctx, place))
	}
	s.stopAvoidingStore()
	return slipwick.FeedBatch{}, notCurrentError()
}

// stay has the router that was watched last watched once more, if it is overdue:
// it waits itself for a router that is silent, and will soon have found another.
// The next one by turns may be that silent router.
func (s *Shared) setKeepsTurn(overdue bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keepsTurn = overdue
}

// askAllAgainLocked ends the outings once in a silence of the store: nobody knows more
// than this router, and those that had no current copy a moment ago may be the first to
// have one.
func (s *Shared) retryAllPeersLocked() {
	if s.retriedAllFor.Equal(s.confirmedAt) {
		return
	}
	s.retriedAllFor = s.confirmedAt
	clear(s.failedAt)
}

// isNews tells whether a current copy was confirmed since the store answered here: it
// reaches others. What they knew before it fell silent for this router says nothing of
// that, and routers that took it for a sign of it would all wait for each other.
func (s *Shared) isFresher(f *peerAnswer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return f.isCurrent && clock.Now().Add(-f.batch.Age).After(s.confirmedAt.Add(s.newsMargin()))
}

// newsMargin is by how much a copy has to be confirmed later than what is known here to be
// news.
func (s *Shared) newsMargin() time.Duration {
	return time.Duration(newsMarginShare * float64(s.Rhythm.orDefault().Watch))
}

// isOfUse tells whether a current copy of a router that this one does not follow is
// to be gone on with. Copies are confirmed with every round of watches: one that is
// older waits itself for a router that is silent. Others know for a while what they
// knew when the store fell silent: to be told it again is of use, but not without a
// pause.
func (s *Shared) isUsable(f *peerAnswer) bool {
	if !f.isCurrent {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	maxAge, now := s.Rhythm.orDefault().Watch, clock.Now()
	switch {
	case s.position.Before(f.batch.Position()):
		return true
	case f.batch.Age > maxAge:
		return false
	case now.Add(-f.batch.Age).After(s.confirmedAt.Add(s.newsMargin())):
		return true
	case now.Sub(s.reusedAt) < minBackoff:
		return false
	}
	s.reusedAt = now
	s.retryAllPeersLocked()
	return true
}
