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
}

// listStore lists from the store, or from another router if the store fails or
// lets it wait.
func (s *Shared) listStore(ctx context.Context, place *fleet.Place) (slipwick.FeedBatch, error) {
	within := s.Rhythm.orDefault().List
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
			s.noteStore(a.err)
			if a.err == nil {
				return a.batch, nil
			}
			pending--
			failure = a.err
		}
		if !askedOthers {
			askedOthers = true
			if found := s.listRouters(ctx, s.candidates(place), otherPatience); found.any {
				return found.batch, nil
			}
		}
		if failure != nil && pending == 0 {
			return slipwick.FeedBatch{}, failure
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
