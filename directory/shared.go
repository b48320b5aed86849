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
	// othersAsked is how many other routers are asked for a list at most that the
	// place in the fleet names, drawnAsked how many more that are drawn from all, and
	// otherPatience how long each may take.
	othersAsked   = 4
	drawnAsked    = 2
	otherPatience = 200 * time.Millisecond
	// settleTime is how often a router that starts, and does not know the others yet, asks
	// some for a copy. It waits for loneTime until it knows any.
	settleTime = 100 * time.Millisecond
	loneTime   = 300 * time.Millisecond
	// newsShare of the wait of a watch is by how much a copy has to be confirmed
	// later than what is known here to be news: those of one round differ by less.
	newsShare = 0.25
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

	mu     sync.Mutex
	failed map[string]time.Time
	// turn chooses among the routers that are followed; stays says that it does
	// not go on to the next.
	turn  int
	stays bool
	// started is when this router knew the others, confirmed when the store was
	// known to be in the state known here; zero before.
	started, confirmed time.Time
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
	avoidUntil time.Time
	avoided    time.Duration
	// askedAgain is the confirmation after which the outings were ended last.
	askedAgain time.Time
	// storeFailed is when a call to the store failed last, failing says that the latest did.
	storeFailed time.Time
	failing     bool
}

var _ slipwick.Feed = (*Shared)(nil)

// List lists from the store if this router follows it, else from the routers
// that it follows.
func (s *Shared) List(ctx context.Context) (slipwick.FeedBatch, error) {
	ctx, cancel := context.WithTimeout(ctx, s.Rhythm.orDefault().List)
	defer cancel()
	if found := s.settle(ctx); found.current {
		return s.noted(found.batch, nil)
	}
	s.begin()
	place := s.Peers.Place()
	if s.usesStore(ctx, &place) {
		answer := s.listStore(ctx, &place, true, func(f *found) bool { return f.any })
		s.stopActing(answer.err)
		return s.noted(answer.batch, answer.err)
	}
	found := s.listRouters(ctx, s.candidates(&place), otherPatience)
	switch {
	case s.isOfUse(&found):
		return s.noted(found.batch, nil)
	case found.busyFor <= 0 && s.mayTakeOver(&place, found.answered):
		batch, err := s.takeOver(ctx, &place)
		if err == nil || !found.any {
			return s.noted(batch, err)
		}
	case !found.any || !s.isEmpty():
		return slipwick.FeedBatch{}, notCurrent()
	}
	// To a router that has none an old copy will do: what changed since comes with
	// a watch.
	return s.noted(found.batch, nil)
}

// isEmpty tells whether this router has had no copy yet.
func (s *Shared) isEmpty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.position.IsZero()
}

// begin has the turns at the store count from when this router knew the others.
func (s *Shared) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.started.IsZero() {
		s.started = clock.Now()
	}
}

// settle waits, at the first list, until this router knows the others: whom it follows
// depends on them, and of a few that it knows it would often be the one to ask the store.
// Meanwhile some of these may have a copy.
func (s *Shared) settle(ctx context.Context) found {
	s.mu.Lock()
	isFirst := s.started.IsZero()
	s.mu.Unlock()
	if !isFirst {
		return found{}
	}
	ticker := time.NewTicker(settleTime)
	defer ticker.Stop()
	for waited := time.Duration(0); ; waited += settleTime {
		select {
		case <-s.Peers.Settled():
			return found{}
		case <-ctx.Done():
			return found{}
		case <-ticker.C:
		}
		others := s.withSome(nil)
		if len(others) == 0 && waited >= loneTime {
			return found{}
		}
		if found := s.listRouters(ctx, others, otherPatience); found.current {
			return found
		}
	}
}

// noted remembers when the store was known to be in the state of the answer.
func (s *Shared) noted(batch slipwick.FeedBatch, err error) (slipwick.FeedBatch, error) {
	if err != nil {
		return slipwick.FeedBatch{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	at := clock.Now().Add(-batch.Age)
	if batch.Hops == 0 {
		batch.Steady = s.sinceReturnLocked()
	}
	if s.position.Before(batch.Position()) {
		s.position = batch.Position()
	}
	if at.After(s.confirmed) {
		s.confirmed = at
	}
	return batch, nil
}

// sinceReturnLocked is how long ago the store may have come back from a copy: not before it
// was known last to be in the timeline known here, or away. A router that had not asked it
// for long can't tell.
func (s *Shared) sinceReturnLocked() time.Duration {
	last := s.confirmed
	if s.storeFailed.After(last) {
		last = s.storeFailed
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
		return s.watchRouters(ctx, &place, after)
	}
	batch, err := s.watchStore(ctx, after, wait)
	s.noteStore(err)
	if err == nil || ctx.Err() != nil || slipwick.IsKind(err, slipwick.KindHistoryLost) {
		return s.noted(batch, err)
	}
	s.stopActing(err)
	found := s.listRouters(ctx, s.candidates(&place), s.Rhythm.orDefault().RelayMargin)
	s.avoidStore(s.isNews(&found))
	if !s.isOfUse(&found) {
		return slipwick.FeedBatch{}, err
	}
	return s.noted(found.batch, nil)
}

// watchRouters waits at the router whose turn it is; when it fails, the others
// are asked for lists. Time was lost then, and a watch brings every version since,
// which a slow link may not carry in time when versions come in quick succession;
// a list brings the newest alone.
func (s *Shared) watchRouters(
	ctx context.Context, place *fleet.Place, after slipwick.Position,
) (slipwick.FeedBatch, error) {
	rhythm := s.Rhythm.orDefault()
	candidates := s.candidates(place)
	answered, isBusy := false, false
	if len(candidates) > 0 {
		wait := s.untilStore(place, rhythm.Relay)
		watched := s.relayed(ctx, candidates[0], wait+rhythm.RelayMargin, func() {},
			func(ctx context.Context, f slipwick.Feed) (slipwick.FeedBatch, error) {
				return f.Watch(ctx, after, wait)
			})
		if watched.current {
			s.stay(watched.batch.Age > rhythm.Watch)
			s.avoidIfOthersReachIt(place, &watched.batch)
			return s.noted(watched.batch, nil)
		}
		others := s.listRouters(ctx, candidates[1:], rhythm.RelayMargin)
		if s.isOfUse(&others) {
			return s.noted(others.batch, nil)
		}
		answered = watched.answered || others.answered
		isBusy = watched.busyFor > 0 || others.busyFor > 0
	}
	if ctx.Err() == nil && !isBusy && s.mayTakeOver(place, answered) {
		return s.noted(s.takeOver(ctx, place))
	}
	s.useStoreAgain()
	return slipwick.FeedBatch{}, notCurrent()
}

// stay has the router that was watched last watched once more, if it is overdue:
// it waits itself for a router that is silent, and will soon have found another.
// The next one by turns may be that silent router.
func (s *Shared) stay(overdue bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stays = overdue
}

// askAllAgainLocked ends the outings once in a silence of the store: nobody knows more
// than this router, and those that had no current copy a moment ago may be the first to
// have one.
func (s *Shared) askAllAgainLocked() {
	if s.askedAgain.Equal(s.confirmed) {
		return
	}
	s.askedAgain = s.confirmed
	clear(s.failed)
}

// isNews tells whether a current copy was confirmed since the store answered here: it
// reaches others. What they knew before it fell silent for this router says nothing of
// that, and routers that took it for a sign of it would all wait for each other.
func (s *Shared) isNews(f *found) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return f.current && clock.Now().Add(-f.batch.Age).After(s.confirmed.Add(s.newsMargin()))
}

// newsMargin is by how much a copy has to be confirmed later than what is known here to be
// news.
func (s *Shared) newsMargin() time.Duration {
	return time.Duration(newsShare * float64(s.Rhythm.orDefault().Watch))
}

// isOfUse tells whether a current copy of a router that this one does not follow is
// to be gone on with. Copies are confirmed with every round of watches: one that is
// older waits itself for a router that is silent. Others know for a while what they
// knew when the store fell silent: to be told it again is of use, but not without a
// pause.
func (s *Shared) isOfUse(f *found) bool {
	if !f.current {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	watch, now := s.Rhythm.orDefault().Watch, clock.Now()
	switch {
	case s.position.Before(f.batch.Position()):
		return true
	case f.batch.Age > watch:
		return false
	case now.Add(-f.batch.Age).After(s.confirmed.Add(s.newsMargin())):
		return true
	case now.Sub(s.reusedAt) < firstPause:
		return false
	}
	s.reusedAt = now
	s.askAllAgainLocked()
	return true
}
