package directory

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/slipwick/slipwick"
)

// newSharedFeed returns the feed of a router that follows the routers r1 and r2 instead of the
// store.
func newSharedFeed() (shared *SharedFeed, store *fakeFeed, peers *fakePeers) {
	store = newFakeFeed(batch(1, true, "a1"))
	peers = &fakePeers{
		relays: map[string]*fakeFeed{
			"r1": newFakeFeed(batch(1, true, "a1")),
			"r2": newFakeFeed(batch(1, true, "a1")),
		},
		relayIDs: []string{"r1", "r2"},
	}
	return &SharedFeed{
		Store: store,
		Peers: peers,
	}, store, peers
}

func TestSharedFeedFollowsPeersInsteadOfStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared, store, peers := newSharedFeed()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go keepConfirmed(ctx, peers.relays["r1"], peers.relays["r2"])
		for range 10 {
			if _, err := shared.Watch(t.Context(), at(1), testTiming.WatchWait); err != nil {
				t.Fatal(err)
			}
		}
		calls, first, second := store.callCount(), peers.relays["r1"].callCount(), peers.relays["r2"].callCount()
		if calls != 0 || first != 5 || second != 5 {
			t.Errorf("got %d calls to the store, %d and %d to the routers; want 0, 5 and 5", calls, first, second)
		}
	})
}

// TestSharedFeedLearnsOfChangeThoughRoutersFail has the followed routers fail in several ways. A
// change at the store has to arrive within 2 s.
func TestSharedFeedLearnsOfChangeThoughRoutersFail(t *testing.T) {
	for name, fail := range map[string]func(*fakeFeed){
		"hang":        func(f *fakeFeed) { f.setHangs(true) },
		"refuse":      func(f *fakeFeed) { f.setError(errors.New("refused")) },
		"are stale":   func(f *fakeFeed) { f.addAge(testTiming.MaxAge) },
		"are failing": func(f *fakeFeed) { f.MarkUnconfirmed() },
	} {
		synctest.Test(t, func(t *testing.T) {
			shared, store, peers := newSharedFeed()
			for _, f := range peers.relays {
				fail(f)
			}
			started := time.Now()
			store.Apply(batch(2, false, "a2"))
			for after := uint64(1); after == 1; {
				got, err := shared.Watch(t.Context(), at(1), testTiming.WatchWait)
				switch {
				case slipwick.IsKind(err, slipwick.KindNotCurrent):
					// The routers respond without a current copy, so they ask the store in turns.
					time.Sleep(minBackoff)
				case err != nil:
					t.Fatalf("%s: %v", name, err)
				default:
					after = got.Revision
				}
			}
			if took := time.Since(started); took > 2*time.Second {
				t.Errorf("routers %s: got the change after %v, want it within 2 s", name, took)
			}
		})
	}
}

func TestSharedFeedLearnsFromRoutersWhenStoreRefusesIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared, store, peers := newSharedFeed()
		peers.isWatcher = true
		store.setError(errors.New("503"))
		peers.relays["r1"].Apply(batch(3, false, "a3"))
		peers.relays["r2"].Apply(batch(3, false, "a3"))
		got, err := shared.Watch(t.Context(), at(1), testTiming.WatchWait)
		if err != nil {
			t.Fatal(err)
		}
		expectEntries(t, "from a router", got.Entries, "a3")
		got, err = shared.List(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		expectEntries(t, "list", got.Entries, "a3")
	})
}

// TestSharedFeedStartsFromRoutersWhileStoreIsUnresponsive lists at a router that restarts while the store
// does not respond.
func TestSharedFeedStartsFromRoutersWhileStoreIsUnresponsive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared, store, _ := newSharedFeed()
		store.setHangs(true)
		started := time.Now()
		got, err := shared.List(t.Context())
		if took := time.Since(started); err != nil || took > 500*time.Millisecond {
			t.Errorf("got %v after %v, want a list within half a second", err, took)
		}
		expectEntries(t, "list", got.Entries, "a1")
	})
}

// TestSharedFeedStartsFromStaleCopies lists at a router that restarts while the store is down for
// all, so that the copies of other routers cannot be confirmed.
func TestSharedFeedStartsFromStaleCopies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared, store, peers := newSharedFeed()
		store.setError(errors.New("503"))
		time.Sleep(10 * time.Second)
		for _, f := range peers.relays {
			f.MarkUnconfirmed()
		}
		got, err := shared.List(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		expectEntries(t, "list", got.Entries, "a1")
		if _, err := shared.Watch(t.Context(), got.Position(), testTiming.WatchWait); err == nil {
			t.Error("watch of stale copies: got no error, want one so that the store is tried again")
		}
	})
}

func TestSharedFeedReportsLostHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared, store, peers := newSharedFeed()
		peers.isWatcher = true
		store.setError(&slipwick.Error{
			Kind: slipwick.KindHistoryLost,
		})
		if _, err := shared.Watch(t.Context(), at(1), testTiming.WatchWait); !slipwick.IsKind(err, slipwick.KindHistoryLost) {
			t.Errorf("got %v, want history lost, so that the store is listed", err)
		}
	})
}

// TestSharedFeedAsksAnotherRouterBeforeStore has one followed router stop responding while the next
// one has a current copy.
func TestSharedFeedAsksAnotherRouterBeforeStore(t *testing.T) {
	for _, first := range []string{"r1", "r2"} {
		synctest.Test(t, func(t *testing.T) {
			shared, store, peers := newSharedFeed()
			for _, f := range peers.relays {
				f.Apply(batch(3, false, "a3"))
			}
			peers.relays[first].setHangs(true)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go keepConfirmed(ctx, peers.relays["r1"], peers.relays["r2"])
			called := store.callCount()
			for range 4 {
				got, err := shared.Watch(t.Context(), at(1), testTiming.WatchWait)
				if err != nil {
					t.Fatal(err)
				}
				expectEntries(t, "from a router", got.Entries, "a3")
			}
			if got := store.callCount() - called; got > 0 {
				t.Errorf("%s hangs: got %d calls to the store, want none while another router has a current copy", first, got)
			}
		})
	}
}

// TestHeldCopyIsAsOldAsItIs guards against a store that seems to have responded lately, because a router
// held another one's copy while it asked the store in vain, and returned it with the age that it had before.
func TestHeldCopyIsAsOldAsItIs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shared, store, peers := newSharedFeed()
		confirmedAt := time.Now()
		// The first call returns the copies while they are current; the next ones bring nothing new.
		if _, err := shared.List(t.Context()); err != nil {
			t.Fatal(err)
		}
		store.setHangs(true)
		time.Sleep(10 * time.Second)
		for _, f := range peers.relays {
			f.MarkUnconfirmed()
		}
		asked := time.Now()
		shared.position = slipwick.Position{}
		got, err := shared.List(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if time.Since(asked) < time.Second {
			t.Fatalf("got the copy after %v, want it held while the store is asked", time.Since(asked))
		}
		if got := time.Now().Add(-got.Age).Sub(confirmedAt); got.Abs() > stableMargin {
			t.Errorf("got a copy confirmed %v later than it was, want the time at which it was", got)
		}
	})
}
