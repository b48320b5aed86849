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

// anewShare of a watch's wait has to be over for a confirmation to end it.
const reconfirmShare = 0.5

// Mirror is a copy of a feed's objects, and a feed itself for other routers.
type Mirror struct {
	mu      sync.Mutex
	entries map[string][]byte
	// changes are the latest ones, the oldest first, and gaps what they lack.
	changes []change
	gaps    []gap
	// position is the store's that the copy stands for; forgotten is the
	// revision up to which changes are not remembered.
	position         slipwick.Position
	discardedThrough uint64
	// confirmed is when the store was known to be in this state; failing says
	// that the latest call did not confirm it.
	confirmedAt time.Time
	failing     bool
	// steadySince is since when the store has been known, here or at a router on the way,
	// to answer without a silence or a return from a copy.
	steadySince time.Time
	// hops counts the routers between the store and this copy.
	hops int
	// loadingUntil is until when a first list is known to be under way.
	loadingUntil time.Time
	// changed is closed at the next change of all that is above.
	changed chan struct{}
}

var _ slipwick.Feed = (*Mirror)(nil)

// NewMirror makes an empty copy, which is not current.
func NewMirror() *Mirror {
	return &Mirror{
		entries: make(map[string][]byte),
		failing: true,
		changed: make(chan struct{}),
	}
}

// Apply takes a batch and gives the entries that differ from the copy.
func (m *Mirror) Apply(batch *slipwick.FeedBatch) []slipwick.FeedEntry {
	m.mu.Lock()
	defer m.mu.Unlock()
	isNewTimeline := batch.Timeline != m.position.Timeline
	var differing []slipwick.FeedEntry
	if len(m.entries) == 0 {
		m.entries = make(map[string][]byte, len(batch.Entries))
		differing = make([]slipwick.FeedEntry, 0, len(batch.Entries))
	}
	if batch.Whole {
		differing = append(differing, m.removeMissingLocked(batch)...)
	}
	for _, e := range batch.Entries {
		if m.applyLocked(e, batch.Revision, batch.Whole) {
			differing = append(differing, e)
		}
	}
	if isNewTimeline || m.failing {
		m.steadySince = clock.Now().Add(-batch.Steady)
	}
	switch {
	case isNewTimeline || m.position.IsZero():
		m.changes, m.gaps, m.discardedThrough = nil, nil, batch.Revision
	case (batch.Whole || batch.Skipping) && m.position.Revision < batch.Revision:
		m.addGapLocked(batch.Revision)
	}
	if isNewTimeline || m.position.Revision < batch.Revision {
		m.position = batch.Position()
	}
	m.confirmedAt, m.hops = clock.Now().Add(-batch.Age), batch.Hops
	m.failing = false
	m.notifyLocked()
	return differing
}

// Position is the state of the store that the copy stands for.
func (m *Mirror) Position() slipwick.Position {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.position
}

// Len counts the objects.
func (m *Mirror) Len() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.entries)
}

// value gives an object's value.
func (m *Mirror) lookup(name string) ([]byte, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	value, ok := m.entries[name]
	return value, ok
}

// missingLocked gives the removals of what a whole batch lacks.
func (m *Mirror) removeMissingLocked(batch *slipwick.FeedBatch) []slipwick.FeedEntry {
	present := make(map[string]bool, len(batch.Entries))
	for _, e := range batch.Entries {
		present[e.Name] = true
	}
	var removals []slipwick.FeedEntry
	for name := range m.entries {
		if !present[name] {
			e := slipwick.FeedEntry{
				Name: name,
				Gone: true,
			}
			removals = append(removals, e)
		}
	}
	for _, e := range removals {
		m.applyLocked(e, batch.Revision, batch.Whole)
	}
	return removals
}

func (m *Mirror) applyLocked(e slipwick.FeedEntry, revision uint64, whole bool) (differs bool) {
	known, isKnown := m.entries[e.Name]
	switch {
	case e.Gone:
		differs = isKnown
		delete(m.entries, e.Name)
	case !isKnown || !bytes.Equal(known, e.Value):
		differs = true
		m.entries[e.Name] = e.Value
	}
	if !differs && whole {
		return false
	}
	if m.position.IsZero() {
		// Nobody knows an earlier state.
		return differs
	}
	// What changed and is as it was again is told to those that know it in between.
	m.changes = append(m.changes, change{
		name:     e.Name,
		revision: revision,
	})
	if limit := max(minChangesKept, changesPerObject*len(m.entries)); len(m.changes) > limit {
		m.discardedThrough = max(m.discardedThrough, m.changes[0].revision)
		m.changes = m.changes[1:]
	}
	return differs
}

// Fail notes that the copy could not be confirmed.
func (m *Mirror) Fail() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.failing {
		m.failing = true
		m.notifyLocked()
	}
}

func (m *Mirror) notifyLocked() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// List gives the whole copy, also one that is not current: its age tells. A
// router that starts while the store is away has nothing better.
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

func (m *Mirror) batchLocked(whole bool) slipwick.FeedBatch {
	return slipwick.FeedBatch{
		Whole:    whole,
		Timeline: m.position.Timeline,
		Revision: m.position.Revision,
		Age:      clock.Since(m.confirmedAt),
		Steady:   clock.Since(m.steadySince),
		Hops:     m.hops,
	}
}

// AwaitList is List for a router that starts: it waits for the first copy.
func (m *Mirror) AwaitList(ctx context.Context, wait time.Duration) (slipwick.FeedBatch, error) {
	m.awaitCopy(ctx, wait)
	batch, err := m.List(ctx)
	if left := m.loadingLeft(); err != nil && left > 0 {
		return slipwick.FeedBatch{}, loadingError(left)
	}
	return batch, err
}

// awaitCopy waits until there is a copy.
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

// Loading notes that a list was seen to be under way, and for how long that counts. Routers
// that ask meanwhile are told so, and for how long it does yet: the store is not asked by
// others for a list that takes its time, and no two routers wait for each other's word.
func (m *Mirror) Loading(duration time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if until := clock.Now().Add(duration); until.After(m.loadingUntil) {
		m.loadingUntil = until
	}
}

func (m *Mirror) loadingLeft() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.loadingUntil.Sub(clock.Now())
}

// loading is the error of a router to which a list is under way, or that sends its own to
// others; it counts for so long.
func loadingError(retryAfter time.Duration) error {
	return &slipwick.Error{
		Kind:       slipwick.KindOverloaded,
		Message:    "this router is receiving its first copy, or sends it to others",
		Remedy:     "ask again, or another router",
		RetryAfter: retryAfter,
	}
}

// Watch waits for changes after the position, or until the copy is confirmed
// anew: those that follow this router then know the same without asking the
// store. A copy that was confirmed just before does not end it, so that a router
// that follows several is not told the same by each. It ends at once when the
// copy is no longer confirmed. Without a wait it is what List is for one that knows a
// position: it gives the changes since, also of a copy that is not current.
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

// since gives the changes after the position, and a channel that is closed at
// the next one. A copy that is not current gives them to whoever takes old ones.
func (m *Mirror) changesSince(after slipwick.Position, acceptStale bool) (slipwick.FeedBatch, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.confirmedAt.IsZero(), m.failing && !acceptStale, isLater(after.Timeline, m.position.Timeline):
		return slipwick.FeedBatch{}, nil, notCurrentError()
	case isLater(m.position.Timeline, after.Timeline):
		return slipwick.FeedBatch{}, nil, timelineChangedError()
	case after.Revision < m.discardedThrough, m.isInGapLocked(after.Revision):
		return slipwick.FeedBatch{}, nil, &slipwick.Error{
			Kind:    slipwick.KindHistoryLost,
			Message: "this router does not remember the changes since the revision",
			Remedy:  "list again",
		}
	}
	batch := m.batchLocked(false)
	batch.Skipping = slices.ContainsFunc(m.gaps, func(g gap) bool { return g.from >= after.Revision })
	changed := m.changes[m.firstAfterLocked(after.Revision):]
	seen := make(map[string]bool, len(changed))
	for _, c := range changed {
		if seen[c.name] {
			continue
		}
		seen[c.name] = true
		value, isListed := m.entries[c.name]
		batch.Entries = append(batch.Entries, slipwick.FeedEntry{
			Name:  c.name,
			Gone:  !isListed,
			Value: value,
		})
	}
	return batch, m.changed, nil
}

// isLater tells whether a timeline is known to be later than another.
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
