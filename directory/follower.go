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
	// minBackoff and maxBackoff bound the pause after a failed call. It doubles with each
	// consecutive failure.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// maxUrgentBackoff is the upper bound instead of maxBackoff while the latest response, or the
	// start, is less than Timing.ListTimeout ago: a router that starts serves no requests without a
	// copy, and one whose feed has only just failed can still learn of changes in time.
	maxUrgentBackoff = 200 * time.Millisecond
)

// Change is one object that changed, decoded.
type Change[T any] struct {
	Name string
	// Removed is true if the object was removed, Invalid if its value could not be decoded. Value
	// is the zero value in both cases.
	Removed, Invalid bool
	Value            T
}

// Follower follows one feed: it decodes the objects that change and maintains a copy for other
// routers. Set the exported fields before Run.
type Follower[T any] struct {
	Feed   slipwick.Feed
	Mirror *Mirror
	// Timing has the wait times; the zero value stands for the default.
	Timing Timing
	// Decode decodes one object.
	Decode func(name string, value []byte) (T, error)
	// IsOutdated reports whether a received object is an earlier state than the known one. Such
	// an object never replaces the known one, neither here nor in the copy that other routers
	// get, even if the store lists it. Nil if the states of an object have no order.
	IsOutdated func(known, received T) bool
	// OnChange receives the changes of each response. It is also called without changes if the
	// first list, or the first one after a restore of the store, has none. Calls do not
	// overlap.
	OnChange func([]Change[T])
	// OnError receives the error of each failed call.
	OnError func(error)
	// OnInvalid is called with the reason for each object that cannot be decoded; this is no
	// failure of the store. With a nil reason it reports that the object can be decoded again
	// or was removed.
	OnInvalid func(name string, reason error)
	// OnStoreRestored is called with the first response of a store that was restored from a backup,
	// before OnResponse and OnChange. Writes that the store had acknowledged may be missing until
	// their writers repeat them.
	OnStoreRestored func(known slipwick.Position, batch *slipwick.FeedBatch)
	// OnResponse is called with each response that is current, whether it came from the store or
	// through another router, before its changes are delivered.
	OnResponse func(*slipwick.FeedBatch)

	// position is the store's position of the latest response. respondedAt is when the latest
	// current response arrived. canWatch is true if the latest response was current, so that the
	// next call may be a watch. watchSucceeded is true at the start and if the latest response
	// came from a watch; a lost history clears it. backoff is the pause after the next failure.
	position                 slipwick.Position
	respondedAt              time.Time
	canWatch, watchSucceeded bool
	backoff                  time.Duration
	// latest has the decoded objects by name, if IsOutdated orders them. decoded has the objects
	// that were decoded for the comparison within the current batch.
	latest  map[string]T
	decoded map[string]decodeResult[T]
	done    chan struct{}
}

// NewFollower returns a follower of the feed that keeps its copy in mirror.
func NewFollower[T any](feed slipwick.Feed, mirror *Mirror) *Follower[T] {
	return &Follower[T]{
		Feed:     feed,
		Mirror:   mirror,
		OnChange: func([]Change[T]) {},
		OnError:  func(error) {},

		OnInvalid: func(string, error) {},

		OnStoreRestored: func(slipwick.Position, *slipwick.FeedBatch) {},
		OnResponse:      func(*slipwick.FeedBatch) {},

		latest:  make(map[string]T),
		decoded: make(map[string]decodeResult[T]),
		done:    make(chan struct{}),
	}
}

// Done returns a channel that is closed when Run has returned.
func (f *Follower[T]) Done() <-chan struct{} {
	return f.done
}

// Run follows the feed until ctx ends. Call it once.
func (f *Follower[T]) Run(ctx context.Context) {
	defer close(f.done)
	f.Timing = f.Timing.orDefault()
	f.watchSucceeded, f.backoff, f.respondedAt = true, minBackoff, clock.Now()
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

// handleFailure continues after a failed call or a response that was rejected. The next call is
// a list: its size is bounded, while the changes since the position may be too many to receive
// in time. After a lost history the list follows at once. If the history is lost again before a
// watch succeeded, the back-off applies, so that the store is not called in a tight loop.
func (f *Follower[T]) handleFailure(ctx context.Context, err error) {
	f.OnError(err)
	f.Mirror.MarkUnconfirmed()
	f.canWatch = false
	if slipwick.IsKind(err, slipwick.KindHistoryLost) && f.watchSucceeded {
		f.watchSucceeded = false
		return
	}
	f.waitBackoff(ctx)
}

// handleBatch applies a response and reports its changes.
func (f *Follower[T]) handleBatch(ctx context.Context, batch *slipwick.FeedBatch) {
	isRestored := batch.Timeline > f.position.Timeline && f.position.Timeline != 0
	if isRestored {
		f.OnStoreRestored(f.position, batch)
	}
	isCurrent := batch.Age <= f.Timing.MaxAge
	if isCurrent {
		f.respondedAt = clock.Now()
		f.OnResponse(batch)
	}
	f.dropOutdated(batch)
	changes := f.decodeChanges(f.Mirror.Apply(batch))
	if len(changes) > 0 || isRestored || f.position.Revision == 0 {
		f.OnChange(changes)
	}
	if f.watchSucceeded = f.canWatch; f.watchSucceeded {
		f.backoff = minBackoff
	}
	f.position, f.canWatch = batch.Position(), isCurrent
	switch {
	case !isCurrent:
		// A stale copy of another router means that the store does not respond; it must not be
		// called more often because of that. Once the store is back, a list succeeds at once.
		f.waitBackoff(ctx)
	case len(changes) > 0:
		sleep(ctx, f.Timing.BatchDelay)
	}
}

// waitBackoff waits for about the back-off and doubles it up to its bound, which depends on
// when the latest response arrived.
func (f *Follower[T]) waitBackoff(ctx context.Context) {
	sleepJittered(ctx, f.backoff)
	limit := maxBackoff
	if clock.Since(f.respondedAt) < f.Timing.ListTimeout {
		limit = maxUrgentBackoff
	}
	f.backoff = min(2*f.backoff, limit)
}

// callFeed watches the feed, or lists it if no watch may follow. If the box was suspended
// during the call, that time is added to the response's age, since the sender could not know of
// it.
func (f *Follower[T]) callFeed(ctx context.Context) (batch slipwick.FeedBatch, err error) {
	clock.DetectSuspension()
	suspendedBefore := clock.Suspended()
	if f.canWatch {
		batch, err = f.Feed.Watch(ctx, f.position, f.Timing.WatchWait)
	} else {
		batch, err = f.Feed.List(ctx)
	}
	clock.DetectSuspension()
	batch.Age += clock.Suspended() - suspendedBefore
	return batch, err
}

// dropOutdated replaces each received entry that is an earlier state than the known one by the
// known one.
func (f *Follower[T]) dropOutdated(batch *slipwick.FeedBatch) {
	if f.IsOutdated == nil {
		return
	}
	for i := range batch.Entries {
		e := &batch.Entries[i]
		value, ok := f.Mirror.lookup(e.Name)
		if !ok || e.Removed || bytes.Equal(value, e.Value) {
			continue
		}
		known, isKnown := f.latest[e.Name]
		// An entry that cannot be decoded is reported later, with the changes.
		received, err := f.Decode(e.Name, e.Value)
		if err == nil && isKnown && f.IsOutdated(known, received) {
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

// decodeResult is the decoded form of an object's value, or the error of decoding it.
type decodeResult[T any] struct {
	encoded []byte
	value   T
	err     error
}

// decodeOnce decodes an object, reusing the result of dropOutdated for the same batch: all
// routers of a large fleet decode a configuration of hundreds of routes at the same moment.
func (f *Follower[T]) decodeOnce(e *slipwick.FeedEntry) (T, error) {
	if r, ok := f.decoded[e.Name]; ok && bytes.Equal(r.encoded, e.Value) {
		return r.value, r.err
	}
	return f.Decode(e.Name, e.Value)
}

// decodeChanges returns the entries as changes, and reports with OnInvalid whether each could be
// decoded.
func (f *Follower[T]) decodeChanges(entries []slipwick.FeedEntry) []Change[T] {
	defer clear(f.decoded)
	changes := make([]Change[T], 0, len(entries))
	for _, e := range entries {
		change := Change[T]{
			Name:    e.Name,
			Removed: e.Removed,
		}
		if !e.Removed {
			var err error
			change.Value, err = f.decodeOnce(&e)
			change.Invalid = err != nil
			f.OnInvalid(e.Name, err)
			if f.IsOutdated != nil && err == nil {
				f.latest[e.Name] = change.Value
			}
		} else {
			f.OnInvalid(e.Name, nil)
		}
		changes = append(changes, change)
	}
	return changes
}

// checkSuccessor returns an error if a response must not be applied on top of the known
// position: if it is older, or has the changes of another timeline, whose revisions count from
// another state. Applying it would result in a state that the store never had.
func checkSuccessor(batch *slipwick.FeedBatch, known slipwick.Position) error {
	switch {
	case batch.Position().Before(known):
		return olderError(batch, known)
	case !batch.IsSnapshot && batch.Timeline != 0 && batch.Timeline != known.Timeline:
		return timelineChangedError()
	}
	return nil
}

// timelineChangedError returns the error of a watch from a position of another timeline.
func timelineChangedError() error {
	return &slipwick.Error{
		Kind:    slipwick.KindHistoryLost,
		Message: "the store was restored from a backup since the requested position",
		Remedy:  "list again",
	}
}

// olderError returns the error of a response that is older than the known position, such as the
// stale copy of another router.
func olderError(batch *slipwick.FeedBatch, known slipwick.Position) error {
	return errors.Errorf("the received timeline %d, revision %d (%d hops) is older than the known"+
		" timeline %d, revision %d; keeping the known state",
		batch.Timeline, batch.Revision, batch.Hops, known.Timeline, known.Revision)
}

// sleepJittered sleeps for a random time between a half and one and a half times the pause, so
// that routers do not all call at once.
func sleepJittered(ctx context.Context, pause time.Duration) {
	sleep(ctx, pause/2+time.Duration(rand.Int64N(int64(pause))))
}

// sleep waits for the pause or until ctx ends.
func sleep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
