package directory

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick"
)

// follow runs a follower of the feed. The returned functions return the known objects, each as its
// name and value, and stop the follower.
func follow(t *testing.T, feed slipwick.Feed) (state func() []string, stop func()) {
	t.Helper()
	var mu sync.Mutex
	have := make(map[string]string)
	follower := NewFollower[string](feed, NewMirror())
	follower.Decode = func(_ string, value []byte) (string, error) {
		if string(value) == "bad" {
			return "", errors.New("cannot be decoded")
		}
		return string(value), nil
	}
	follower.OnChange = func(changes []Change[string]) {
		mu.Lock()
		defer mu.Unlock()
		for _, c := range changes {
			switch {
			case c.Invalid:
			case c.Removed:
				delete(have, c.Name)
			default:
				have[c.Name] = c.Value
			}
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	go follower.Run(ctx)
	return func() []string {
			synctest.Wait()
			mu.Lock()
			defer mu.Unlock()
			var list []string
			for name, value := range have {
				list = append(list, name+value)
			}
			slices.Sort(list)
			return list
		}, func() {
			cancel()
			<-follower.Done()
		}
}

func TestFollowerKeepsWhatItKnowsThroughAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeFeed(batch(1, true, "a1", "b1"))
		state, stop := follow(t, store)
		defer stop()
		if got, want := state(), []string{"a1", "b1"}; !slices.Equal(got, want) {
			t.Errorf("before the outage: got %v, want %v", got, want)
		}
		store.setError(errors.New("down"))
		time.Sleep(2 * testTiming.WatchWait)
		store.Apply(batch(2, false, "b", "c1"))
		time.Sleep(10 * time.Second)
		store.setError(nil)
		if got, want := state(), []string{"a1", "b1"}; !slices.Equal(got, want) {
			t.Errorf("during the outage: got %v, want %v", got, want)
		}
		time.Sleep(2 * maxBackoff)
		if got, want := state(), []string{"a1", "c1"}; !slices.Equal(got, want) {
			t.Errorf("after the outage: got %v, want %v", got, want)
		}
	})
}

func TestFollowerListsAgainWhenHistoryIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeFeed(batch(1, true, "a1", "b1"))
		state, stop := follow(t, store)
		defer stop()
		state()
		store.setError(&slipwick.Error{
			Kind: slipwick.KindHistoryLost,
		})
		time.Sleep(2 * testTiming.WatchWait)
		store.Apply(batch(9, true, "b2"))
		store.setError(nil)
		time.Sleep(2 * testTiming.WatchWait)
		if got, want := state(), []string{"b2"}; !slices.Equal(got, want) {
			t.Errorf("got %v, want %v", got, want)
		}
	})
}

// TestFollowerListsAfterAFailure has versions follow each other quickly while calls fail. The next
// call has to be a list, whose size is bounded, and not a watch, which brings all versions since.
func TestFollowerListsAfterAFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeFeed(batch(1, true, "a1"))
		state, stop := follow(t, store)
		defer stop()
		state()
		store.setError(errors.New("not read in time"))
		time.Sleep(2 * testTiming.WatchWait)
		store.Apply(batch(2, false, "a2"))
		store.setError(nil)
		before := store.listCount()
		time.Sleep(2 * maxBackoff)
		if got, want := state(), []string{"a2"}; !slices.Equal(got, want) || store.listCount() == before {
			t.Errorf("got %v and %d lists, want %v by a list", got, store.listCount()-before, want)
		}
	})
}

// TestStaleCopiesDoNotCountAsStoreResponses has a watcher whose store is down while another router
// still returns its stale copy. The calls to the store have to become rare, and the store has to
// count as down, so that entries which expire during the outage are kept after it.
func TestStaleCopiesDoNotCountAsStoreResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeFeed(batch(1, true, "a1"))
		other := newFakeFeed(batch(1, true, "a1"))
		shared := &SharedFeed{
			FeedName: "backends",
			Store:    store,
			Peers: &fakePeers{
				isWatcher: true,
				relays: map[string]*fakeFeed{
					"other": other,
				},
				relayIDs: []string{"other"},
			},
		}
		var responses atomic.Int64
		follower := NewFollower[string](shared, NewMirror())
		follower.Decode = func(_ string, value []byte) (string, error) { return string(value), nil }
		follower.OnResponse = func(*slipwick.FeedBatch) { responses.Add(1) }
		ctx, cancel := context.WithCancel(t.Context())
		go follower.Run(ctx)
		synctest.Wait()
		store.setError(errors.New("down"))
		other.addAge(testTiming.MaxAge + time.Second)
		time.Sleep(2 * testTiming.WatchWait)
		before := store.callCount()
		responses.Store(0)
		const outage = 10 * time.Second
		time.Sleep(outage)
		if got, limit := store.callCount()-before, int(outage/(maxBackoff/2)); got > limit {
			t.Errorf("got %d calls in %v, want at most %d", got, outage, limit)
		}
		if got := responses.Load(); got > 0 {
			t.Errorf("got %d responses of the store while it is down, want none", got)
		}
		store.Apply(batch(2, true, "a2"))
		store.setError(nil)
		time.Sleep(2 * maxBackoff)
		synctest.Wait()
		if responses.Load() == 0 {
			t.Error("got no response after the outage, want some")
		}
		cancel()
		<-follower.Done()
	})
}

// TestFollowerIgnoresOlderList has the store return a list with an earlier revision.
func TestFollowerIgnoresOlderList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeFeed(batch(5, true, "a5", "b5"))
		state, stop := follow(t, store)
		defer stop()
		state()
		store.setError(errors.New("down"))
		time.Sleep(2 * testTiming.WatchWait)
		store.restore(batch(3, true, "a3"))
		store.setError(nil)
		time.Sleep(2 * maxBackoff)
		if got, want := state(), []string{"a5", "b5"}; !slices.Equal(got, want) {
			t.Errorf("got %v, want %v to stay", got, want)
		}
	})
}

// TestFollowerReportsUndecodableValueAsInvalid has an object change to a value that cannot be decoded.
// The follower reports it as invalid, so that follow keeps the last value that could be decoded.
func TestFollowerReportsUndecodableValueAsInvalid(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeFeed(batch(1, true, "a1"))
		state, stop := follow(t, store)
		defer stop()
		state()
		time.Sleep(time.Second)
		store.Apply(batch(2, false, "abad"))
		time.Sleep(time.Second)
		if got, want := state(), []string{"a1"}; !slices.Equal(got, want) {
			t.Errorf("got %v, want %v", got, want)
		}
	})
}

// TestFollowerBatchesChanges has a store change forty times in a second, as when many backend
// servers are replaced. The last change has to be known soon, after few calls.
func TestFollowerBatchesChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeFeed(batch(1, true, "a1"))
		state, stop := follow(t, store)
		defer stop()
		time.Sleep(time.Second)
		called := store.callCount()
		for i := range 40 {
			store.Apply(batch(uint64(2+i), false, "a"+string(rune('A'+i))))
			time.Sleep(25 * time.Millisecond)
		}
		if got := store.callCount() - called; got > 20 {
			t.Errorf("got %d calls for 40 changes in a second, want at most 20", got)
		}
		time.Sleep(testTiming.BatchDelay)
		if got, want := state(), []string{"a" + string(rune('A'+39))}; !slices.Equal(got, want) {
			t.Errorf("got %v, want %v", got, want)
		}
	})
}

// historyLosingFeed is a store that loses its history right after each list.
type historyLosingFeed struct {
	*fakeFeed
}

func (f *historyLosingFeed) Watch(
	ctx context.Context, _ slipwick.Position, _ time.Duration,
) (slipwick.FeedBatch, error) {
	return f.query(ctx, func(*Mirror) (slipwick.FeedBatch, error) { return slipwick.FeedBatch{}, timelineChangedError() })
}

// TestFollowerBacksOffWhenHistoryIsLostRepeatedly bounds the calls to a store that cannot return
// the changes since its own list.
//
// Random histories of the model found the failure that it guards against: eight routers made 2,266
// calls in a second, because each lost history was followed by a list at once.
func TestFollowerBacksOffWhenHistoryIsLostRepeatedly(t *testing.T) {
	const period = 5 * time.Second
	synctest.Test(t, func(t *testing.T) {
		store := &historyLosingFeed{newFakeFeed(batch(1, true, "a1"))}
		store.delay = responseTime
		ctx, cancel := context.WithCancel(t.Context())
		go keepConfirmed(ctx, store.fakeFeed)
		_, stop := follow(t, store)
		time.Sleep(period)
		cancel()
		// A list and a watch after each pause, which is at least half of maxBackoff, and the calls
		// of the first second, in which the pauses grow.
		if got, want := store.callCount(), 2*int(period/(maxBackoff/2))+20; got > want {
			t.Errorf("got %d calls in %v, want at most %d", got, period, want)
		}
		stop()
	})
}
