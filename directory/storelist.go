package directory

import (
	"context"
	"net/http/httptrace"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/fleet"
)

const (
	// storeHedgeDelay is how long a list from the store may take before other routers are asked
	// as well. It is some tens of times the store's usual response time.
	storeHedgeDelay = 300 * time.Millisecond
	// storeRetryInterval is the interval at which the store is sent another list request while
	// it does not respond. A store that had stopped responding never responds to the requests from
	// that time. A slow store is given time, and one that delivers page after page is not asked
	// again.
	storeRetryInterval = 500 * time.Millisecond
	// storePageSize is the smallest page size of the stores: a list of no more objects takes one
	// response.
	storePageSize = 200
)

// listResult is the result of one list.
type listResult struct {
	batch slipwick.FeedBatch
	err   error
	// fromStore is true if the batch came from the store and not from another router.
	fromStore bool
}

// storeList is a running list from the store, which falls back to other routers if the store
// fails or is slow.
type storeList struct {
	shared        *SharedFeed
	relayPosition *fleet.RelayPosition
	// retriesStore is true if the store is asked again while it does not respond, since a store
	// that had stopped responding never responds to earlier requests. Other routers are asked in
	// either case, because the store may respond to them by now.
	retriesStore bool
	// suffices reports whether a copy of another router is acceptable.
	suffices func(*peerResponse) bool

	storeResults  chan listResult
	peerResponses chan peerResponse
	progress      chan struct{}
	// pending is the number of calls to the store under way. askingPeers is true while other
	// routers are asked.
	pending     int
	askingPeers bool
}

// listStore lists from the store, and from other routers if the store fails or is slow. It
// returns the first usable response.
func (s *SharedFeed) listStore(
	ctx context.Context, relayPosition *fleet.RelayPosition, retriesStore bool, suffices func(*peerResponse) bool,
) listResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	list := &storeList{
		shared:        s,
		relayPosition: relayPosition,
		retriesStore:  retriesStore,
		suffices:      suffices,
		storeResults:  make(chan listResult, s.Timing.orDefault().ListTimeout/storeRetryInterval+1),
		peerResponses: make(chan peerResponse, 1),
		progress:      make(chan struct{}, 1),
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
			l.shared.setLoading(storeRetryInterval)
		case <-retry.C:
			if l.retriesStore {
				l.askStore(ctx)
			}
			l.askPeers(ctx)
		case <-hedge.C:
			l.askPeers(ctx)
		case result := <-l.storeResults:
			l.shared.recordStoreResult(result.err)
			if result.err == nil {
				return result
			}
			l.pending--
			failure = result
			l.askPeers(ctx)
		case found := <-l.peerResponses:
			l.askingPeers = false
			if l.suffices(&found) {
				return listResult{
					batch: found.heldBatch(),
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
		batch, err := l.shared.fetchFromStore(tracePages(ctx, l.progress))
		l.storeResults <- listResult{
			batch:     batch,
			err:       err,
			fromStore: true,
		}
	}()
}

// askPeers asks the other routers, unless that is under way already.
func (l *storeList) askPeers(ctx context.Context) {
	if l.askingPeers {
		return
	}
	l.askingPeers = true
	go func() { l.peerResponses <- l.shared.listPeers(ctx, l.shared.candidates(l.relayPosition), peerTimeout) }()
}

// tracePages signals progress for each page of a list after the first. The request for the next
// page implies that the previous one has arrived.
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

// setLoading makes routers that ask this one for its first copy learn that a list is under
// way.
func (s *SharedFeed) setLoading(duration time.Duration) {
	if s.Mirror != nil && duration > 0 {
		s.Mirror.SetLoading(duration)
	}
}

// fetchFromStore returns what differs from the local copy if a list of it would take several pages,
// else the whole list. If the store was restored from a backup it has to be listed, because its
// revisions may stand for other states.
func (s *SharedFeed) fetchFromStore(ctx context.Context) (slipwick.FeedBatch, error) {
	if s.Mirror == nil || s.Mirror.Len() <= storePageSize {
		return s.Store.List(ctx)
	}
	known := s.Mirror.Position()
	batch, err := s.Store.Watch(ctx, known, 0)
	if slipwick.IsKind(err, slipwick.KindHistoryLost) || err == nil && batch.Timeline != known.Timeline {
		return s.Store.List(ctx)
	}
	return batch, err
}

// watchStore waits for changes at the store. After a failed call it lists instead: the store
// may have been restored from a backup, and a watch from a revision that it assigned again
// would miss the changes up to that revision.
func (s *SharedFeed) watchStore(
	ctx context.Context, after slipwick.Position, wait time.Duration,
) (slipwick.FeedBatch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+s.Timing.orDefault().WatchMargin)
	defer cancel()
	if s.isStoreFailing() {
		return s.fetchFromStore(ctx)
	}
	return s.Store.Watch(ctx, after, wait)
}
