package directory

import (
	"context"
	"net/http/httptrace"
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
	// was asked then, while a slow one needs its time, and one that sends page after page
	// is waited for.
	askAgain = 500 * time.Millisecond
	// listedAtOnce is how many objects stores give in one answer at least.
	listedAtOnce = 200
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
	progress := make(chan struct{}, 1)
	ask := func() {
		pending++
		go func() {
			batch, err := s.fromStore(tracePages(ctx, progress))
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
		case <-progress:
			patience.Reset(storePatience)
			again.Reset(askAgain)
			s.noteLoading(askAgain)
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

// tracePages has the channel tell that a list of many pages goes on: whoever asks for the
// next one was given the one before.
func tracePages(ctx context.Context, progress chan<- struct{}) context.Context {
	pages := 0
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotFirstResponseByte: func() {
			if pages++; pages == 1 {
				return
			}
			select {
			case progress <- struct{}{}:
			default:
			}
		},
	})
}

// noteLoading has routers that ask for the copy here know that it is under way.
func (s *Shared) noteLoading(lasts time.Duration) {
	if s.Copy != nil && lasts > 0 {
		s.Copy.Loading(lasts)
	}
}

// fromStore gives what the store knows: all of it, or what differs from a copy that is known
// here and would take several calls to list. A store that came back from a copy of itself has
// to be listed: its revisions may stand for other states.
func (s *Shared) fromStore(ctx context.Context) (slipwick.FeedBatch, error) {
	if s.Copy == nil || s.Copy.Len() <= listedAtOnce {
		return s.Store.List(ctx)
	}
	known := s.Copy.Position()
	batch, err := s.Store.Watch(ctx, known, 0)
	if slipwick.IsKind(err, slipwick.KindHistoryLost) || err == nil && batch.Timeline != known.Timeline {
		return s.Store.List(ctx)
	}
	return batch, err
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
		return s.fromStore(ctx)
	}
	return s.Store.Watch(ctx, after, wait)
}
