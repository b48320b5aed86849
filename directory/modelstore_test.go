package directory

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/slipwick/slipwick"
)

// modelStore is a store that does what the documentation of stores allows: objects of several
// kinds share a counter of revisions, with lists, watches and restores from backups.
type modelStore struct {
	mu       sync.Mutex
	timeline uint64
	revision uint64
	// writes has all writes that the current timeline contains, oldest first.
	writes []modelWrite
	// down makes calls fail, hangs makes them block until their context ends. losesHistory makes
	// each watch fail with a lost history, delay makes responses take longer. changed is closed at
	// the next change of anything.
	down, hangs, losesHistory bool
	delay                     time.Duration

	changed chan struct{}
	// recentCalls has the times of the lists and watches in the last second.
	recentCalls []time.Time
}

// modelWrite is one write or removal of an object.
type modelWrite struct {
	kind, name, value string
	removed           bool
	revision          uint64
	at                time.Time
}

var errStoreDown = errors.New("the store is down")

func newModelStore() *modelStore {
	return &modelStore{
		timeline: 1,
		changed:  make(chan struct{}),
	}
}

// put writes an object. If it has the value already, nothing changes.
func (s *modelStore) put(kind, name, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, ok := s.stateLocked(kind)[name]; ok && known.value == value {
		return
	}
	s.writeLocked(modelWrite{
		kind:  kind,
		name:  name,
		value: value,
	})
}

// callsInLastSecond returns the number of calls in the last second.
func (s *modelStore) callsInLastSecond() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recentCalls = slices.DeleteFunc(s.recentCalls, func(at time.Time) bool { return time.Since(at) > time.Second })
	return len(s.recentCalls)
}

// removeServer removes a server's entry and reports whether there was one.
func (s *modelStore) removeServer(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.stateLocked(modelBackends)[id]; !ok {
		return false
	}
	s.writeLocked(modelWrite{
		kind:    modelBackends,
		name:    id,
		removed: true,
	})
	return true
}

// isUnresponsive reports whether the store is down or does not respond.
func (s *modelStore) isUnresponsive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down || s.hangs
}

// update begins or ends a disturbance.
func (s *modelStore) update(change func(*modelStore, bool), begins bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s, begins)
	s.notifyLocked()
}

func (s *modelStore) writeLocked(w modelWrite) {
	s.revision++
	w.revision, w.at = s.revision, time.Now()
	s.writes = append(s.writes, w)
	s.notifyLocked()
}

func (s *modelStore) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// setDown takes the store down, or makes it available again.
func (s *modelStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notifyLocked()
}

// restore restores the store from a backup made at the given time. Later writes are lost, and
// their revisions are assigned again.
func (s *modelStore) restore(to time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes = slices.Clip(slices.DeleteFunc(slices.Clone(s.writes), func(w modelWrite) bool { return w.at.After(to) }))
	s.revision = 0
	if len(s.writes) > 0 {
		s.revision = s.writes[len(s.writes)-1].revision
	}
	s.timeline++
	s.down, s.hangs = false, false
	s.notifyLocked()
}

// stateLocked returns the objects of a kind by name.
func (s *modelStore) stateLocked(kind string) map[string]modelWrite {
	state := make(map[string]modelWrite)
	for _, w := range s.writes {
		switch {
		case w.kind != kind:
		case w.removed:
			delete(state, w.name)
		default:
			state[w.name] = w
		}
	}
	return state
}

// feed returns the feed of one kind of object.
func (s *modelStore) feed(kind string) *modelFeed {
	return &modelFeed{
		store: s,
		kind:  kind,
	}
}

// modelFeed is the feed of one kind of object of a modelStore.
type modelFeed struct {
	store *modelStore
	kind  string
}

var _ slipwick.Feed = (*modelFeed)(nil)

// responseTime is how long the model takes for a response.
const responseTime = 4 * time.Millisecond

func (f *modelFeed) List(ctx context.Context) (slipwick.FeedBatch, error) {
	if err := f.startCall(ctx); err != nil {
		return slipwick.FeedBatch{}, err
	}
	s := f.store
	s.mu.Lock()
	defer s.mu.Unlock()
	batch := slipwick.FeedBatch{
		IsSnapshot: true,
		Timeline:   s.timeline,
		Revision:   s.revision,
	}
	for name, w := range s.stateLocked(f.kind) {
		batch.Entries = append(batch.Entries, slipwick.FeedEntry{
			Name:  name,
			Value: []byte(w.value),
		})
	}
	return batch, nil
}

// startCall waits for the response time, and fails while the store is down.
func (f *modelFeed) startCall(ctx context.Context) error {
	s := f.store
	s.mu.Lock()
	s.recentCalls = append(s.recentCalls, time.Now())
	delay := s.delay
	s.mu.Unlock()
	time.Sleep(responseTime + delay)
	s.mu.Lock()
	down, hangs := s.down, s.hangs
	s.mu.Unlock()
	if hangs {
		<-ctx.Done()
	}
	if down {
		return errStoreDown
	}
	return ctx.Err()
}

// Watch returns the changes after the revision in the current timeline, whatever timeline the
// position has, because the store does not know earlier ones.
func (f *modelFeed) Watch(
	ctx context.Context, after slipwick.Position, wait time.Duration,
) (slipwick.FeedBatch, error) {
	if err := f.startCall(ctx); err != nil {
		return slipwick.FeedBatch{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for ended := false; ; {
		batch, changed, err := f.changesSince(after.Revision)
		if err != nil || ended || len(batch.Entries) > 0 {
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

func (f *modelFeed) changesSince(after uint64) (slipwick.FeedBatch, <-chan struct{}, error) {
	s := f.store
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down:
		return slipwick.FeedBatch{}, nil, errStoreDown
	case after > s.revision, s.losesHistory:
		return slipwick.FeedBatch{}, nil, &slipwick.Error{
			Kind: slipwick.KindHistoryLost,
		}
	}
	batch := slipwick.FeedBatch{
		Timeline: s.timeline,
		Revision: s.revision,
	}
	for _, w := range s.writes {
		if w.kind == f.kind && w.revision > after {
			batch.Entries = append(batch.Entries, slipwick.FeedEntry{
				Name:    w.name,
				Removed: w.removed,
				Value:   []byte(w.value),
			})
		}
	}
	return batch, s.changed, nil
}
