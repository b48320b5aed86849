package directory

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/clock"
	"github.com/slipwick/slipwick/fleet"
)

// peerResponse is the response of one or several other routers.
type peerResponse struct {
	// batch is the copy as it was at receivedAt; see heldBatch.
	batch      slipwick.FeedBatch
	receivedAt time.Time
	// any is true if there is a copy at all, isCurrent if it is a current one, responded if a
	// router responded at all.
	any, isCurrent, responded bool
	// loadingFor is how long a first list counts as under way at a router that receives one or
	// sends its copy to others.
	loadingFor time.Duration
	// index is that of the router in the list of those to ask.
	index int
}

// heldBatch returns the copy with its age as of now: it may have been held while the store was asked.
func (f *peerResponse) heldBatch() slipwick.FeedBatch {
	batch := f.batch
	if !f.receivedAt.IsZero() {
		held := clock.Since(f.receivedAt)
		batch.Age += held
		if batch.StableFor > 0 {
			batch.StableFor += held
		}
	}
	return batch
}

// candidates returns the routers to ask, in order: the relays that this one follows, in rotation,
// then the reserves, both without those that failed lately unless all did; then some random
// ones. The preferred ones may all be cut off from the store while others reach it. A router that
// gets a current copy from one of the random ones passes it on to those that ask it.
func (s *SharedFeed) candidates(relayPosition *fleet.RelayPosition) []string {
	return s.withRandomPeers(s.preferredPeers(relayPosition))
}

// withRandomPeers appends routers drawn at random from all others.
func (s *SharedFeed) withRandomPeers(ids []string) []string {
	others := slices.Clone(s.Peers.Others())
	for added := 0; added < randomPeers && len(others) > 0; {
		i := rand.IntN(len(others))
		if !slices.Contains(ids, others[i]) {
			ids = append(ids, others[i])
			added++
		}
		others[i] = others[len(others)-1]
		others = others[:len(others)-1]
	}
	return ids
}

// preferredPeers returns the relays and reserves that this router's position in the relay tree
// names, at most maxPreferredPeers.
func (s *SharedFeed) preferredPeers(relayPosition *fleet.RelayPosition) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.keepsRelay {
		s.relayIndex++
	}
	s.keepsRelay = false
	var all []string
	for i := range relayPosition.Relays {
		all = append(all, relayPosition.Relays[(s.relayIndex+i)%len(relayPosition.Relays)])
	}
	seen := make(map[string]bool, len(all))
	for _, id := range all {
		seen[id] = true
	}
	for _, id := range relayPosition.Reserves {
		if !seen[id] {
			all = append(all, id)
		}
	}
	var healthy []string
	for _, id := range all {
		if failed, ok := s.failedAt[id]; !ok || clock.Since(failed) > s.Timing.orDefault().PeerBackoff {
			healthy = append(healthy, id)
		}
	}
	if len(healthy) == 0 {
		healthy = all
	}
	return healthy[:min(len(healthy), maxPreferredPeers)]
}

// The next router is asked in parallel after hedgeShare of the timeout for one. All responses
// together have to begin within listPeersFactor times that timeout.
const (
	hedgeShare      = 0.15
	listPeersFactor = 1.25
)

// listPeers lists from the routers in order, each limited by the timeout, until one returns a
// current copy; otherwise it returns a stale one if there is any. While a response is being
// received no further router is asked, because a large list takes the capacity of the link.
func (s *SharedFeed) listPeers(ctx context.Context, ids []string, timeout time.Duration) peerResponse {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	responses, begins := make(chan peerResponse, len(ids)), make(chan int, len(ids))
	asked := 0
	// receiving are the calls, by index, whose response has begun and not ended. The end of a call may
	// be handled before its begin; it is then among ended.
	receiving, ended := make(map[int]bool), make(map[int]bool)
	askNext := func() {
		if asked == len(ids) {
			return
		}
		i := asked
		asked++
		go func() {
			f := s.queryPeer(ctx, ids[i], timeout, func() { begins <- i }, s.fetchFromPeer)
			f.index = i
			responses <- f
		}()
	}
	hedge := time.NewTicker(time.Duration(hedgeShare * float64(timeout)))
	defer hedge.Stop()
	deadline := time.NewTimer(time.Duration(listPeersFactor * float64(timeout)))
	defer deadline.Stop()
	askNext()
	var best peerResponse
	isLate := false
	for responded := 0; responded < asked; {
		select {
		case f := <-responses:
			responded++
			delete(receiving, f.index)
			ended[f.index] = true
			if f.isCurrent {
				return f
			}
			best = best.merge(&f)
			s.setLoading(f.loadingFor)
			if !isLate {
				askNext()
			}
		case i := <-begins:
			if !ended[i] {
				receiving[i] = true
			}
			s.setLoading(storeRetryInterval)
		case <-hedge.C:
			if len(receiving) == 0 && !isLate {
				askNext()
			}
		case <-deadline.C:
			isLate = true
		}
		if isLate && len(receiving) == 0 {
			return best
		}
	}
	return best
}

// fetchFromPeer reads from another router's feed what differs from the local copy, or all of it if
// there is none.
func (s *SharedFeed) fetchFromPeer(ctx context.Context, feed slipwick.Feed) (slipwick.FeedBatch, error) {
	if s.Mirror == nil {
		return feed.List(ctx)
	}
	known := s.Mirror.Position()
	if known.IsZero() {
		return feed.List(ctx)
	}
	batch, err := feed.Watch(ctx, known, 0)
	if slipwick.IsKind(err, slipwick.KindHistoryLost) {
		return feed.List(ctx)
	}
	return batch, err
}

// merge combines two responses without a current copy. Of two stale copies it keeps the later
// one.
func (f *peerResponse) merge(other *peerResponse) peerResponse {
	joined := peerResponse{
		batch:      f.batch,
		receivedAt: f.receivedAt,
		any:        f.any || other.any,
		responded:  f.responded || other.responded,
		loadingFor: max(f.loadingFor, other.loadingFor),
	}
	if other.any && (!f.any || f.batch.Position().Before(other.batch.Position())) {
		joined.batch, joined.receivedAt = other.batch, other.receivedAt
	}
	return joined
}

// queryPeer calls the feed of another router. Its response has to begin within limit, and onBegin is
// called when it does; the rest of the response may take as long as a list.
func (s *SharedFeed) queryPeer(ctx context.Context, id string, limit time.Duration, onBegin func(),
	call func(context.Context, slipwick.Feed) (slipwick.FeedBatch, error),
) peerResponse {
	limited, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(limit, cancel)
	defer timer.Stop()
	var began atomic.Bool
	hooked := withBeginHook(limited, func() {
		timer.Reset(s.Timing.orDefault().ListTimeout)
		if !began.Swap(true) {
			onBegin()
		}
	})
	batch, err := call(hooked, s.Peers.PeerFeed(id, s.FeedName))
	f := peerResponse{
		receivedAt: clock.Now(),
	}
	if err == nil && s.isSuperseded(&batch) {
		// The router has not learnt of the current timeline yet.
		f.responded = true
		return f
	}
	if err == nil && batch.Age <= s.Timing.orDefault().MaxAge {
		f.batch, f.any, f.isCurrent, f.responded = batch, true, true, true
		return f
	}
	lacksCopy := slipwick.IsKind(err, slipwick.KindNotCurrent)
	var loading *slipwick.Error
	isLoading := slipwick.IsKind(err, slipwick.KindOverloaded) && errors.As(err, &loading)
	if isLoading {
		f.loadingFor = loading.RetryAfter
	}
	// Routers that start at the same time have no copy yet, but will soon.
	isStarting := lacksCopy && s.isEmpty()
	if ctx.Err() == nil && !isLoading && !isStarting {
		s.markFailed(id)
	}
	f.batch, f.any = batch, err == nil
	f.responded = err == nil || isLoading || lacksCopy
	return f
}

// isSuperseded reports whether a copy is of an earlier timeline than the known one.
func (s *SharedFeed) isSuperseded(batch *slipwick.FeedBatch) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return isLater(s.position.Timeline, batch.Timeline)
}

// markFailed excludes a router from the candidates for a while, unless all have failed.
func (s *SharedFeed) markFailed(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failedAt == nil {
		s.failedAt = make(map[string]time.Time)
	}
	s.failedAt[id] = clock.Now()
}
