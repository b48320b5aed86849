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
	storeHedgeDelay = 300 * time.Millisecond
	// askAgain is the pause until the store is asked for a list once more while
	// it has not answered: a store that had fallen silent never answers what it
	// was asked then, while a slow one needs its time, and one that sends page after page
	// is waited for.
	storeRetryInterval = 500 * time.Millisecond
	// listedAtOnce is how many objects stores give in one answer at least.
	storePageSize = 200
)

// listed is how one list ended.
type listResult struct {
	batch slipwick.FeedBatch
	err   error
	// fromStore says that the store gave it, and not another router.
	fromStore bool
}

// storeList is a list from the store that is under way, or from another router if the store
// fails or lets it wait.
type storeList struct {
	shared *Shared
	place  *fleet.Place
	// repeats says that the store is asked again while it does not answer: one that had
	// fallen silent never answers what it was asked then. Whether it answers another
	// router by now is asked in any case.
	retriesStore bool
	// suffices tells which copies of others will do.
	suffices func(*peerAnswer) bool

	fromStore chan listResult
	fromPeers chan peerAnswer
	progress  chan struct{}
	// pending counts the calls to the store, asking says that others are asked.
	pending     int
	askingPeers bool
}

// listStore runs a list.
func (s *Shared) listStore(
	ctx context.Context, place *fleet.Place, repeats bool, suffices func(*peerAnswer) bool,
) listResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	list := &storeList{
		shared:       s,
		place:        place,
		retriesStore: repeats,
		suffices:     suffices,
		fromStore:    make(chan listResult, s.Rhythm.orDefault().List/storeRetryInterval+1),
		fromPeers:    make(chan peerAnswer, 1),
		progress:     make(chan struct{}, 1),
	}
	return list.run(ctx)
}

func (l *storeList) run(ctx context.Context) listResult {
	l.askStore(ctx)
	hedge := time.NewTimer(storeHedgeDelay)
	defer hedge.Stop()
	retry := time.NewTicker(storeRetryInterval)
	defer retry.Stop()
	var failure listResult
	for {
		select {
		case <-l.progress:
			hedge.Reset(storeHedgeDelay)
			retry.Reset(storeRetryInterval)
			l.shared.noteLoading(storeRetryInterval)
		case <-retry.C:
			if l.retriesStore {
				l.askStore(ctx)
			}
			l.askPeers(ctx)
		case <-hedge.C:
			l.askPeers(ctx)
		case answer := <-l.fromStore:
			l.shared.recordStoreResult(answer.err)
			if answer.err == nil {
				return answer
			}
			l.pending--
			failure = answer
			l.askPeers(ctx)
		case found := <-l.fromPeers:
			l.askingPeers = false
			if l.suffices(&found) {
				return listResult{
					batch: found.batch,
				}
			}
			if l.pending == 0 {
				return failure
			}
		}
	}
}

func (l *storeList) askStore(ctx context.Context) {
	l.pending++
	go func() {
		batch, err := l.shared.fromStore(tracePages(ctx, l.progress))
		l.fromStore <- listResult{
			batch:     batch,
			err:       err,
			fromStore: true,
		}
	}()
}

// askOthers asks the other routers, unless they are being asked.
func (l *storeList) askPeers(ctx context.Context) {
	if l.askingPeers {
		return
	}
	l.askingPeers = true
	go func() { l.fromPeers <- l.shared.listPeers(ctx, l.shared.candidates(l.place), peerTimeout) }()
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
func (s *Shared) noteLoading(duration time.Duration) {
	if s.Copy != nil && duration > 0 {
		s.Copy.Loading(duration)
	}
}

// fromStore gives what the store knows: all of it, or what differs from a copy that is known
// here and would take several calls to list. A store that came back from a copy of itself has
// to be listed: its revisions may stand for other states.
func (s *Shared) fromStore(ctx context.Context) (slipwick.FeedBatch, error) {
	if s.Copy == nil || s.Copy.Len() <= storePageSize {
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
	if s.isStoreFailing() {
		return s.fromStore(ctx)
	}
	return s.Store.Watch(ctx, after, wait)
}
