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

// found is what other routers answered.
type peerAnswer struct {
	batch slipwick.FeedBatch
	// any says that there is a copy, current that it is a current one, answered
	// that some router answered at all.
	hasCopy, isCurrent, answered bool
	// busyFor is for how long a list counts as under way that a router receives, or sends
	// to others.
	loadingFor time.Duration
	// begun says that it began to answer before it had answered.
	began bool
}

// candidates gives the routers to ask, in order: those that this one follows, by
// turns, then those in reserve, without those that failed lately, unless all did; then
// some of all by chance. The first ones may all be cut off from the store while others
// reach it: each router that has found one of these is found by others in turn.
func (s *Shared) candidates(place *fleet.Place) []string {
	return s.withRandomPeers(s.preferredPeers(place))
}

// withSome adds routers drawn from all others.
func (s *Shared) withRandomPeers(ids []string) []string {
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

// preferred gives the routers that this one's place names.
func (s *Shared) preferredPeers(place *fleet.Place) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.keepsTurn {
		s.turn++
	}
	s.keepsTurn = false
	var all []string
	for i := range place.Relays {
		all = append(all, place.Relays[(s.turn+i)%len(place.Relays)])
	}
	seen := make(map[string]bool, len(all))
	for _, id := range all {
		seen[id] = true
	}
	for _, id := range place.Reserves {
		if !seen[id] {
			all = append(all, id)
		}
	}
	var healthy []string
	for _, id := range all {
		if failed, ok := s.failedAt[id]; !ok || clock.Since(failed) > s.Rhythm.orDefault().Outing {
			healthy = append(healthy, id)
		}
	}
	if len(healthy) == 0 {
		healthy = all
	}
	return healthy[:min(len(healthy), maxPreferredPeers)]
}

// hedgeShare of the patience with a router is how long it is waited for before
// the next is asked beside it, allFactor times the patience how long all may take to begin.
const (
	hedgeShare      = 0.15
	listPeersFactor = 1.25
)

// listRouters lists from one router after the other, each for so long at most,
// until one has a current copy; else it gives an old one if there is any. While one is
// sending its answer no other is asked: a large list takes what the link has.
func (s *Shared) listPeers(ctx context.Context, ids []string, patience time.Duration) peerAnswer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers, begins := make(chan peerAnswer, len(ids)), make(chan struct{}, len(ids))
	asked := 0
	askNext := func() {
		if asked == len(ids) {
			return
		}
		id := ids[asked]
		asked++
		go func() {
			f := s.queryPeer(ctx, id, patience, func() { begins <- struct{}{} }, s.fetchFrom)
			answers <- f
		}()
	}
	hedge := time.NewTicker(time.Duration(hedgeShare * float64(patience)))
	defer hedge.Stop()
	deadline := time.NewTimer(time.Duration(listPeersFactor * float64(patience)))
	defer deadline.Stop()
	askNext()
	var best peerAnswer
	sending, isLate := 0, false
	for answered := 0; answered < asked; {
		select {
		case f := <-answers:
			answered++
			if f.began {
				sending--
			}
			if f.isCurrent {
				return f
			}
			best = best.merge(&f)
			s.noteLoading(f.loadingFor)
			if !isLate {
				askNext()
			}
		case <-begins:
			sending++
			s.noteLoading(storeRetryInterval)
		case <-hedge.C:
			if sending <= 0 && !isLate {
				askNext()
			}
		case <-deadline.C:
			isLate = true
		}
		if isLate && sending <= 0 {
			return best
		}
	}
	return best
}

// listFrom asks another router for what it knows: all of it, or what differs from the copy
// here.
func (s *Shared) fetchFrom(ctx context.Context, feed slipwick.Feed) (slipwick.FeedBatch, error) {
	if s.Copy == nil {
		return feed.List(ctx)
	}
	known := s.Copy.Position()
	if known.IsZero() {
		return feed.List(ctx)
	}
	batch, err := feed.Watch(ctx, known, 0)
	if slipwick.IsKind(err, slipwick.KindHistoryLost) {
		return feed.List(ctx)
	}
	return batch, err
}

// or joins two answers, neither of them current.
func (f *peerAnswer) merge(other *peerAnswer) peerAnswer {
	joined := peerAnswer{
		batch:      f.batch,
		hasCopy:    f.hasCopy || other.hasCopy,
		answered:   f.answered || other.answered,
		loadingFor: max(f.loadingFor, other.loadingFor),
	}
	if other.hasCopy && (!f.hasCopy || f.batch.Position().Before(other.batch.Position())) {
		joined.batch = other.batch
	}
	return joined
}

// relayed calls another router's copy. The limit is for its answer to begin, which onBegun
// is told of; the rest of it may take as long as a list.
func (s *Shared) queryPeer(ctx context.Context, id string, limit time.Duration, onBegin func(),
	call func(context.Context, slipwick.Feed) (slipwick.FeedBatch, error),
) peerAnswer {
	limited, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(limit, cancel)
	defer timer.Stop()
	var began atomic.Bool
	hooked := withBeginHook(limited, func() {
		timer.Reset(s.Rhythm.orDefault().List)
		if !began.Swap(true) {
			onBegin()
		}
	})
	batch, err := call(hooked, s.Peers.Relay(id, s.Name))
	f := peerAnswer{
		began: began.Load(),
	}
	if err == nil && s.isSuperseded(&batch) {
		// The router has yet to learn what this one knows.
		f.answered = true
		return f
	}
	if err == nil && batch.Age <= s.Rhythm.orDefault().Age {
		f.batch, f.hasCopy, f.isCurrent, f.answered = batch, true, true, true
		return f
	}
	lacksCopy := slipwick.IsKind(err, slipwick.KindNotCurrent)
	var loading *slipwick.Error
	isLoading := slipwick.IsKind(err, slipwick.KindOverloaded) && errors.As(err, &loading)
	if isLoading {
		f.loadingFor = loading.RetryAfter
	}
	// Routers that start together have no copy yet, and will soon.
	isStarting := lacksCopy && s.isEmpty()
	if ctx.Err() == nil && !isLoading && !isStarting {
		s.markFailed(id)
	}
	f.batch, f.hasCopy = batch, err == nil
	f.answered = err == nil || isLoading || lacksCopy
	return f
}

// isOvertaken tells whether a copy is of a timeline that the store has left since.
func (s *Shared) isSuperseded(batch *slipwick.FeedBatch) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return isLater(s.position.Timeline, batch.Timeline)
}

// noteFailed has a router not asked for a while if there are others.
func (s *Shared) markFailed(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failedAt == nil {
		s.failedAt = make(map[string]time.Time)
	}
	s.failedAt[id] = clock.Now()
}
