package directory

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/slipwick/slipwick"
)

const (
	// storePatience is how long a list from the store may take before another
	// router is asked: some tens of its usual answers.
	storePatience = 300 * time.Millisecond
	// othersAsked is how many other routers are asked for a list at most, and
	// otherPatience how long each may take.
	othersAsked   = 4
	otherPatience = 200 * time.Millisecond
	// askAgain is the pause until the store is asked for a list once more while
	// it has not answered: a store that had fallen silent never answers what it
	// was asked then, while a slow one needs its time.
	askAgain = 500 * time.Millisecond
)

// Peers gives the routers to follow, in the order in which to ask them.
type Peers interface {
	// Watches tells whether this router is one of those that follow the store
	// itself.
	Watches() bool
	// Relays gives the IDs of routers to follow instead of the store.
	Relays() []string
	// Others gives the IDs of all other routers that live.
	Others() []string
	// Relay gives another router's copy of the feed.
	Relay(id, feed string) slipwick.Feed
}

// Shared follows the store at a few routers of the fleet, and at the others
// the copies of these: calls to the store do not grow with the fleet. A router
// that cannot use one way takes the other. Set the exported fields before use.
type Shared struct {
	Name  string
	Store slipwick.Feed
	Peers Peers
	// Rhythm is how long to wait; the zero value stands for the default.
	Rhythm Rhythm

	mu     sync.Mutex
	failed map[string]time.Time
	turn   int
}

var _ slipwick.Feed = (*Shared)(nil)

// listed is how one list ended.
type listed struct {
	batch slipwick.FeedBatch
	err   error
}

// List lists from the store, or from another router if the store fails or lets
// it wait.
func (s *Shared) List(ctx context.Context) (slipwick.FeedBatch, error) {
	within := s.Rhythm.orDefault().List
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	fromStore := make(chan listed, within/askAgain+1)
	pending := 0
	ask := func() {
		pending++
		go func() {
			batch, err := s.Store.List(ctx)
			fromStore <- listed{
				batch: batch,
				err:   err,
			}
		}()
	}
	ask()
	patience := time.NewTimer(storePatience)
	defer patience.Stop()
	again := time.NewTicker(askAgain)
	defer again.Stop()
	for askedOthers := false; ; {
		var failure error
		select {
		case <-again.C:
			ask()
			continue
		case <-patience.C:
		case a := <-fromStore:
			if a.err == nil {
				return a.batch, nil
			}
			pending--
			failure = a.err
		}
		if !askedOthers {
			askedOthers = true
			if batch, ok := s.listOthers(ctx); ok {
				return batch, nil
			}
		}
		if failure != nil && pending == 0 {
			return slipwick.FeedBatch{}, failure
		}
	}
}

// listOthers lists from a few of the other routers, one after the other. An old
// copy will do: what changed since comes with a watch.
func (s *Shared) listOthers(ctx context.Context) (slipwick.FeedBatch, bool) {
	others := s.Peers.Others()
	order := rand.Perm(len(others))
	for _, i := range order[:min(len(order), othersAsked)] {
		if ctx.Err() != nil {
			break
		}
		limited, cancel := context.WithTimeout(ctx, otherPatience)
		batch, err := s.Peers.Relay(others[i], s.Name).List(limited)
		cancel()
		if err == nil {
			return batch, true
		}
	}
	return slipwick.FeedBatch{}, false
}

// Watch waits for changes at another router or the store.
func (s *Shared) Watch(ctx context.Context, after uint64, wait time.Duration) (slipwick.FeedBatch, error) {
	var err error
	if s.Peers.Watches() {
		var batch slipwick.FeedBatch
		if batch, err = s.watchStore(ctx, after, wait); err == nil {
			return batch, nil
		}
	}
	if relay := s.choose(); relay != "" && ctx.Err() == nil && !slipwick.IsKind(err, slipwick.KindHistoryLost) {
		rhythm := s.Rhythm.orDefault()
		batch, ok := s.relayed(ctx, relay, rhythm.Relay+rhythm.RelayMargin,
			func(ctx context.Context, f slipwick.Feed) (slipwick.FeedBatch, error) {
				return f.Watch(ctx, after, rhythm.Relay)
			})
		if ok {
			return batch, nil
		}
		if err == nil {
			return s.catchUp(ctx)
		}
	}
	if err != nil {
		return slipwick.FeedBatch{}, err
	}
	return s.watchStore(ctx, after, wait)
}

// catchUp lists after another router failed, from the next one if its copy is
// current and comes soon, else from the store. Time was lost, and a watch brings
// every version since then, which a slow link may not carry in time when versions
// come in quick succession; a list brings the newest alone.
func (s *Shared) catchUp(ctx context.Context) (slipwick.FeedBatch, error) {
	if relay := s.choose(); relay != "" {
		batch, ok := s.relayed(ctx, relay, s.Rhythm.orDefault().RelayMargin,
			func(ctx context.Context, f slipwick.Feed) (slipwick.FeedBatch, error) {
				return f.List(ctx)
			})
		if ok {
			return batch, nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, s.Rhythm.orDefault().List)
	defer cancel()
	return s.Store.List(ctx)
}

func (s *Shared) watchStore(ctx context.Context, after uint64, wait time.Duration) (slipwick.FeedBatch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+s.Rhythm.orDefault().Margin)
	defer cancel()
	return s.Store.Watch(ctx, after, wait)
}

// relayed calls another router's copy; ok is false unless it is current.
func (s *Shared) relayed(ctx context.Context, id string, limit time.Duration,
	call func(context.Context, slipwick.Feed) (slipwick.FeedBatch, error),
) (batch slipwick.FeedBatch, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	batch, err := call(ctx, s.Peers.Relay(id, s.Name))
	if err == nil && batch.Age <= s.Rhythm.orDefault().Age {
		return batch, true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed == nil {
		s.failed = make(map[string]time.Time)
	}
	s.failed[id] = time.Now()
	return slipwick.FeedBatch{}, false
}

// choose gives the next router to follow, by turns; empty if there is none.
func (s *Shared) choose() string {
	relays := s.Peers.Relays()
	s.mu.Lock()
	defer s.mu.Unlock()
	for range relays {
		s.turn++
		id := relays[s.turn%len(relays)]
		if failed, ok := s.failed[id]; !ok || time.Since(failed) > s.Rhythm.orDefault().Outing {
			return id
		}
	}
	return ""
}
