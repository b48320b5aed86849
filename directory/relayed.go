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
type found struct {
	batch slipwick.FeedBatch
	// any says that there is a copy, current that it is a current one, answered
	// that some router answered at all.
	any, current, answered bool
	// busyFor is for how long a list counts as under way that a router receives, or sends
	// to others.
	busyFor time.Duration
	// begun says that it began to answer before it had answered.
	begun bool
}

// candidates gives the routers to ask, in order: those that this one follows, by
// turns, then those in reserve, without those that failed lately, unless all did; then
// some of all by chance. The first ones may all be cut off from the store while others
// reach it: each router that has found one of these is found by others in turn.
func (s *Shared) candidates(place *fleet.Place) []string {
	return s.withSome(s.preferred(place))
}

// withSome adds routers drawn from all others.
func (s *Shared) withSome(ids []string) []string {
	others := slices.Clone(s.Peers.Others())
	for added := 0; added < drawnAsked && len(others) > 0; {
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
func (s *Shared) preferred(place *fleet.Place) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stays {
		s.turn++
	}
	s.stays = false
	var all []string
	for i := range place.Relays {
		all = append(all, place.Relays[(s.turn+i)%len(place.Relays)])
	}
	known := make(map[string]bool, len(all))
	for _, id := range all {
		known[id] = true
	}
	for _, id := range place.Reserves {
		if !known[id] {
			all = append(all, id)
		}
	}
	var sound []string
	for _, id := range all {
		if failed, ok := s.failed[id]; !ok || clock.Since(failed) > s.Rhythm.orDefault().Outing {
			sound = append(sound, id)
		}
	}
	if len(sound) == 0 {
		sound = all
	}
	return sound[:min(len(sound), othersAsked)]
}

// hedgeShare of the patience with a router is how long it is waited for before
// the next is asked beside it, allFactor times the patience how long all may take to begin.
const (
	hedgeShare = 0.15
	allFactor  = 1.25
)

// listRouters lists from one router after the other, each for so long at most,
// until one has a current copy; else it gives an old one if there is any. While one is
// sending its answer no other is asked: a large list takes what the link has.
func (s *Shared) listRouters(ctx context.Context, ids []string, patience time.Duration) found {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers, begins := make(chan found, len(ids)), make(chan struct{}, len(ids))
	asked := 0
	askNext := func() {
		if asked == len(ids) {
			return
		}
		id := ids[asked]
		asked++
		go func() {
			f := s.relayed(ctx, id, patience, func() { begins <- struct{}{} }, s.listFrom)
			answers <- f
		}()
	}
	hedge := time.NewTicker(time.Duration(hedgeShare * float64(patience)))
	defer hedge.Stop()
	all := time.NewTimer(time.Duration(allFactor * float64(patience)))
	defer all.Stop()
	askNext()
	var best found
	sending, isLate := 0, false
	for answered := 0; answered < asked; {
		select {
		case f := <-answers:
			answered++
			if f.begun {
				sending--
			}
			if f.current {
				return f
			}
			best = best.or(&f)
			s.noteLoading(f.busyFor)
			if !isLate {
				askNext()
			}
		case <-begins:
			sending++
			s.noteLoading(askAgain)
		case <-hedge.C:
			if sending <= 0 && !isLate {
				askNext()
			}
		case <-all.C:
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
func (s *Shared) listFrom(ctx context.Context, feed slipwick.Feed) (slipwick.FeedBatch, error) {
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
func (f *found) or(other *found) found {
	joined := found{
		batch:    f.batch,
		any:      f.any || other.any,
		answered: f.answered || other.answered,
		busyFor:  max(f.busyFor, other.busyFor),
	}
	if other.any && (!f.any || f.batch.Position().Before(other.batch.Position())) {
		joined.batch = other.batch
	}
	return joined
}

// relayed calls another router's copy. The limit is for its answer to begin, which onBegun
// is told of; the rest of it may take as long as a list.
func (s *Shared) relayed(ctx context.Context, id string, limit time.Duration, onBegun func(),
	call func(context.Context, slipwick.Feed) (slipwick.FeedBatch, error),
) found {
	limited, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(limit, cancel)
	defer timer.Stop()
	var begun atomic.Bool
	heard := withBegun(limited, func() {
		timer.Reset(s.Rhythm.orDefault().List)
		if !begun.Swap(true) {
			onBegun()
		}
	})
	batch, err := call(heard, s.Peers.Relay(id, s.Name))
	f := found{
		begun: begun.Load(),
	}
	if err == nil && s.isOvertaken(&batch) {
		// The router has yet to learn what this one knows.
		f.answered = true
		return f
	}
	if err == nil && batch.Age <= s.Rhythm.orDefault().Age {
		f.batch, f.any, f.current, f.answered = batch, true, true, true
		return f
	}
	isLacking := slipwick.IsKind(err, slipwick.KindNotCurrent)
	var busy *slipwick.Error
	isBusy := slipwick.IsKind(err, slipwick.KindOverloaded) && errors.As(err, &busy)
	if isBusy {
		f.busyFor = busy.RetryAfter
	}
	// Routers that start together have no copy yet, and will soon.
	startsToo := isLacking && s.isEmpty()
	if ctx.Err() == nil && !isBusy && !startsToo {
		s.noteFailed(id)
	}
	f.batch, f.any = batch, err == nil
	f.answered = err == nil || isBusy || isLacking
	return f
}

// isOvertaken tells whether a copy is of a timeline that the store has left since.
func (s *Shared) isOvertaken(batch *slipwick.FeedBatch) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return isLater(s.position.Timeline, batch.Timeline)
}

// noteFailed has a router not asked for a while if there are others.
func (s *Shared) noteFailed(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed == nil {
		s.failed = make(map[string]time.Time)
	}
	s.failed[id] = clock.Now()
}
