package directory

import (
	"bytes"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/clock"
)

// reconfirmShare is the part of a watch's wait that has to be over before a mere confirmation
// of the copy ends the watch.
const reconfirmShare = 0.5

// stableMargin is by how much the time since which the store has been stable may be later than the
// latest confirmation of a copy if there was no interruption in between: both times are rounded, and
// lag by network delays.
const stableMargin = 100 * time.Millisecond

// Mirror is a copy of all objects of a feed, and serves them as a feed to other routers. It is
// safe for concurrent use.
type Mirror struct {
	mu      sync.Mutex
	entries map[string][]byte
	// changes are the latest changes, oldest first. gaps are the ranges of revisions in which
	// changes may be missing.
	changes []changeRecord
	gaps    []gap
	// position is the state of the store that the copy holds. Changes up to the revision
	// discardedThrough have been discarded.
	position         slipwick.Position
	discardedThrough uint64
	// confirmedAt is when the store was last known to be in this state. unconfirmed is true
	// before the first copy and if the latest call did not confirm it.
	confirmedAt time.Time
	unconfirmed bool
	// interruptedAt is when a call did not confirm the copy, until a batch shows that the store has
	// responded since: copies of other routers may be from before that. It is zero otherwise.
	interruptedAt time.Time
	// stableSince is the time since which the store has been known, to this router or one on
	// the way, to respond without an outage or a restore from a backup.
	stableSince time.Time
	// hops is the number of routers between the store and this copy.
	hops int
	// loadingUntil is the time until which this router's first list counts as under way, as
	// SetLoading set it.
	loadingUntil time.Time
	// changed is closed, and replaced, when a batch is applied or the copy becomes unconfirmed.
	changed chan struct{}
}

var _ slipwick.Feed = (*Mirror)(nil)

// NewMirror returns an empty mirror, which is not current.
func NewMirror() *Mirror {
	return &Mirror{
		entries:     make(map[string][]byte),
		unconfirmed: true,
		changed:     make(chan struct{}),
	}
}

// Apply applies a batch and returns the entries that changed the copy. A snapshot also
// removes the objects that it lacks; their removals are among the returned entries.
func (m *Mirror) Apply(batch *slipwick.FeedBatch) []slipwick.FeedEntry {
	m.mu.Lock()
	defer m.mu.Unlock()
	isNewTimeline := batch.Timeline != m.position.Timeline
	var differing []slipwick.FeedEntry
	if len(m.entries) == 0 {
		m.entries = make(map[string][]byte, len(batch.Entries))
		differing = make([]slipwick.FeedEntry, 0, len(batch.Entries))
	}
	if batch.IsSnapshot {
		differing = append(differing, m.removeMissingLocked(batch)...)
	}
	for _, e := range batch.Entries {
		if m.applyLocked(e, batch.Revision, batch.IsSnapshot) {
			differing = append(differing, e)
		}
	}
	m.updateStableSinceLocked(batch)
	switch {
	case isNewTimeline || m.position.IsZero():
		m.changes, m.gaps, m.discardedThrough = nil, nil, batch.Revision
	case (batch.IsSnapshot || batch.IsCompacted) && m.position.Revision < batch.Revision:
		m.addGapLocked(batch.Revision)
	}
	if isNewTimeline || m.position.Revision < batch.Revision {
		m.position = batch.Position()
	}
	m.confirmedAt, m.hops = clock.Now().Add(-batch.Age), batch.Hops
	m.unconfirmed = false
	m.notifyLocked()
	return differing
}

// updateStableSinceLocked updates since when the store has been stable, before a batch is applied.
func (m *Mirror) updateStableSinceLocked(batch *slipwick.FeedBatch) {
	stableSince := clock.Now().Add(-batch.StableFor)
	// A batch that does not know for how long shows no interruption.
	isInterrupted := batch.StableFor > 0 && stableSince.After(m.confirmedAt.Add(stableMargin))
	isFirst := m.confirmedAt.IsZero() || batch.Timeline != m.position.Timeline
	hasResumed := !m.interruptedAt.IsZero() && clock.Now().Add(-batch.Age).After(m.interruptedAt)
	if isFirst || hasResumed || isInterrupted {
		m.stableSince = stableSince
	}
	if hasResumed {
		m.interruptedAt = time.Time{}
	}
}

// Position returns the store's position that the copy corresponds to.
func (m *Mirror) Position() slipwick.Position {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.position
}

// Len returns the number of objects.
func (m *Mirror) Len() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.entries)
}

// lookup returns an object's value, and whether the object exists.
func (m *Mirror) lookup(name string) ([]byte, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	value, ok := m.entries[name]
	return value, ok
}

// removeMissingLocked removes the objects that a snapshot lacks and returns the removals.
func (m *Mirror) removeMissingLocked(batch *slipwick.FeedBatch) []slipwick.FeedEntry {
	present := make(map[string]bool, len(batch.Entries))
	for _, e := range batch.Entries {
		present[e.Name] = true
	}
	var removals []slipwick.FeedEntry
	for name := range m.entries {
		if !present[name] {
			e := slipwick.FeedEntry{
				Name:    name,
				Removed: true,
			}
			removals = append(removals, e)
		}
	}
	for _, e := range removals {
		m.applyLocked(e, batch.Revision, batch.IsSnapshot)
	}
	return removals
}

// applyLocked applies one entry of a batch and records it as a change if a follower may need it. It
// reports whether the copy differs from before.
func (m *Mirror) applyLocked(e slipwick.FeedEntry, revision uint64, isSnapshot bool) (differs bool) {
	known, isKnown := m.entries[e.Name]
	switch {
	case e.Removed:
		differs = isKnown
		delete(m.entries, e.Name)
	case !isKnown || !bytes.Equal(known, e.Value):
		differs = true
		m.entries[e.Name] = e.Value
	}
	if !differs && isSnapshot {
		return false
	}
	if m.position.IsZero() {
		// No other router can have seen an earlier state of this copy.
		return differs
	}
	// A change is recorded even if the value is what it was before: a router that saw the state
	// in between needs it.
	m.changes = append(m.changes, changeRecord{
		name:     e.Name,
		revision: revision,
	})
	if limit := max(minChangesKept, changesPerObject*len(m.entries)); len(m.changes) > limit {
		m.discardedThrough = max(m.discardedThrough, m.changes[0].revision)
		m.changes = m.changes[1:]
	}
	return differs
}

// MarkUnconfirmed records that the latest call did not confirm the copy, and wakes the watches of
// it.
func (m *Mirror) MarkUnconfirmed() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.interruptedAt.IsZero() {
		m.interruptedAt = clock.Now()
	}
	if !m.unconfirmed {
		m.unconfirmed = true
		m.notifyLocked()
	}
}

func (m *Mirror) notifyLocked() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// List returns the whole copy, current or not, as the batch's age shows. A router that starts
// during an outage of the store has no better source. Before the first copy it returns a
// KindNotCurrent error.
func (m *Mirror) List(context.Context) (slipwick.FeedBatch, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.confirmedAt.IsZero() {
		return slipwick.FeedBatch{}, notCurrentError()
	}
	batch := m.batchLocked(true)
	batch.Entries = make([]slipwick.FeedEntry, 0, len(m.entries))
	for name, value := range m.entries {
		batch.Entries = append(batch.Entries, slipwick.FeedEntry{
			Name:  name,
			Value: value,
		})
	}
	return batch, nil
}

// batchLocked returns a batch for the copy's position, without entries.
func (m *Mirror) batchLocked(isSnapshot bool) slipwick.FeedBatch {
	return slipwick.FeedBatch{
		IsSnapshot: isSnapshot,
		Timeline:   m.position.Timeline,
		Revision:   m.position.Revision,
		Age:        clock.Since(m.confirmedAt),
		StableFor:  clock.Since(m.stableSince),
		Hops:       m.hops,
	}
}

// AwaitList is List for a router that starts: it waits up to the given time for the first copy.
// If there is none yet but a first list is under way, it returns a KindOverloaded error whose
// RetryAfter is for how long the list counts as under way.
func (m *Mirror) AwaitList(ctx context.Context, wait time.Duration) (slipwick.FeedBatch, error) {
	m.awaitCopy(ctx, wait)
	batch, err := m.List(ctx)
	if left := m.loadingLeft(); err != nil && left > 0 {
		return slipwick.FeedBatch{}, loadingError(left)
	}
	return batch, err
}

// awaitCopy blocks until there is a copy, the wait is over or ctx ends.
func (m *Mirror) awaitCopy(ctx context.Context, wait time.Duration) {
	m.mu.Lock()
	isEmpty, changed := m.confirmedAt.IsZero(), m.changed
	m.mu.Unlock()
	if !isEmpty {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-changed:
	}
}

// SetLoading records that a first list counts as under way for the given duration from now.
// Routers that ask in the meantime get the remaining time as an error instead of a copy, so
// that they do not send the store further requests for a list that takes long. Because the
// remaining time is passed on, not the full one, two routers cannot keep each other waiting.
func (m *Mirror) SetLoading(duration time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if until := clock.Now().Add(duration); until.After(m.loadingUntil) {
		m.loadingUntil = until
	}
}

// loadingLeft returns for how long a first list still counts as under way; it is not positive if
// none does.
func (m *Mirror) loadingLeft() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.loadingUntil.Sub(clock.Now())
}

// loadingError returns the error of a router that is still receiving its first list, or is
// sending its copy to other routers.
func loadingError(retryAfter time.Duration) error {
	return &slipwick.Error{
		Kind:       slipwick.KindOverloaded,
		Message:    "this router is still receiving its first copy, or is sending it to other routers",
		Remedy:     "retry, or ask another router",
		RetryAfter: retryAfter,
	}
}

// Watch waits for changes after a position, or until the copy is confirmed again, so that
// followers of this router learn that the state still holds without asking the store. A
// confirmation in the first part of the wait does not end it: a router that follows several
// others would otherwise get the same confirmation from each. Watch returns at once with a
// KindNotCurrent error when the copy is no longer confirmed. With no wait it returns the
// changes since the position, even if the copy is not current.
func (m *Mirror) Watch(ctx context.Context, after slipwick.Position, wait time.Duration) (slipwick.FeedBatch, error) {
	if wait <= 0 {
		batch, _, err := m.changesSince(after, true)
		return batch, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	freshAfter := clock.Now().Add(time.Duration(reconfirmShare * float64(wait)))
	for ended := false; ; {
		batch, changed, err := m.changesSince(after, false)
		isFresh := clock.Now().Add(-batch.Age).After(freshAfter)
		if err != nil || ended || isFresh || len(batch.Entries) > 0 {
			return batch, err
		}
		select {
		case <-ctx.Done():
			return batch, ctx.Err()
		case <-timer.C:
			ended = true
		case <-changed:
		}
	}
}

// changesSince returns the changes after a position, and a channel that is closed at the next
// change. With acceptStale it returns them even if the copy is not current.
func (m *Mirror) changesSince(after slipwick.Position, acceptStale bool) (slipwick.FeedBatch, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.confirmedAt.IsZero(), m.unconfirmed && !acceptStale, isLater(after.Timeline, m.position.Timeline):
		return slipwick.FeedBatch{}, nil, notCurrentError()
	case isLater(m.position.Timeline, after.Timeline):
		return slipwick.FeedBatch{}, nil, timelineChangedError()
	case after.Revision < m.discardedThrough, m.isInGapLocked(after.Revision):
		return slipwick.FeedBatch{}, nil, &slipwick.Error{
			Kind:    slipwick.KindHistoryLost,
			Message: "this router no longer has the changes since the requested revision",
			Remedy:  "list again",
		}
	}
	batch := m.batchLocked(false)
	batch.IsCompacted = slices.ContainsFunc(m.gaps, func(g gap) bool { return g.from >= after.Revision })
	changed := m.changes[m.firstAfterLocked(after.Revision):]
	seen := make(map[string]bool, len(changed))
	for _, c := range changed {
		if seen[c.name] {
			continue
		}
		seen[c.name] = true
		value, isListed := m.entries[c.name]
		batch.Entries = append(batch.Entries, slipwick.FeedEntry{
			Name:    c.name,
			Removed: !isListed,
			Value:   value,
		})
	}
	return batch, m.changed, nil
}

// isLater reports whether a timeline is known to be later than another. A timeline of 0 is
// unknown.
func isLater(timeline, other uint64) bool {
	return timeline > other && other != 0
}

func notCurrentError() error {
	return &slipwick.Error{
		Kind:    slipwick.KindNotCurrent,
		Message: "this router's copy is not current",
		Remedy:  "ask another router, or the store",
	}
}
