package directory

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/slipwick/slipwick"
)

const (
	// defaultWait is how long a watch waits: an answer that got lost is
	// noticed soon enough to be in time after an outage.
	defaultWait = 3 * time.Second
	// answerMargin is how long after its wait a watch may still be answered.
	answerMargin = 700 * time.Millisecond
	// listTimeout bounds one list.
	listTimeout = 2 * time.Second
	// firstPause and lastPause bound the pause after a failed call; it
	// doubles in between.
	firstPause = 100 * time.Millisecond
	lastPause  = 800 * time.Millisecond
)

// Follower follows one feed. Set the exported fields before Run.
type Follower[T any] struct {
	Feed slipwick.Feed[T]
	// Wait takes its default when zero.
	Wait time.Duration
	// OnList takes a whole list, OnChange changes since; one call at a time.
	OnList   func([]slipwick.FeedEntry[T])
	OnChange func([]slipwick.FeedEntry[T])
	// OnError is told of failed calls.
	OnError func(error)
	// OnAnswer is told of each answer of the store.
	OnAnswer func()

	done chan struct{}
}

// NewFollower makes a follower of the feed.
func NewFollower[T any](feed slipwick.Feed[T]) *Follower[T] {
	return &Follower[T]{
		Feed:     feed,
		Wait:     defaultWait,
		OnList:   func([]slipwick.FeedEntry[T]) {},
		OnChange: func([]slipwick.FeedEntry[T]) {},
		OnError:  func(error) {},
		OnAnswer: func() {},
		done:     make(chan struct{}),
	}
}

// Done is closed when Run has ended.
func (f *Follower[T]) Done() <-chan struct{} {
	return f.done
}

// Run follows the feed until ctx ends.
func (f *Follower[T]) Run(ctx context.Context) {
	defer close(f.done)
	revision, listed := uint64(0), false
	pause := firstPause
	for ctx.Err() == nil {
		batch, err := f.call(ctx, listed, revision)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			f.OnError(err)
			if slipwick.IsKind(err, slipwick.KindHistoryLost) {
				listed = false
				continue
			}
			rest(ctx, pause)
			pause = min(2*pause, lastPause)
			continue
		}
		pause = firstPause
		f.OnAnswer()
		if !listed {
			f.OnList(batch.Entries)
		} else if len(batch.Entries) > 0 {
			f.OnChange(batch.Entries)
		}
		revision, listed = batch.Revision, true
	}
}

func (f *Follower[T]) call(ctx context.Context, listed bool, revision uint64) (slipwick.FeedBatch[T], error) {
	if !listed {
		ctx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		return f.Feed.List(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, f.Wait+answerMargin)
	defer cancel()
	return f.Feed.Watch(ctx, revision, f.Wait)
}

// rest waits for about the pause, so that routers do not call all at once.
func rest(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause/2 + time.Duration(rand.Int64N(int64(pause))))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
