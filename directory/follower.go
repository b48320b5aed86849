package directory

import (
	"bytes"
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/clock"
)

const (
	// firstPause and lastPause bound the pause after a failed call; it
	// doubles in between.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// startPause bounds it at a router that knows nothing yet, and so serves
	// nobody, and at one that may still learn in time of what changed since its
	// last answer.
	maxUrgentBackoff = 200 * time.Millisecond
)

// Change is one decoded object that changed.
type Change[T any] struct {
	Name string
	// Gone says that the object was removed, Invalid that what it holds can't be read;
	// Value is then empty.
	Gone, Invalid bool
	Value         T
}

// Follower follows one feed, decodes what changes and keeps a copy for other
// routers. Set the exported fields before Run.
type Follower[T any] struct {
	Feed   slipwick.Feed
	Mirror *Mirror
	// Rhythm is how long to wait; the zero value stands for the default.
	Rhythm Rhythm
	// Decode reads one object.
	Decode func(name string, value []byte) (T, error)
	// Outdated tells whether an object is an earlier state of the one known, which it never
	// replaces, whatever the store says; nil where objects have no such order. What is
	// passed on to other routers goes by it too.
	Outdated func(known, told T) bool
	// OnChange takes the changes of each answer, with none when the first
	// list, or that after OnFellBack, brings none; one call at a time.
	OnChange func([]Change[T])
	// OnError is told of failed calls.
	OnError func(error)
	// OnInvalid is told of each object that can't be read, and why; that says nothing of
	// the store. With nil it is told that the object can be read again, or is gone.
	OnInvalid func(name string, reason error)
	// OnFellBack is told, before OnAnswer and the changes, that the answer is the first
	// of a store that came back from an older copy of itself: what it had acknowledged
	// may be missing until its writers write it again.
	OnFellBack func(known slipwick.Position, batch *slipwick.FeedBatch)
	// OnAnswer is told of each answer that the store gave lately, itself or
	// through another router, before its changes.
	OnAnswer func(*slipwick.FeedBatch)

	// position is the store's that is known, answered when an answer came last that was
	// current. listed says that a list was current, so that a watch may follow, watched
	// that the latest answer was a watch's. pause is that after the next failure.
	position        slipwick.Position
	answeredAt      time.Time
	listed, watched bool
	backoff         time.Duration
	// latest are the objects known, kept only where they have an order, compared what was
	// read of those of the batch being taken.
	latest  map[string]T
	decoded map[string]decodeResult[T]
	done    chan struct{}
}

// NewFollower makes a follower of the feed.
func NewFollower[T any](feed slipwick.Feed, mirror *Mirror) *Follower[T] {
	return &Follower[T]{
		Feed:     feed,
		Mirror:   mirror,
		OnChange: func([]Change[T]) {},
		OnError:  func(error) {},

		OnInvalid: func(string, error) {},

		OnFellBack: func(slipwick.Position, *slipwick.FeedBatch) {},
		OnAnswer:   func(*slipwick.FeedBatch) {},

		latest:  make(map[string]T),
		decoded: make(map[string]decodeResult[T]),
		done:    make(chan struct{}),
	}
}

// Done is closed when Run has ended.
func (f *Follower[T]) Done() <-chan struct{} {
	return f.done
}

// Run follows the feed until ctx ends.
func (f *Follower[T]) Run(ctx context.Context) {
	defer close(f.done)
	f.Rhythm = f.Rhythm.orDefault()
	f.watched, f.backoff, f.answeredAt = true, minBackoff, clock.Now()
	for {
		batch, err := f.callFeed(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			err = checkSuccessor(&batch, f.position)
		}
		if err != nil {
			f.handleFailure(ctx, err)
			continue
		}
		f.handleBatch(ctx, &batch)
	}
}

// fail goes on after a call without an answer to be taken, with a list: that is bounded,
// while the changes since may be too many to be read in time. A history that is lost is made
// up for at once; one that is lost again before a watch brought anything is not, lest the
// store is called without a pause.
func (f *Follower[T]) handleFailure(ctx context.Context, err error) {
	f.OnError(err)
	f.Mirror.Fail()
	f.listed = false
	if slipwick.IsKind(err, slipwick.KindHistoryLost) && f.watched {
		f.watched = false
		return
	}
	f.waitBackoff(ctx)
}

// take takes an answer.
func (f *Follower[T]) handleBatch(ctx context.Context, batch *slipwick.FeedBatch) {
	isRestored := batch.Timeline > f.position.Timeline && f.position.Timeline != 0
	if isRestored {
		f.OnFellBack(f.position, batch)
	}
	isCurrent := batch.Age <= f.Rhythm.Age
	if isCurrent {
		f.answeredAt = clock.Now()
		f.OnAnswer(batch)
	}
	f.dropOutdated(batch)
	changes := f.decodeChanges(f.Mirror.Apply(batch))
	if len(changes) > 0 || isRestored || f.position.Revision == 0 {
		f.OnChange(changes)
	}
	if f.watched = f.listed; f.watched {
		f.backoff = minBackoff
	}
	f.position, f.listed = batch.Position(), isCurrent
	switch {
	case !isCurrent:
		// Another router's old copy: the store is away, and is not to be
		// called more often for it. On its return a list answers at once.
		f.waitBackoff(ctx)
	case len(changes) > 0:
		sleep(ctx, f.Rhythm.Gather)
	}
}

// rest waits for the pause, which grows, by how long ago the latest answer came.
func (f *Follower[T]) waitBackoff(ctx context.Context) {
	sleepJittered(ctx, f.backoff)
	limit := maxBackoff
	if clock.Since(f.answeredAt) < f.Rhythm.List {
		limit = maxUrgentBackoff
	}
	f.backoff = min(2*f.backoff, limit)
}

// call asks the feed. An answer that came while the box was suspended is older by that
// time than whoever answered could know.
func (f *Follower[T]) callFeed(ctx context.Context) (batch slipwick.FeedBatch, err error) {
	clock.Notice()
	slept := clock.Slept()
	if f.listed {
		batch, err = f.Feed.Watch(ctx, f.position, f.Rhythm.Watch)
	} else {
		batch, err = f.Feed.List(ctx)
	}
	clock.Notice()
	batch.Age += clock.Slept() - slept
	return batch, err
}

// keepLatest puts what is known in the place of earlier states of it.
func (f *Follower[T]) dropOutdated(batch *slipwick.FeedBatch) {
	if f.Outdated == nil {
		return
	}
	for i := range batch.Entries {
		e := &batch.Entries[i]
		value, ok := f.Mirror.lookup(e.Name)
		if !ok || e.Gone || bytes.Equal(value, e.Value) {
			continue
		}
		known, isKnown := f.latest[e.Name]
		// What can't be read is told as such with the changes.
		received, err := f.Decode(e.Name, e.Value)
		if err == nil && isKnown && f.Outdated(known, received) {
			e.Value = value
			continue
		}
		f.decoded[e.Name] = decodeResult[T]{
			encoded: e.Value,
			value:   received,
			err:     err,
		}
	}
}

// reading is what an object's value says, or what is wrong with it.
type decodeResult[T any] struct {
	encoded []byte
	value   T
	err     error
}

// read reads an object, once for each batch: a large fleet reads a configuration of hundreds of
// routes at the same moment at all routers.
func (f *Follower[T]) decodeOnce(e *slipwick.FeedEntry) (T, error) {
	if r, ok := f.decoded[e.Name]; ok && bytes.Equal(r.encoded, e.Value) {
		return r.value, r.err
	}
	return f.Decode(e.Name, e.Value)
}

func (f *Follower[T]) decodeChanges(entries []slipwick.FeedEntry) []Change[T] {
	defer clear(f.decoded)
	changes := make([]Change[T], 0, len(entries))
	for _, e := range entries {
		change := Change[T]{
			Name: e.Name,
			Gone: e.Gone,
		}
		if !e.Gone {
			var err error
			change.Value, err = f.decodeOnce(&e)
			change.Invalid = err != nil
			f.OnInvalid(e.Name, err)
			if f.Outdated != nil && err == nil {
				f.latest[e.Name] = change.Value
			}
		} else {
			f.OnInvalid(e.Name, nil)
		}
		changes = append(changes, change)
	}
	return changes
}

// follows tells what is wrong with an answer that can't be taken after what is known: it
// is older, or has the changes of another timeline, whose revisions were counted from
// another state. Together they would be a state that the store never had.
func checkSuccessor(batch *slipwick.FeedBatch, known slipwick.Position) error {
	switch {
	case batch.Position().Before(known):
		return olderError(batch, known)
	case !batch.Whole && batch.Timeline != 0 && batch.Timeline != known.Timeline:
		return timelineChangedError()
	}
	return nil
}

// fellBack is the error of a watch from a position of another timeline.
func timelineChangedError() error {
	return &slipwick.Error{
		Kind:    slipwick.KindHistoryLost,
		Message: "the store came back from a copy since the position",
		Remedy:  "list again",
	}
}

// older is the error of an answer that is older than what is known, as another router's
// old copy may be.
func olderError(batch *slipwick.FeedBatch, known slipwick.Position) error {
	return errors.Errorf("the answer of timeline %d, revision %d, through %d routers is older than what is known,"+
		" timeline %d, revision %d; the newer state stays in use",
		batch.Timeline, batch.Revision, batch.Hops, known.Timeline, known.Revision)
}

// rest waits for about the pause, so that routers do not call all at once.
func sleepJittered(ctx context.Context, pause time.Duration) {
	sleep(ctx, pause/2+time.Duration(rand.Int64N(int64(pause))))
}

// sleep waits, or until ctx ends.
func sleep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
