package directory

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// TestStartingRouterRetriesUnansweredList starts a router without peers while the store does not
// respond. The store never responds to requests sent during the outage, so the router has to ask
// again soon after it.
func TestStartingRouterRetriesUnansweredList(t *testing.T) {
	for _, outage := range []time.Duration{100 * time.Millisecond, 700 * time.Millisecond, 3 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			store := newFakeFeed(batch(1, true, "a1"))
			store.setHangs(true)
			state, stop := follow(t, &SharedFeed{
				Store: store,
				Peers: &fakePeers{
					isWatcher: true,
				},
			})
			defer stop()
			time.Sleep(outage)
			store.setHangs(false)
			time.Sleep(storeRetryInterval + 2*maxUrgentBackoff)
			if got, want := state(), []string{"a1"}; !slices.Equal(got, want) {
				t.Errorf("outage of %v: got %v after it, want %v", outage, got, want)
			}
		})
	}
}

// TestSlowStoreIsGivenTime has lists take longer than the time after which an unanswered one is
// requested again.
func TestSlowStoreIsGivenTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeFeed(batch(1, true, "a1"))
		store.delay = 3 * storeRetryInterval / 2
		state, stop := follow(t, &SharedFeed{
			Store: store,
			Peers: &fakePeers{
				isWatcher: true,
			},
		})
		defer stop()
		time.Sleep(2 * storeRetryInterval)
		if got, want := state(), []string{"a1"}; !slices.Equal(got, want) {
			t.Errorf("got %v, want %v by the first call", got, want)
		}
	})
}
