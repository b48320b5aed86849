package directory

import (
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick"
	"github.com/slipwick/slipwick/balance"
)

// listRecorder maintains the sorted IDs of the backend servers that a Backends lists.
type listRecorder struct {
	mu  sync.Mutex
	ids []string
}

func (l *listRecorder) apply(changes *balance.Changes) {
	l.mu.Lock()
	defer l.mu.Unlock()
	isRemoved := func(id string) bool { return slices.Contains(changes.Removed, id) }
	l.ids = slices.DeleteFunc(l.ids, isRemoved)
	for i := range changes.Entries {
		l.ids = append(l.ids, changes.Entries[i].ID)
	}
	slices.Sort(l.ids)
	l.ids = slices.Compact(l.ids)
}

// backendChange returns a change that writes or removes the entry of a backend server.
func backendChange(id string, removed bool) Change[balance.Entry] {
	return Change[balance.Entry]{
		Name:    id,
		Removed: removed,
		Value: balance.Entry{
			Backend: slipwick.Backend{
				ID: id,
			},
		},
	}
}

func (l *listRecorder) expect(t *testing.T, when string, want ...string) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !slices.Equal(l.ids, want) {
		t.Errorf("%s: got %v, want %v", when, l.ids, want)
	}
}

func TestBackendsDropRemovedEntryAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var list listRecorder
		b := NewBackends(list.apply)
		b.RecordResponse(0, 0)
		b.Apply([]Change[balance.Entry]{backendChange("a", false), backendChange("b", false)})
		b.Apply([]Change[balance.Entry]{backendChange("b", true)})
		list.expect(t, "after the removal", "a")
	})
}

// TestBackendsKeepEntriesExpiredDuringOutage has two entries expire during an outage of the store.
// One of their servers writes its entry again in time, the other does not.
func TestBackendsKeepEntriesExpiredDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var list listRecorder
		b := NewBackends(list.apply)
		b.RecordResponse(0, 0)
		b.Apply([]Change[balance.Entry]{backendChange("a", false), backendChange("b", false), backendChange("c", false)})
		time.Sleep(5 * time.Second)
		b.RecordFailure()
		b.RecordResponse(0, 0)
		b.Apply([]Change[balance.Entry]{backendChange("b", true), backendChange("c", true)})
		list.expect(t, "when the store responds again", "a", "b", "c")
		time.Sleep(time.Second)
		b.Apply([]Change[balance.Entry]{backendChange("b", false)})
		time.Sleep(time.Second)
		list.expect(t, "two seconds after the store responds again", "a", "b")
	})
}

// TestBackendsDropExpiredWithinShortBounds has entries expire in a fleet with a short heartbeat
// and LeaveTime. Those of servers that do not write theirs again are dropped in time.
func TestBackendsDropExpiredWithinShortBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var list listRecorder
		b := NewBackends(list.apply)
		b.Heartbeat, b.LeaveTime = 600*time.Millisecond, time.Second
		b.RecordResponse(0, 0)
		b.Apply([]Change[balance.Entry]{backendChange("a", false), backendChange("b", false)})
		time.Sleep(900 * time.Millisecond)
		b.RecordFailure()
		b.RecordResponse(0, 0)
		b.Apply([]Change[balance.Entry]{backendChange("b", true)})
		list.expect(t, "when the store answers after more than a heartbeat", "a", "b")
		time.Sleep(960 * time.Millisecond)
		list.expect(t, "before LeaveTime is over", "a")
	})
}

func TestBackendsIgnoreShortFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var list listRecorder
		b := NewBackends(list.apply)
		b.RecordResponse(0, 0)
		b.Apply([]Change[balance.Entry]{backendChange("a", false), backendChange("b", false)})
		time.Sleep(time.Second)
		b.RecordFailure()
		b.RecordResponse(0, 0)
		b.Apply([]Change[balance.Entry]{backendChange("b", true)})
		list.expect(t, "after the removal", "a")
	})
}

// TestEntriesRemovedInShortGapAreDroppedInTime has a router receive nothing for less than
// Backends.LeaveTime while the store responds to other routers. An entry may have been removed as early as
// the start of the gap.
//
// It guards against the following failure: one router of eighty sent a request to a removed server
// 3.2 s after its removal, with 3 s allowed. It had followed a router that fell behind, received
// nothing for 1.75 s, took that for an outage of the store, and kept the entry for another 1.9 s.
func TestEntriesRemovedInShortGapAreDroppedInTime(t *testing.T) {
	const leave = 3 * time.Second
	for _, gap := range []time.Duration{1600 * time.Millisecond, 1750 * time.Millisecond, 2800 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			var list listRecorder
			b := NewBackends(list.apply)
			b.LeaveTime = leave
			b.RecordResponse(0, 0)
			b.Apply([]Change[balance.Entry]{backendChange("a", false), backendChange("b", false)})
			gapStart := time.Now()
			time.Sleep(gap)
			b.RecordFailure()
			b.RecordResponse(0, 0)
			b.Apply([]Change[balance.Entry]{backendChange("b", true)})
			time.Sleep(time.Until(gapStart.Add(leave)))
			synctest.Wait()
			list.expect(t, "after a gap of "+gap.String(), "a")
		})
	}
}

// TestEntriesRemovedSinceOldCopyAreDroppedInTime has a router follow another one whose copy has
// the greatest age of a current copy, and then receive nothing for less than Backends.LeaveTime. An
// entry may have been removed as soon as the copy was confirmed, before the gap.
func TestEntriesRemovedSinceOldCopyAreDroppedInTime(t *testing.T) {
	const leave, age, gap = 3 * time.Second, 1200 * time.Millisecond, 1600 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		var list listRecorder
		b := NewBackends(list.apply)
		b.LeaveTime = leave
		confirmed := time.Now().Add(-age)
		b.RecordResponse(age, 0)
		b.Apply([]Change[balance.Entry]{backendChange("a", false), backendChange("b", false)})
		time.Sleep(gap)
		b.RecordFailure()
		b.RecordResponse(0, 0)
		b.Apply([]Change[balance.Entry]{backendChange("b", true)})
		time.Sleep(time.Until(confirmed.Add(leave)))
		synctest.Wait()
		list.expect(t, "after a gap of "+gap.String(), "a")
	})
}

// TestEntriesRemovedInOutageOfOneRouterAreDroppedAtOnce has a router receive nothing for longer
// than the threshold of an outage, and then learn from another router that the store has responded
// in the meantime. No entry expired because of an outage, so a removed entry means that its server
// has left.
func TestEntriesRemovedInOutageOfOneRouterAreDroppedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var list listRecorder
		b := NewBackends(list.apply)
		b.LeaveTime = 2 * time.Second
		b.RecordResponse(0, 0)
		b.Apply([]Change[balance.Entry]{backendChange("a", false), backendChange("b", false)})
		time.Sleep(4 * time.Second)
		b.RecordFailure()
		b.RecordResponse(100*time.Millisecond, time.Minute)
		b.Apply([]Change[balance.Entry]{backendChange("b", true)})
		synctest.Wait()
		list.expect(t, "after the gap", "a")
	})
}
