package directory

import (
	"context"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/fleet"
)

const (
	// storePatience is how long a list from the store may take before another
	// router is asked: some tens of its usual answers.
	storePatience = 300 * time.Millisecond
	// askAgain is the pause until the store is asked for a list once more while
	// it has not answered: a store that had fallen silent never answers what it
	// was asked then, while a slow one needs its time.
	askAgain = 500 * time.Millisecond
)

// listed is how one list ended.
type listed struct {
	batch slipwick.FeedBatch
	err   error
	// fromStore says that the store gave it, and not another router.
	fromStore bool
}

// listStore lists from the store, or from another router if the store fails or lets it
// wait. A store that had fallen silent never answers what it was asked then: repeats
// says that it is asked again meanwhile. Whether it answers another router by now is
// asked in any case, and what suffices tells which copies of others will do.
func (s *Shared) listStore(
	ctx context.Context, place *fleet.Place, repeats bool, suffices func(*found) bool,
) listed {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	within := s.Rhythm.orDefault().List
	fromStore := make(chan listed, within/askAgain+1)
	pending := 0
	ask := func() {
		pending++
		go func() {
			batch, err := s.Store.List(ctx)
			fromStore <- listed{
				batch:     batch,
				err:       err,
				fromStore: true,
			}
		}()
	}
	ask()
	fromOthers := make(chan found, 1)
	asking := false
	askOthers := func() {
		if asking {
			return
		}
		asking = true
		go func() { fromOthers <- s.listRouters(ctx, s.candidates(place), otherPatience) }()
	}
	patience := time.NewTimer(storePatience)
	defer patience.Stop()
	again := time.NewTicker(askAgain)
	defer again.Stop()
	var failed listed
	for {
		select {
		case <-again.C:
			if repeats {
				ask()
			}
			askOthers()
		case <-patience.C:
			askOthers()
		case answer := <-fromStore:
			s.noteStore(answer.err)
			if answer.err == nil {
				return answer
			}
			pending--
			failed = answer
			askOthers()
		case found := <-fromOthers:
			asking = false
			if suffices(&found) {
				return listed{
					batch: found.batch,
				}
			}
			if pending == 0 {
				return failed
			}
		}
	}
}

// watchStore waits for changes at the store. One that failed last is asked for a list: it may
// have come back from a copy, and a watch from a revision that it gave out again would wait
// for what comes after.
func (s *Shared) watchStore(
	ctx context.Context, after slipwick.Position, wait time.Duration,
) (slipwick.FeedBatch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+s.Rhythm.orDefault().Margin)
	defer cancel()
	if s.hasFailed() {
		return s.Store.List(ctx)
	}
	return s.Store.Watch(ctx, after, wait)
}
