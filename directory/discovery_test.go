package directory

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestWatcherListsOnceFleetIsKnown has a watcher discover the others while it asks two of them, which
// do not respond. It guards against the failure that watchers asked again instead of the store, by
// chance and several times, so that routers of the fleet had no copy a second after their start.
func TestWatcherListsOnceFleetIsKnown(t *testing.T) {
	for range 20 {
		synctest.Test(t, func(t *testing.T) {
			shared, store, peers := newSharedFeed()
			peers.isWatcher = true
			peers.fleetKnown = make(chan struct{})
			for _, r := range peers.relays {
				r.setHangs(true)
			}
			started := time.Now()
			time.AfterFunc(discoveryInterval+peerTimeout/2, func() { close(peers.fleetKnown) })
			if _, err := shared.List(t.Context()); err != nil {
				t.Fatal(err)
			}
			limit := discoveryInterval + time.Duration(listPeersFactor*float64(peerTimeout))
			if took, lists := time.Since(started), store.listCount(); took > limit || lists != 1 {
				t.Errorf("got the copy after %v with %d lists from the store, want it within %v with 1", took, lists, limit)
			}
		})
	}
}
